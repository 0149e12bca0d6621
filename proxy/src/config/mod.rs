//! The configuration of the proxy, which is read at the start and again at each SIGHUP.
//!
//! It consists of two files, which are applied together or not at all: the platform's JSON file, whose path is in
//! `RELAY_CONFIG`, and the options, an XML file that the command line names. `RELAY_NAME`, `RELAY_LISTEN`,
//! `RELAY_DISCOVERY` and `RELAY_OPERATOR` replace keys that the JSON file does not contain.

mod check;
mod error;
mod json_location;
mod key_file;
mod options;
mod parse;
mod platform_error;
mod successor;
#[cfg(test)]
mod tests;

use crate::discovery::EndpointUpdate;
use birchreach_options::Options;
use birchreach_peer_state::frame::Keys;
use birchreach_settings::{DeploymentSettings, SettingsWarning};
pub(crate) use check::{CheckReport, check};
pub(crate) use error::ConfigError;
use key_file::read_key_file;
use options::read_options;
use parse::parse;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};

/// The environment variable with the path of the platform's file.
pub(crate) const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
const HEX_RADIX: u32 = 16;

/// A complete configuration without errors.
#[derive(Debug)]
pub(crate) struct Config {
    /// The name that identifies the proxy among the members of the fleet; `proxy` if none is configured.
    pub name: String,
    /// The address on which the proxy accepts clients.
    pub listen_address: SocketAddr,
    /// The address at which discovery is polled.
    pub discovery_address: SocketAddr,
    /// The address on which the proxy accepts operators; `None` if the admin listener is switched off.
    pub admin_address: Option<SocketAddr>,
    /// File descriptor of the listening socket for clients; `None` unless the process has inherited the socket from the
    /// platform.
    pub inherited_descriptor: Option<RawFd>,
    /// Seed of the random number generators. It must differ between proxies; the default is the process ID.
    pub seed: u64,
    /// File descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Memory that the process, together with other processes of this proxy, may hold, in bytes.
    pub memory_limit: usize,
    /// The endpoint list that this proxy had before its restart; `None` if the platform does not pass it.
    pub known_endpoints: Option<EndpointUpdate>,
    /// The platform's settings.
    pub deployment: DeploymentSettings,
    /// The options. Without an options file all of them are switched off.
    pub options: Options,
    /// The keys for state transfer between proxies; `None` if state transfer is switched off.
    pub gossip_keys: Option<Keys>,
    /// The keys for datagrams between members of the fleet; `None` if the fleet is switched off.
    pub fleet_keys: Option<Keys>,
    /// Warnings about settings that are unknown or contradict each other.
    pub warnings: Vec<SettingsWarning>,
    /// The settings and limits in the JSON of the file, with which a replacement is compared.
    limits_and_settings: Value,
}

/// Returns the value of an environment variable; `None` if it is not set or is not valid UTF-8.
pub(crate) fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Reads the configuration and the options. `variable` returns the values of environment variables.
pub(crate) fn load(
    variable: impl Fn(&str) -> Option<String>,
    options: Option<&Path>,
) -> Result<Config, ConfigError> {
    let file = variable(CONFIG_VARIABLE).ok_or(ConfigError::FileNotSpecified)?;
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(error) => return Err(ConfigError::Unreadable { file, error }),
    };
    let mut config = parse(&text, variable)
        .map_err(|errors| ConfigError::Invalid { file, first: errors.into_iter().next() })?;
    if let Some(options) = options {
        config.load_options(options)?;
    }
    Ok(config)
}

impl Config {
    /// Reads the options and the key files that they name.
    fn load_options(&mut self, file: &Path) -> Result<(), ConfigError> {
        self.options = read_options(file, self).map_err(|errors| ConfigError::Options {
            more: errors.len().saturating_sub(1),
            first: errors.into_iter().next(),
        })?;
        let gossip_key_file = self.options.peer_state.as_ref().map(|peer_state| &peer_state.key_file);
        let fleet_key_file = self.options.fleet.as_ref().map(|fleet| &fleet.key_file);
        self.gossip_keys = read_keys(gossip_key_file)?;
        self.fleet_keys = read_keys(fleet_key_file)?;
        Ok(())
    }
}

/// Reads a key file, if the options name one.
fn read_keys(file: Option<&PathBuf>) -> Result<Option<Keys>, ConfigError> {
    file.map(|file| read_key_file(file)).transpose().map_err(ConfigError::KeyFile)
}
