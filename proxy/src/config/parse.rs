//! The platform's JSON, parsed into a configuration with every fault of it.

use super::Config;
use crate::discovery::EndpointUpdate;
use crate::hash::fnv1a;
use birchreach_options::Options;
use birchreach_settings::{DeploymentSettings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// Descriptors that the process may hold where no limit is configured.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;
/// Fewer leave no place for one client and one database beside the proxy's own.
const MIN_MAX_DESCRIPTORS: u64 = 40;
/// The name of a proxy to which none is given.
const DEFAULT_NAME: &str = "proxy";
/// Descriptors up to this one are the standard streams.
const LAST_STANDARD_DESCRIPTOR: RawFd = 2;

/// Reads a configuration. Each fault begins with the path of its key.
pub(super) fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, Vec<String>> {
    let root: Value = serde_json::from_str(text).map_err(|error| vec![format!("not JSON: {error}")])?;
    let file = PlatformFile { root: &root, variable };
    let admin_address = file.admin_address();
    let max_descriptors = file.max_descriptors();
    let known_endpoints = file.known_endpoints();
    let deployment = file.deployment();
    let listen_address = file.address("listen", "RELAY_LISTEN");
    let discovery_address = file.address("discovery", "RELAY_DISCOVERY");
    match (admin_address, max_descriptors, known_endpoints, deployment, listen_address, discovery_address) {
        (
            Ok(admin_address),
            Ok(max_descriptors),
            Ok(known_endpoints),
            Ok(deployment),
            Ok(listen_address),
            Ok(discovery_address),
        ) => Ok(Config {
            name: file.word("name", "RELAY_NAME").unwrap_or_else(|_| DEFAULT_NAME.into()),
            listen_address,
            discovery_address,
            admin_address,
            inherited_descriptor: file.inherited_descriptor(),
            seed: file.seed(),
            max_descriptors,
            known_endpoints,
            warnings: file.warnings(&deployment),
            deployment,
            options: Options::default(),
            gossip_keys: None,
            fleet_keys: None,
            raw: file.raw(),
        }),
        (admin, descriptors, known, deployment, listen, discovery) => {
            let first = [admin.err(), descriptors.err(), known.err()].into_iter().flatten();
            let last = [listen.err(), discovery.err()].into_iter().flatten();
            Err(first.chain(deployment.err().into_iter().flatten()).chain(last).collect())
        }
    }
}

/// The platform's JSON, and the variables that stand in for what it leaves out.
struct PlatformFile<'a, F> {
    root: &'a Value,
    variable: F,
}

impl<F: Fn(&str) -> Option<String>> PlatformFile<'_, F> {
    fn word(&self, key: &str, variable: &str) -> Result<String, String> {
        match self.root.get(key) {
            Some(Value::String(word)) => Ok(word.clone()),
            None | Some(Value::Null) => {
                (self.variable)(variable).ok_or(format!("{key}: absent, and {variable} is not set"))
            }
            Some(_) => Err(format!("{key}: expected a word")),
        }
    }

    fn address(&self, key: &str, variable: &str) -> Result<SocketAddr, String> {
        let word = self.word(key, variable)?;
        word.parse().map_err(|_| format!("{key}: expected an address and a port, found '{word}'"))
    }

    fn admin_address(&self) -> Result<Option<SocketAddr>, String> {
        const VARIABLE: &str = "RELAY_OPERATOR";
        match self.root.get("operator") {
            None | Some(Value::Null) if (self.variable)(VARIABLE).is_none() => Ok(None),
            _ => self.address("operator", VARIABLE).map(Some),
        }
    }

    fn max_descriptors(&self) -> Result<usize, String> {
        let limit = match self.root.get("limits").and_then(|limits| limits.get("sockets")) {
            None | Some(Value::Null) => DEFAULT_MAX_DESCRIPTORS,
            Some(limit) => limit
                .as_u64()
                .filter(|limit| *limit >= MIN_MAX_DESCRIPTORS)
                .ok_or_else(|| format!("limits.sockets: expected {MIN_MAX_DESCRIPTORS} or more"))?,
        };
        Ok(usize::try_from(limit).unwrap_or(usize::MAX))
    }

    fn known_endpoints(&self) -> Result<Option<EndpointUpdate>, String> {
        match self.root.get("known") {
            None | Some(Value::Null) => Ok(None),
            Some(known) => {
                EndpointUpdate::deserialize(known).map(Some).map_err(|error| format!("known: {error}"))
            }
        }
    }

    fn deployment(&self) -> Result<DeploymentSettings, Vec<String>> {
        match self.root.get("settings") {
            None => Err(vec!["settings: absent".to_string()]),
            Some(settings) => {
                let (deployment, errors) = birchreach_settings::from_value_with_errors(settings);
                check_settings(deployment, &errors)
            }
        }
    }

    fn warnings(&self, deployment: &DeploymentSettings) -> Vec<String> {
        let settings = self.root.get("settings");
        settings.map_or_else(Vec::new, |settings| birchreach_settings::warnings(settings, deployment))
    }

    fn inherited_descriptor(&self) -> Option<RawFd> {
        let descriptor = (self.variable)("RELAY_INHERITED_FD")?.trim().parse().ok()?;
        (descriptor > LAST_STANDARD_DESCRIPTOR).then_some(descriptor)
    }

    /// Any seed will do, but proxies must not share theirs.
    fn seed(&self) -> u64 {
        match self.root.get("seed") {
            Some(Value::String(word)) => {
                u64::from_str_radix(word, 16).unwrap_or_else(|_| fnv1a(word.as_bytes()))
            }
            Some(Value::Number(number)) => number.as_u64().unwrap_or(1),
            _ => u64::from(std::process::id()),
        }
    }

    /// What a successor must have too.
    fn raw(&self) -> Value {
        let part = |key: &str| (key.to_string(), self.root.get(key).cloned().unwrap_or(Value::Null));
        [part("limits"), part("settings")].into_iter().collect()
    }
}

/// Settings without errors, and with which requests can be served.
fn check_settings(
    settings: DeploymentSettings,
    errors: &[SettingsError],
) -> Result<DeploymentSettings, Vec<String>> {
    let unreadable: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let mut faults = unreadable.clone();
    let mut expect = |holds: bool, key: &str, expected: &str| {
        let key = format!("settings: {key}: ");
        // What could not be read is not reported again.
        if !holds && !unreadable.iter().any(|fault| fault.starts_with(&key)) {
            faults.push(format!("{key}expected {expected}"));
        }
    };
    let names = &settings.class_names;
    expect(!names.is_empty(), "classes", "one at least");
    for (index, (name, class)) in names.iter().zip(&settings.routing.classes).enumerate() {
        let is_unique = !name.is_empty() && !names[..index].contains(name);
        expect(is_unique, &format!("classes[{index}].name"), "a name of its own");
        let has_timeout = class.client_timeout > 0;
        expect(has_timeout, &format!("classes[{index}].deadline_ms"), "a positive number");
    }
    expect(settings.routing.max_attempts != 0, "limits.attempts_cap", "a positive number");
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}
