//! The platform's JSON into a configuration, with every fault of it; and what a later one must have that an earlier one had.

use super::{Config, hash};
use crate::discovery::EndpointUpdate;
use birchreach_options::Options;
use birchreach_settings::{DeploymentSettings, SettingsError};
use serde::Deserialize;
use serde_json::Value;

/// Descriptors assumed where no limit is told.
const SOCKETS: u64 = 1024;
/// Fewer leave no room for one client and one database beside the proxy's own.
const LEAST_SOCKETS: u64 = 40;

/// Each fault begins with the path of its key.
pub(super) fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, Vec<String>> {
    let root: Value = serde_json::from_str(text).map_err(|e| vec![format!("not JSON: {e}")])?;
    let word = |key: &str, variable: &str| match root.get(key) {
        Some(Value::String(word)) => Ok(word.clone()),
        None | Some(Value::Null) => env(variable).ok_or(format!("{key}: absent, and {variable} is not set")),
        Some(_) => Err(format!("{key}: expected a word")),
    };
    let address = |key: &str, variable: &str| {
        let word = word(key, variable)?;
        word.parse().map_err(|_| format!("{key}: expected an address and a port, found '{word}'"))
    };
    let operator = match root.get("operator") {
        None | Some(Value::Null) if env("RELAY_OPERATOR").is_none() => Ok(None),
        _ => address("operator", "RELAY_OPERATOR").map(Some),
    };
    let sockets = match root.get("limits").and_then(|l| l.get("sockets")) {
        None | Some(Value::Null) => Ok(SOCKETS),
        Some(v) => {
            let enough = v.as_u64().filter(|n| *n >= LEAST_SOCKETS);
            enough.ok_or_else(|| "limits.sockets: expected 40 or more".to_string())
        }
    };
    let known = match root.get("known") {
        None | Some(Value::Null) => Ok(None),
        Some(v) => EndpointUpdate::deserialize(v).map(Some).map_err(|e| format!("known: {e}")),
    };
    let site = match root.get("settings") {
        None => Err(vec!["settings: absent".to_string()]),
        Some(settings) => sound(birchreach_settings::from_value_with_errors(settings)),
    };
    let (listen, discovery) = (address("listen", "RELAY_LISTEN"), address("discovery", "RELAY_DISCOVERY"));
    match (operator, sockets, known, site, listen, discovery) {
        (Ok(operator), Ok(sockets), Ok(known), Ok(site), Ok(listen), Ok(discovery)) => {
            let part = |key: &str| (key.to_string(), root.get(key).cloned().unwrap_or(Value::Null));
            Ok(Config {
                name: word("name", "RELAY_NAME").unwrap_or_else(|_| "proxy".into()),
                listen,
                discovery,
                operator,
                inherited: env("RELAY_INHERITED_FD")
                    .and_then(|fd| fd.trim().parse().ok())
                    .filter(|fd| *fd > 2),
                seed: seed(root.get("seed")),
                sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
                known,
                doubts: root
                    .get("settings")
                    .map_or_else(Vec::new, |told| birchreach_settings::warnings(told, &site)),
                site,
                options: Options::default(),
                keys: None,
                fleet_keys: None,
                raw: [part("limits"), part("settings")].into_iter().collect(),
            })
        }
        (operator, sockets, known, site, listen, discovery) => {
            let singles = [operator.err(), sockets.err(), known.err()].into_iter().flatten();
            let last = [listen.err(), discovery.err()].into_iter().flatten();
            Err(singles.chain(site.err().into_iter().flatten()).chain(last).collect())
        }
    }
}

/// What the settings' form cannot tell: with these, no request could be served.
fn sound(
    (site, errors): (DeploymentSettings, Vec<SettingsError>),
) -> Result<DeploymentSettings, Vec<String>> {
    let mut faults: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let names = &site.class_names;
    let told = faults.clone();
    // What could not be read is not told of a second time.
    let mut fault = |key: &str, wanted: &str| {
        let key = format!("settings: {key}: ");
        if !told.iter().any(|fault| fault.starts_with(&key)) {
            faults.push(format!("{key}expected {wanted}"));
        }
    };
    if names.is_empty() {
        fault("classes", "one at least");
    }
    for (i, (name, class)) in names.iter().zip(&site.routing.classes).enumerate() {
        if name.is_empty() || names[..i].contains(name) {
            fault(&format!("classes[{i}].name"), "a name of its own");
        }
        if class.client_timeout <= 0 {
            fault(&format!("classes[{i}].deadline_ms"), "a positive number");
        }
    }
    if site.routing.max_attempts == 0 {
        fault("limits.attempts_cap", "a positive number");
    }
    if faults.is_empty() { Ok(site) } else { Err(faults) }
}

/// The first key of `old` that `new` lacks, or has as another kind of value. Lists may be of other lengths, but
/// each of their objects has the keys that all in the old list have.
pub(super) fn lacks(old: &Value, new: &Value, path: &str) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            match new.get(key) {
                None => Some(path),
                Some(new) => lacks(value, new, &path),
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let objects: Vec<_> = old.iter().filter_map(Value::as_object).collect();
            let (first, rest) = objects.split_first()?;
            let common = first.iter().filter(|(key, _)| rest.iter().all(|o| o.contains_key(*key)));
            let common: Value = common.map(|(key, value)| (key.clone(), value.clone())).collect();
            new.iter().enumerate().find_map(|(i, new)| lacks(&common, new, &format!("{path}[{i}]")))
        }
        (Value::Null, _) => None,
        _ if std::mem::discriminant(old) == std::mem::discriminant(new) => None,
        _ => Some(path.to_string()),
    }
}

/// Any seed will do; proxies only must not share theirs.
fn seed(told: Option<&Value>) -> u64 {
    match told {
        Some(Value::String(s)) => u64::from_str_radix(s, 16).unwrap_or_else(|_| hash(s.as_bytes())),
        Some(Value::Number(n)) => n.as_u64().unwrap_or(1),
        _ => u64::from(std::process::id()),
    }
}
