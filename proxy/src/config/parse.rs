//! The platform's JSON, parsed into a configuration with every fault of it.

use super::platform_error::{PlatformFileError, UnusableSetting};
use super::{Config, HEX_RADIX};
use crate::discovery::EndpointUpdate;
use crate::hash::fnv1a;
use birchreach_options::Options;
use birchreach_settings::{DeploymentSettings, SettingsError, SettingsWarning};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// Environment variables that stand in for keys.
const NAME_VARIABLE: &str = "RELAY_NAME";
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";
const ADMIN_VARIABLE: &str = "RELAY_OPERATOR";
/// The environment variable with the number of a listening socket's descriptor that the process has inherited.
const INHERITED_DESCRIPTOR_VARIABLE: &str = "RELAY_INHERITED_FD";
/// Descriptors that the process may hold where no limit is configured.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;
/// Fewer leave no room for one client and one database beside the proxy's own.
const MIN_MAX_DESCRIPTORS: u64 = 40;
/// The name of a proxy to which none is given.
const DEFAULT_NAME: &str = "proxy";
/// Descriptors up to this one are the standard streams.
const LAST_STANDARD_DESCRIPTOR: RawFd = 2;

/// Reads a configuration, or finds every fault of it.
pub(super) fn parse(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, Vec<PlatformFileError>> {
    let root: Value =
        serde_json::from_str(text).map_err(|error| vec![PlatformFileError::InvalidJson(error)])?;
    let file = PlatformFile { root: &root, variable };
    let mut faults = Vec::new();
    let admin_address = ok_or_record(file.admin_address(), &mut faults);
    let max_descriptors = ok_or_record(file.max_descriptors(), &mut faults);
    let known_endpoints = ok_or_record(file.known_endpoints(), &mut faults);
    let deployment = file.deployment().map_err(|errors| faults.extend(errors)).ok();
    let listen_address = ok_or_record(file.address("listen", LISTEN_VARIABLE), &mut faults);
    let discovery_address = ok_or_record(file.address("discovery", DISCOVERY_VARIABLE), &mut faults);
    let (
        Some(admin_address),
        Some(max_descriptors),
        Some(known_endpoints),
        Some(deployment),
        Some(listen_address),
        Some(discovery_address),
    ) = (admin_address, max_descriptors, known_endpoints, deployment, listen_address, discovery_address)
    else {
        return Err(faults);
    };
    Ok(Config {
        name: file.string("name", NAME_VARIABLE).unwrap_or_else(|_| DEFAULT_NAME.into()),
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
        limits_and_settings: file.limits_and_settings(),
    })
}

/// The value of a result; an error is added to the faults.
fn ok_or_record<T>(result: Result<T, PlatformFileError>, faults: &mut Vec<PlatformFileError>) -> Option<T> {
    result.map_err(|fault| faults.push(fault)).ok()
}

/// The platform's JSON, and the environment variables that stand in for what it leaves out.
struct PlatformFile<'a, F> {
    root: &'a Value,
    variable: F,
}

