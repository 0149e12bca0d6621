//! The settings of an exchange: the configuration and the command that starts the program.

use std::collections::HashMap;
use std::net::{IpAddr, TcpListener};

/// The names of the listeners of the discovery agent and of the databases. The configuration and the responses of the agent refer to
/// their addresses.
pub(super) const LISTENERS: [&str; 4] = ["agent", "p", "r", "q"];
/// The limit of file descriptors of the process if an exchange does not set another one.
const DEFAULT_DESCRIPTORS: &str = "256";

pub(super) type Listeners = HashMap<&'static str, TcpListener>;

/// The settings from the lines of an exchange that the player reads before it starts the program.
pub(super) struct Setup {
    /// The text of the configuration file.
    pub config: String,
    pub shell_command: String,
    /// The listening socket for clients if the platform passes it to the processes.
    pub inherited_listener: Option<TcpListener>,
}

impl Setup {
    /// Reads the settings from the text of an exchange.
    pub(super) fn parse(script: &str, listeners: &Listeners) -> Setup {
        let inherited_listener =
            script.lines().any(|line| line == "inherited").then(|| TcpListener::bind("127.0.0.1:0").unwrap());
        Setup {
            config: configuration(script, listeners),
            shell_command: shell_command(script, inherited_listener.is_some()),
            inherited_listener,
        }
    }
}

/// Binds the listeners to a loopback address that is derived from the name of the exchange, so that no other exchange takes a port that
/// this one closes.
pub(super) fn bind_listeners(exchange: &str) -> Listeners {
    let hash = exchange.bytes().fold(1u16, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()));
    let [high, low] = hash.to_be_bytes();
    let address = IpAddr::from([127, 1 | high, low, 1]);
    LISTENERS.map(|name| (name, TcpListener::bind((address, 0)).unwrap())).into_iter().collect()
}

pub(super) fn address(listeners: &Listeners, name: &str) -> String {
    listeners[name].local_addr().unwrap().to_string()
}

/// Returns the text of `config.json` with the addresses of the listeners and with the replacements of the `config` lines.
fn configuration(script: &str, listeners: &Listeners) -> String {
    let mut config = include_str!("../exchanges/config.json").to_string();
    for name in LISTENERS {
        config = config.replace(&format!("${name}"), &address(listeners, name));
    }
    for line in script.lines() {
        if let Some((old, new)) = line.strip_prefix("config ").and_then(|change| change.split_once(" => ")) {
            assert!(config.contains(old), "{line}");
            config = config.replace(old, new);
        }
    }
    config
}

fn shell_command(script: &str, has_inherited_listener: bool) -> String {
    let last_after = |prefix| script.lines().filter_map(|line| line.strip_prefix(prefix)).next_back();
    let descriptors = last_after("descriptors ").unwrap_or(DEFAULT_DESCRIPTORS);
    let stop = match last_after("stops at ") {
        Some(point) => format!("export BIRCHREACH_TEST_STOP_AT={point}; "),
        None => String::new(),
    };
    let redirection = if has_inherited_listener { "3<&0 </dev/null" } else { "" };
    let program = env!("CARGO_BIN_EXE_birchreach-proxy");
    format!("{stop}ulimit -n {descriptors}; exec '{program}' {redirection}")
}
