//! The configuration, read at the start and again at each SIGHUP. `RELAY_CONFIG` names the platform's JSON file; `RELAY_NAME`,
//! `RELAY_LISTEN`, `RELAY_DISCOVERY` and `RELAY_OPERATOR` stand in for what that file leaves out. The options are an XML file that
//! the command line names. Both are applied, or neither.

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

/// The variable that names the platform's file.
pub(crate) const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
const HEX_RADIX: u32 = 16;

/// A configuration, complete and without faults.
#[derive(Debug)]
pub(crate) struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where discovery is polled.
    pub discovery_address: SocketAddr,
    /// Where operators connect, if anywhere.
    pub admin_address: Option<SocketAddr>,
    /// The descriptor of the listening socket, where the platform holds it.
    pub inherited_descriptor: Option<RawFd>,
    /// Seed of what is random.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The endpoint list as this proxy last had it.
    pub known_endpoints: Option<EndpointUpdate>,
    /// The platform's settings.
    pub deployment: DeploymentSettings,
    /// The options; without a file all of them are off.
    pub options: Options,
    /// The keys among proxies, where the options name a file of them.
    pub gossip_keys: Option<Keys>,
    /// The keys of the fleet's datagrams, likewise.
    pub fleet_keys: Option<Keys>,
    /// What the settings probably do not mean; they are applied all the same.
    pub warnings: Vec<SettingsWarning>,
    /// The settings and limits as the file has them, with which a successor is compared.
    limits_and_settings: Value,
}

/// A variable of the process's environment.
pub(crate) fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Reads the configuration and the options.
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
        .map_err(|faults| ConfigError::Invalid { file, first: faults.into_iter().next() })?;
    if let Some(options) = options {
        config.load_options(options)?;
    }
    Ok(config)
}

impl Config {
    /// Reads the options, and the files of keys that they name.
    fn load_options(&mut self, file: &Path) -> Result<(), ConfigError> {
        self.options = read_options(file, self).map_err(|faults| ConfigError::Options {
            more: faults.len().saturating_sub(1),
            first: faults.into_iter().next(),
        })?;
        let gossip_key_file = self.options.peer_state.as_ref().map(|transfer| &transfer.key_file);
        let fleet_key_file = self.options.fleet.as_ref().map(|fleet| &fleet.key_file);
        self.gossip_keys = read_keys(gossip_key_file)?;
        self.fleet_keys = read_keys(fleet_key_file)?;
        Ok(())
    }
}

/// Reads a file of keys, where there is one.
fn read_keys(file: Option<&PathBuf>) -> Result<Option<Keys>, ConfigError> {
    file.map(|file| read_key_file(file)).transpose().map_err(ConfigError::KeyFile)
}
