//! What the proxy is told at its start, and again at each SIGHUP: `RELAY_CONFIG` names a JSON file; `RELAY_NAME`,
//! `RELAY_LISTEN`, `RELAY_DISCOVERY` and `RELAY_OPERATOR` stand in for what that file leaves out.

use crate::discovery::Update;
use birchreach_settings::Site;
use serde_json::Value;
use std::net::SocketAddr;

/// Descriptors assumed where no limit is told.
const SOCKETS: u64 = 1024;
/// Fewer leave no room for one client and one database beside the proxy's own.
const LEAST_SOCKETS: u64 = 40;

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
    pub known: Option<Update>,
    pub site: Site,
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
        ];
        parts.into_iter().filter_map(|(part, other)| other.then_some(part)).collect()
    }
}

pub fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Reads the configuration; the error is one plain line.
pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = env("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set: it must name the configuration file")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    parse(&text, env).map_err(|e| format!("{path}: {}", e.replace('\n', " ")))
}

fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let root: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
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
        None | Some(Value::Null) if env("RELAY_OPERATOR").is_none() => None,
        _ => Some(address("operator", "RELAY_OPERATOR")?),
    };
    let sockets = match root.get("limits").and_then(|l| l.get("sockets")) {
        None | Some(Value::Null) => SOCKETS,
        Some(v) => v.as_u64().filter(|n| *n >= LEAST_SOCKETS).ok_or("limits.sockets: expected 40 or more")?,
    };
    let known = match root.get("known") {
        None | Some(Value::Null) => None,
        Some(v) => Some(Update::from_json(v).map_err(|e| format!("known: {e}"))?),
    };
    let settings = root.get("settings").ok_or("settings: absent")?;
    let site = birchreach_settings::from_value(settings)?;
    sound(&site)?;
    let part = |key: &str| (key.to_string(), root.get(key).cloned().unwrap_or(Value::Null));
    Ok(Config {
        name: word("name", "RELAY_NAME").unwrap_or_else(|_| "proxy".into()),
        listen: address("listen", "RELAY_LISTEN")?,
        discovery: address("discovery", "RELAY_DISCOVERY")?,
        operator,
        inherited: env("RELAY_INHERITED_FD").and_then(|fd| fd.trim().parse().ok()).filter(|fd| *fd > 2),
        seed: seed(root.get("seed")),
        sockets: usize::try_from(sockets).unwrap_or(usize::MAX),
        known,
        site,
        raw: [part("limits"), part("settings")].into_iter().collect(),
    })
}

/// What the settings' form cannot tell: with these, no request could be served.
fn sound(site: &Site) -> Result<(), String> {
    let names = &site.class_names;
    if names.is_empty() {
        return Err("settings: classes: expected one at least".into());
    }
    for (i, (name, class)) in names.iter().zip(&site.module.classes).enumerate() {
        if name.is_empty() || names[..i].contains(name) {
            return Err(format!("settings: classes[{i}].name: expected a name of its own"));
        }
        if class.deadline <= 0 {
            return Err(format!("settings: classes[{i}].deadline_ms: expected a positive number"));
        }
    }
    if site.module.max_attempts == 0 {
        return Err("settings: limits.attempts_cap: expected a positive number".into());
    }
    Ok(())
}

/// The first key of `old` that `new` lacks, or has as another kind of value. Lists may be of other lengths, but
/// each of their objects has the keys that all in the old list have.
fn lacks(old: &Value, new: &Value, path: &str) -> Option<String> {
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

/// FNV-1a: the same number for the same bytes, today and after a restart.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}
