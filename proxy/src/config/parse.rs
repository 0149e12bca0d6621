//! Parses the platform's JSON file into a configuration, and collects all of its errors.

use super::platform_error::{PlatformFileError, UnusableSetting};
use super::{Config, HEX_RADIX};
use crate::discovery::EndpointUpdate;
use crate::hash::fnv1a;
use birchreach_options::Options;
use birchreach_settings::{DeploymentSettings, FoundValue, SettingsError, SettingsWarning};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// Environment variables that replace missing keys of the file.
const NAME_VARIABLE: &str = "RELAY_NAME";
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";
const ADMIN_VARIABLE: &str = "RELAY_OPERATOR";
/// The environment variable with the number of the file descriptor of an inherited listening socket.
const INHERITED_DESCRIPTOR_VARIABLE: &str = "RELAY_INHERITED_FD";
/// File descriptors that the process may have open if no limit is configured.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;
/// The lowest valid limit of file descriptors. A lower limit would not leave enough for the proxy itself, one client
/// and one database.
const MIN_MAX_DESCRIPTORS: u64 = 40;
/// Memory that the process may hold if no limit is configured: the most that the platform gives a proxy, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// The lowest valid limit of memory, in megabytes.
const MIN_MEMORY_MB: f64 = 1.0;
/// The platform does not say which megabyte it means; this is the smaller one.
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// The name of a proxy if none is configured.
const DEFAULT_NAME: &str = "proxy";
/// File descriptors 0 to 2 are the standard streams.
const LAST_STANDARD_DESCRIPTOR: RawFd = 2;

/// Parses a configuration. Returns all errors if there are any.
pub(super) fn parse(
    text: &str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, Vec<PlatformFileError>> {
    let root: Value =
        serde_json::from_str(text).map_err(|error| vec![PlatformFileError::InvalidJson(error)])?;
    let file = PlatformFile { root: &root, variable };
    let mut errors = Vec::new();
    let admin_address = ok_or_record(file.admin_address(), &mut errors);
    let max_descriptors = ok_or_record(file.max_descriptors(), &mut errors);
    let memory_limit = ok_or_record(file.memory_limit(), &mut errors);
    let known_endpoints = ok_or_record(file.known_endpoints(), &mut errors);
    let deployment = file.deployment().map_err(|found| errors.extend(found)).ok();
    let listen_address = ok_or_record(file.address("listen", LISTEN_VARIABLE), &mut errors);
    let discovery_address = ok_or_record(file.address("discovery", DISCOVERY_VARIABLE), &mut errors);
    let (
        Some(admin_address),
        Some(max_descriptors),
        Some(memory_limit),
        Some(known_endpoints),
        Some(deployment),
        Some(listen_address),
        Some(discovery_address),
    ) = (
        admin_address,
        max_descriptors,
        memory_limit,
        known_endpoints,
        deployment,
        listen_address,
        discovery_address,
    )
    else {
        return Err(errors);
    };
    Ok(Config {
        name: file.string("name", NAME_VARIABLE).unwrap_or_else(|_| DEFAULT_NAME.into()),
        listen_address,
        discovery_address,
        admin_address,
        inherited_descriptor: file.inherited_descriptor(),
        seed: file.seed(),
        max_descriptors,
        memory_limit,
        known_endpoints,
        warnings: file.warnings(&deployment),
        deployment,
        options: Options::default(),
        gossip_keys: None,
        fleet_keys: None,
        limits_and_settings: file.limits_and_settings(),
    })
}

/// Returns the value of a result, or adds its error to a list.
fn ok_or_record<T>(result: Result<T, PlatformFileError>, errors: &mut Vec<PlatformFileError>) -> Option<T> {
    result.map_err(|error| errors.push(error)).ok()
}

/// The platform's JSON file, and the environment variables that replace missing keys.
struct PlatformFile<'a, F> {
    root: &'a Value,
    variable: F,
}

