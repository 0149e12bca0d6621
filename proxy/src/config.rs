//! What the proxy is told at its start, and again at each SIGHUP: `RELAY_CONFIG` names a JSON file; `RELAY_NAME`,
//! `RELAY_LISTEN`, `RELAY_DISCOVERY` and `RELAY_OPERATOR` stand in for what that file leaves out. Options of our own, an
//! XML file that the command line names, stand beside it. Both are taken, or neither.

use crate::discovery::Update;
use birchreach_knowledge::frame::Keys;
use birchreach_options::Options;
use birchreach_settings::Site;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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
    /// Options of our own; without a file all that is new is off.
    pub options: Options,
    /// The keys among proxies, where the options name a file of them.
    pub keys: Option<Keys>,
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
        config.keys = match &config.options.knowledge {
            Some(knowledge) => Some(keys(&knowledge.key_file).map_err(|f| f.to_string())?),
            None => None,
        };
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
        let named = options_alone(path).ok().and_then(|options| options.knowledge);
        faults.extend(read.err().unwrap_or_default());
        faults.extend(named.and_then(|knowledge| keys(&knowledge.key_file).err()));
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
    let ours = |f: birchreach_options::Fault| fault(f.line, &f.element, f.message);
    birchreach_options::parse(&text).map_err(|faults| faults.into_iter().map(ours).collect())
}

/// A file of keys: one a line, its number and its secret in hexadecimal digits; the first is the one to speak with. Nobody
/// but its owner may read it.
fn keys(path: &Path) -> Result<Keys, Fault> {
    use std::os::unix::fs::PermissionsExt;
    let fault = |line, message: String| Fault { file: path.into(), line, element: "key".into(), message };
    let meta = std::fs::metadata(path).map_err(|e| fault(1, e.to_string()))?;
    if meta.permissions().mode() & 0o077 != 0 {
        return Err(fault(1, "others may read it: expected mode 0600 or 0400".into()));
    }
    let text = std::fs::read_to_string(path).map_err(|e| fault(1, e.to_string()))?;
    let mut keys = Vec::new();
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty() && !l.starts_with('#')) {
        let (id, secret) = line.trim().split_once(' ').ok_or_else(|| fault(n + 1, "no secret".into()))?;
        let id = id.parse().map_err(|_| fault(n + 1, "a key's number is no number".into()))?;
        let digits = secret.trim().as_bytes();
        let pair = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
        let secret: Option<Vec<u8>> = digits.chunks(2).map(pair).collect();
        let secret = secret.filter(|_| digits.len() % 2 == 0);
        keys.push((
            id,
            secret.ok_or_else(|| fault(n + 1, "the secret is not in pairs of hexadecimal digits".into()))?,
        ));
    }
    Keys::new(keys).map_err(|why| fault(1, why.into()))
}

/// The options, which must not clash with what the platform told.
fn read_options(path: &Path, config: &Config) -> Result<Options, Vec<Fault>> {
    let options = options_alone(path)?;
    let mut others = vec![("listen", config.listen), ("discovery", config.discovery)];
    others.extend(config.operator.map(|at| ("operator", at)));
    let mut taken = options.taken(&others);
    taken.extend(options.too_many(config.sockets));
    if taken.is_empty() {
        return Ok(options);
    }
    let ours = |f: birchreach_options::Fault| Fault {
        file: path.into(),
        line: f.line,
        element: f.element,
        message: f.message,
    };
    Err(taken.into_iter().map(ours).collect())
}

/// Finds where a fault of the JSON stands: its message begins with the path of keys.
fn located(file: &Path, text: &str, message: &str) -> Fault {
    let mut element = Vec::new();
    let mut rest = message;
    while let Some((key, more)) = rest.split_once(": ").filter(|(key, _)| !key.contains(' ')) {
        element.push(key);
        rest = more;
    }
    let line_of =
        |at: usize| 1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count();
    let line = match serde_json::from_str::<serde::de::IgnoredAny>(text) {
        Err(e) => e.line(),
        Ok(_) => place(text, &element.join(".")).map_or(1, line_of),
    };
    let element = if element.is_empty() { "file".into() } else { element.join(": ") };
    Fault { file: file.into(), line, element, message: rest.into() }
}

/// Where the value of `a.b[2].c` begins, or the last part of the path that is there.
fn place(text: &str, path: &str) -> Option<usize> {
    use jsonc_parser::ast::Value as Node;
    use jsonc_parser::common::Ranged;
    let ast = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default()).ok()?;
    let root = ast.value?;
    let mut node = &root;
    for key in path.split(['.', '[']).filter(|key| !key.is_empty()) {
        let next = match (node, key.strip_suffix(']').and_then(|n| n.parse::<usize>().ok())) {
            (Node::Array(list), Some(n)) => list.elements.get(n),
            (Node::Object(object), _) => object.get(key).map(|property| &property.value),
            _ => None,
        };
        match next {
            Some(next) => node = next,
            None => break,
        }
    }
    Some(node.range().start)
}

/// Each fault begins with the path of its key.
fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, Vec<String>> {
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
        Some(v) => Update::from_json(v).map(Some).map_err(|e| format!("known: {e}")),
    };
    let site = match root.get("settings") {
        None => Err(vec!["settings: absent".to_string()]),
        Some(settings) => sound(birchreach_settings::all_from_value(settings)),
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
                    .map_or_else(Vec::new, |told| birchreach_settings::doubts(told, &site)),
                site,
                options: Options::default(),
                keys: None,
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
fn sound((site, mut faults): (Site, Vec<String>)) -> Result<Site, Vec<String>> {
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
    for (i, (name, class)) in names.iter().zip(&site.module.classes).enumerate() {
        if name.is_empty() || names[..i].contains(name) {
            fault(&format!("classes[{i}].name"), "a name of its own");
        }
        if class.deadline <= 0 {
            fault(&format!("classes[{i}].deadline_ms"), "a positive number");
        }
    }
    if site.module.max_attempts == 0 {
        fault("limits.attempts_cap", "a positive number");
    }
    if faults.is_empty() { Ok(site) } else { Err(faults) }
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