impl<F: Fn(&str) -> Option<String>> PlatformFile<'_, F> {
    /// The value at a JSON pointer. An absent key and `null` are the same.
    fn value(&self, pointer: &str) -> Option<&Value> {
        self.root.pointer(pointer).filter(|value| !value.is_null())
    }

    /// The string at a key, or else in an environment variable.
    fn string(&self, key: &'static str, variable: &'static str) -> Result<String, PlatformFileError> {
        match self.value(&format!("/{key}")) {
            Some(Value::String(string)) => Ok(string.clone()),
            Some(_) => Err(PlatformFileError::NotAString { key }),
            None => (self.variable)(variable).ok_or(PlatformFileError::MissingString { key, variable }),
        }
    }

    /// The address at a key, or else in an environment variable.
    fn address(&self, key: &'static str, variable: &'static str) -> Result<SocketAddr, PlatformFileError> {
        let string = self.string(key, variable)?;
        string.parse().map_err(|_| PlatformFileError::InvalidAddress { key, found: string })
    }

    /// The address is optional.
    fn admin_address(&self) -> Result<Option<SocketAddr>, PlatformFileError> {
        if self.value("/operator").is_none() && (self.variable)(ADMIN_VARIABLE).is_none() {
            return Ok(None);
        }
        self.address("operator", ADMIN_VARIABLE).map(Some)
    }

    /// The limit of descriptors, or its default.
    fn max_descriptors(&self) -> Result<usize, PlatformFileError> {
        let limit = match self.value("/limits/sockets") {
            None => DEFAULT_MAX_DESCRIPTORS,
            Some(limit) => limit
                .as_u64()
                .filter(|limit| *limit >= MIN_MAX_DESCRIPTORS)
                .ok_or(PlatformFileError::InvalidDescriptorLimit { min: MIN_MAX_DESCRIPTORS })?,
        };
        Ok(usize::try_from(limit).unwrap_or(usize::MAX))
    }

    /// The endpoint list as this proxy last had it, if the file has one.
    fn known_endpoints(&self) -> Result<Option<EndpointUpdate>, PlatformFileError> {
        let known = self.value("/known").map(EndpointUpdate::deserialize);
        known.transpose().map_err(PlatformFileError::InvalidKnownEndpoints)
    }

    /// The settings, which must have no errors.
    fn deployment(&self) -> Result<DeploymentSettings, Vec<PlatformFileError>> {
        match self.root.get("settings") {
            None => Err(vec![PlatformFileError::MissingSettings]),
            Some(settings) => {
                let (deployment, errors) = birchreach_settings::from_value_with_errors(settings);
                check_settings(deployment, errors)
            }
        }
    }

    fn warnings(&self, deployment: &DeploymentSettings) -> Vec<SettingsWarning> {
        let settings = self.root.get("settings");
        settings.map_or_else(Vec::new, |settings| birchreach_settings::warnings(settings, deployment))
    }

    /// The descriptor of an inherited listening socket. One of a standard stream, or a text that is no number, counts as none.
    fn inherited_descriptor(&self) -> Option<RawFd> {
        let descriptor = (self.variable)(INHERITED_DESCRIPTOR_VARIABLE)?.trim().parse().ok()?;
        (descriptor > LAST_STANDARD_DESCRIPTOR).then_some(descriptor)
    }

    /// Any seed will do, but proxies must not share theirs.
    fn seed(&self) -> u64 {
        match self.root.get("seed") {
            Some(Value::String(string)) => {
                u64::from_str_radix(string, HEX_RADIX).unwrap_or_else(|_| fnv1a(string.as_bytes()))
            }
            Some(Value::Number(number)) => number.as_u64().unwrap_or(1),
            _ => u64::from(std::process::id()),
        }
    }

    /// The parts whose keys a successor must have too.
    fn limits_and_settings(&self) -> Value {
        let part = |key: &str| (key.to_string(), self.root.get(key).cloned().unwrap_or(Value::Null));
        [part("limits"), part("settings")].into_iter().collect()
    }
}

/// Settings without errors, and with which requests can be served.
fn check_settings(
    settings: DeploymentSettings,
    errors: Vec<SettingsError>,
) -> Result<DeploymentSettings, Vec<PlatformFileError>> {
    let mut unusable = unusable_settings(&settings);
    // What could not be read is not reported again.
    unusable.retain(|setting| errors.iter().all(|error| error.key() != setting.key()));
    let unreadable = errors.into_iter().map(PlatformFileError::UnreadableSetting);
    let faults: Vec<_> =
        unreadable.chain(unusable.into_iter().map(PlatformFileError::UnusableSetting)).collect();
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// Settings with which no request can be served.
fn unusable_settings(settings: &DeploymentSettings) -> Vec<UnusableSetting> {
    let names = &settings.class_names;
    let mut unusable = Vec::new();
    if names.is_empty() {
        unusable.push(UnusableSetting::NoClasses);
    }
    for (class, (name, rules)) in names.iter().zip(&settings.routing.classes).enumerate() {
        if name.is_empty() || names[..class].contains(name) {
            unusable.push(UnusableSetting::NameNotUnique { class });
        }
        if rules.client_timeout <= 0 {
            unusable.push(UnusableSetting::ZeroTimeout { class });
        }
    }
    if settings.routing.max_attempts == 0 {
        unusable.push(UnusableSetting::NoAttempts);
    }
    unusable
}
