//! What the proxy is told at its start, and again at each SIGHUP: `RELAY_CONFIG` names a JSON file; `RELAY_NAME`,
//! `RELAY_LISTEN`, `RELAY_DISCOVERY` and `RELAY_OPERATOR` stand in for what that file leaves out. Options of our own, an
//! XML file that the command line names, stand beside it. Both are taken, or neither.

mod keys;
mod parse;
mod place;

use crate::discovery::EndpointUpdate;
use birchreach_options::Options;
use birchreach_peer_state::frame::Keys;
use birchreach_settings::DeploymentSettings;
use keys::keys;
use parse::{lacks, parse};
use place::located;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub operator: Option<SocketAddr>,
    /// The descriptor of the listening socket, where the platform holds it.
    pub inherited: Option<i32>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The list of databases as this proxy last had it.
    pub known: Option<EndpointUpdate>,
    pub site: DeploymentSettings,
    /// Options of our own; without a file all that is new is off.
    pub options: Options,
    /// The keys among proxies, where the options name a file of them.
    pub keys: Option<Keys>,
    /// And those of the fleet's datagrams.
    pub fleet_keys: Option<Keys>,
    /// What the settings are likely not to mean; served with all the same.
    pub doubts: Vec<String>,
    /// The settings and limits as the file has them.
    pub raw: Value,
}

impl Config {
    /// Takes another configuration in this one's place, unless it is broken in a way that a first one cannot
    /// be told to be: what the settings in force have, it must have too.
    pub fn succeeds(&self, new: Config) -> Result<Config, String> {
        if let Some(path) = lacks(&self.raw, &new.raw, "") {
            return Err(format!("{path}: absent, or not of its kind"));
        }
        let extra = |key: &str| new.raw.pointer(&format!("/settings/extra/{key}")).and_then(Value::as_array);
        for key in ["class_read", "max_age_ms"] {
            if extra(key).is_some_and(|list| list.len() != new.site.class_names.len()) {
                return Err(format!("settings.extra.{key}: expected one for each class"));
            }
        }
        Ok(new)
    }

    /// What another configuration has otherwise and only a restart brings into force. `known` and `seed` are
    /// for the start alone.
    pub fn differs(&self, new: &Config) -> Vec<&'static str> {
        let parts = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("operator", self.operator != new.operator),
            ("fleet", (&self.options.fleet, &self.fleet_keys) != (&new.options.fleet, &new.fleet_keys)),
            ("knowledge", (&self.options.knowledge, &self.keys) != (&new.options.knowledge, &new.keys)),
        ];
        parts.into_iter().filter_map(|(part, other)| other.then_some(part)).collect()
    }
}

pub fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: PathBuf,
    pub line: usize,
    pub element: String,
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file.display(), self.line, self.element, self.message)
    }
}

/// Reads the configuration and the options; the error is one plain line.
pub fn load(env: impl Fn(&str) -> Option<String>, options: Option<&Path>) -> Result<Config, String> {
    let path = env("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set: it must name the configuration file")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let first = |faults: Vec<String>| faults.into_iter().next().unwrap_or_default().replace('\n', " ");
    let mut config = parse(&text, env).map_err(|faults| format!("{path}: {}", first(faults)))?;
    if let Some(path) = options {
        config.options = read_options(path, &config).map_err(|faults| {
            let more = faults.len().saturating_sub(1);
            let more = if more > 0 { format!(" (and {more} more)") } else { String::new() };
            faults.into_iter().next().map_or_else(String::new, |f| f.to_string()) + &more
        })?;
        let read =
            |file: Option<&PathBuf>| file.map(|file| keys(file).map_err(|f| f.to_string())).transpose();
        config.keys = read(config.options.knowledge.as_ref().map(|knowledge| &knowledge.key_file))?;
        config.fleet_keys = read(config.options.fleet.as_ref().map(|fleet| &fleet.key_file))?;
    }
    Ok(config)
}

/// Every fault of both files, and every doubt about the configuration.
pub fn check(env: impl Fn(&str) -> Option<String>, options: Option<&Path>) -> (Vec<Fault>, Vec<Fault>) {
    let whole =
        |file: &Path, message: String| Fault { file: file.into(), line: 1, element: "file".into(), message };
    let Some(path) = env("RELAY_CONFIG").map(PathBuf::from) else {
        let unset = "not set: it must name the configuration file".into();
        return (vec![whole(Path::new("RELAY_CONFIG"), unset)], Vec::new());
    };
    let (mut faults, mut doubts) = (Vec::new(), Vec::new());
    let config = match std::fs::read_to_string(&path) {
        Err(e) => {
            faults.push(whole(&path, e.to_string()));
            None
        }
        Ok(text) => parse(&text, env)
            .inspect(|config| doubts.extend(config.doubts.iter().map(|doubt| located(&path, &text, doubt))))
            .map_err(|told| faults.extend(told.iter().map(|message| located(&path, &text, message))))
            .ok(),
    };
    if let Some(path) = options {
        let read = match &config {
            Some(config) => read_options(path, config).map(drop),
            None => options_alone(path).map(drop),
        };
        let named = options_alone(path).unwrap_or_default();
        faults.extend(read.err().unwrap_or_default());
        faults.extend(named.knowledge.and_then(|knowledge| keys(&knowledge.key_file).err()));
        faults.extend(named.fleet.and_then(|fleet| keys(&fleet.key_file).err()));
    }
    (faults, doubts)
}

fn options_alone(path: &Path) -> Result<Options, Vec<Fault>> {
    let fault = |line, element: &str, message: String| Fault {
        file: path.into(),
        line,
        element: element.into(),
        message,
    };
    let text = std::fs::read_to_string(path).map_err(|e| vec![fault(1, "file", e.to_string())])?;
    let ours = |f: birchreach_options::OptionsError| fault(f.line, &f.element, f.message);
    birchreach_options::parse(&text).map_err(|faults| faults.into_iter().map(ours).collect())
}

/// The options, which must not clash with what the platform told.
fn read_options(path: &Path, config: &Config) -> Result<Options, Vec<Fault>> {
    let options = options_alone(path)?;
    let mut others = vec![("listen", config.listen), ("discovery", config.discovery)];
    others.extend(config.operator.map(|at| ("operator", at)));
    let mut taken = options.address_conflicts(&others);
    taken.extend(options.excess_descriptors(config.sockets));
    if taken.is_empty() {
        return Ok(options);
    }
    let ours = |f: birchreach_options::OptionsError| Fault {
        file: path.into(),
        line: f.line,
        element: f.element,
        message: f.message,
    };
    Err(taken.into_iter().map(ours).collect())
}

/// FNV-1a: the same number for the same bytes, today and after a restart.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}