impl<F: Fn(&str) -> Option<String>> PlatformFile<'_, F> {
    /// Returns the value at a JSON pointer. A key with the value `null` counts as missing.
    fn value(&self, pointer: &str) -> Option<&Value> {
        self.root.pointer(pointer).filter(|value| !value.is_null())
    }

    /// Returns the string at a key, or the value of an environment variable if the key is missing.
    fn string(&self, key: &'static str, variable: &'static str) -> Result<String, PlatformFileError> {
        match self.value(&format!("/{key}")) {
            Some(Value::String(string)) => Ok(string.clone()),
            Some(value) => Err(PlatformFileError::NotAString { key, found: value.into() }),
            None => (self.variable)(variable).ok_or(PlatformFileError::MissingString { key, variable }),
        }
    }

    /// Returns the address at a key, or in an environment variable if the key is missing.
    fn address(&self, key: &'static str, variable: &'static str) -> Result<SocketAddr, PlatformFileError> {
        let string = self.string(key, variable)?;
        string.parse().map_err(|_| {
            let found = FoundValue::from(&Value::String(string));
            PlatformFileError::InvalidAddress { key, found }
        })
    }

    /// Returns the address for operators; `None` if neither the file nor the environment has one.
    fn admin_address(&self) -> Result<Option<SocketAddr>, PlatformFileError> {
        if self.value("/operator").is_none() && (self.variable)(ADMIN_VARIABLE).is_none() {
            return Ok(None);
        }
        self.address("operator", ADMIN_VARIABLE).map(Some)
    }

    /// Returns the limit of file descriptors, or its default.
    fn max_descriptors(&self) -> Result<usize, PlatformFileError> {
        let limit = match self.value("/limits/sockets") {
            None => DEFAULT_MAX_DESCRIPTORS,
            Some(value) => value.as_u64().filter(|limit| *limit >= MIN_MAX_DESCRIPTORS).ok_or_else(|| {
                PlatformFileError::InvalidDescriptorLimit { min: MIN_MAX_DESCRIPTORS, found: value.into() }
            })?,
        };
        Ok(usize::try_from(limit).unwrap_or(usize::MAX))
    }

    /// Returns the limit of memory in bytes, or its default.
    fn memory_limit(&self) -> Result<usize, PlatformFileError> {
        let megabytes = match self.value("/limits/memory_mb") {
            None => DEFAULT_MEMORY_MB,
            Some(value) => value.as_f64().filter(|limit| *limit >= MIN_MEMORY_MB).ok_or_else(|| {
                PlatformFileError::InvalidMemoryLimit { min: MIN_MEMORY_MB, found: value.into() }
            })?,
        };
        // A conversion from a float is limited to the range of the integer.
        Ok((megabytes * BYTES_PER_MEGABYTE) as usize)
    }

    /// Returns the endpoint list that this proxy had before its restart, if the file has one.
    fn known_endpoints(&self) -> Result<Option<EndpointUpdate>, PlatformFileError> {
        let known = self.value("/known").map(EndpointUpdate::deserialize);
        known.transpose().map_err(PlatformFileError::InvalidKnownEndpoints)
    }

    /// Returns the settings, or all of their errors.
    fn deployment(&self) -> Result<DeploymentSettings, Vec<PlatformFileError>> {
        match self.root.get("settings") {
            None => Err(vec![PlatformFileError::MissingSettings]),
            Some(settings) => {
                let (deployment, errors) = birchreach_settings::from_value_with_errors(settings);
                check_settings(settings, deployment, errors)
            }
        }
    }

    /// Returns the warnings about the settings.
    fn warnings(&self, deployment: &DeploymentSettings) -> Vec<SettingsWarning> {
        let settings = self.root.get("settings");
        settings.map_or_else(Vec::new, |settings| birchreach_settings::warnings(settings, deployment))
    }

    /// Returns the file descriptor of an inherited listening socket. Returns `None` for the descriptor of a standard
    /// stream and for a text that is not a number.
    fn inherited_descriptor(&self) -> Option<RawFd> {
        let descriptor = (self.variable)(INHERITED_DESCRIPTOR_VARIABLE)?.trim().parse().ok()?;
        (descriptor > LAST_STANDARD_DESCRIPTOR).then_some(descriptor)
    }

    /// Returns the seed of the random number generator. Proxies must not share a seed, so that the default is the process
    /// ID. Any configured value is accepted.
    fn seed(&self) -> u64 {
        match self.root.get("seed") {
            Some(Value::String(string)) => {
                u64::from_str_radix(string, HEX_RADIX).unwrap_or_else(|_| fnv1a(string.as_bytes()))
            }
            Some(Value::Number(number)) => number.as_u64().unwrap_or(1),
            _ => u64::from(std::process::id()),
        }
    }

    /// Returns the parts of the file whose keys a replacement must have too.
    fn limits_and_settings(&self) -> Value {
        let part = |key: &str| (key.to_string(), self.root.get(key).cloned().unwrap_or(Value::Null));
        [part("limits"), part("settings")].into_iter().collect()
    }
}

/// Returns the settings if they were read without errors and allow requests to be served, or else all errors.
fn check_settings(
    json: &Value,
    settings: DeploymentSettings,
    errors: Vec<SettingsError>,
) -> Result<DeploymentSettings, Vec<PlatformFileError>> {
    let mut unusable = unusable_settings(json, &settings);
    // A setting that could not be read is not reported a second time as unusable.
    unusable.retain(|setting| errors.iter().all(|error| error.key() != setting.key()));
    let unreadable = errors.into_iter().map(PlatformFileError::UnreadableSetting);
    let all: Vec<_> =
        unreadable.chain(unusable.into_iter().map(PlatformFileError::UnusableSetting)).collect();
    if all.is_empty() { Ok(settings) } else { Err(all) }
}

/// Returns the settings whose values make it impossible to serve requests.
fn unusable_settings(json: &Value, settings: &DeploymentSettings) -> Vec<UnusableSetting> {
    let value_at = |pointer: &str| FoundValue::from(json.pointer(pointer).unwrap_or(&Value::Null));
    let names = &settings.class_names;
    let mut unusable = Vec::new();
    if names.is_empty() {
        unusable.push(UnusableSetting::NoClasses);
    }
    for (class, (name, rules)) in names.iter().zip(&settings.routing.classes).enumerate() {
        if name.is_empty() || names[..class].contains(name) {
            let found = value_at(&format!("/classes/{class}/name"));
            unusable.push(UnusableSetting::NameNotUnique { class, found });
        }
        if rules.client_timeout <= 0 {
            let found = value_at(&format!("/classes/{class}/deadline_ms"));
            unusable.push(UnusableSetting::ZeroTimeout { class, found });
        }
    }
    if settings.routing.max_attempts == 0 {
        unusable.push(UnusableSetting::NoAttempts { found: value_at("/limits/attempts_cap") });
    }
    unusable
}
