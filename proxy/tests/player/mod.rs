//! The player of recorded exchanges: the built program's clients, its databases and its discovery.

mod bytes;
mod process;
mod steps;

use bytes::{Bytes, plain};
use process::Process;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// Longer than any machine stalls; no exchange waits for it unless it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);
const LISTENERS: [&str; 4] = ["agent", "p", "r", "q"];

pub struct Player {
    /// The one that the steps speak of comes first.
    processes: Vec<Process>,
    /// How each is started, and the clients' listening socket if the platform holds it.
    shell: String,
    shared: Option<TcpListener>,
    proxy: SocketAddr,
    listeners: HashMap<&'static str, TcpListener>,
    open: HashMap<String, TcpStream>,
    names: HashMap<String, Bytes>,
    log_seen: String,
    /// When it last sent something.
    sent: Instant,
    /// The configuration's file and text.
    config: (String, String),
}

impl Player {
    pub fn start(name: &str, script: &str) -> Player {
        // Each exchange has a loopback address of its own: a port that one gives up is not taken by another.
        let own = name.bytes().fold(1u16, |n, b| n.wrapping_mul(31).wrapping_add(b.into())).to_be_bytes();
        let own = IpAddr::from([127, 1 | own[0], own[1], 1]);
        let listeners: HashMap<_, _> =
            LISTENERS.map(|l| (l, TcpListener::bind((own, 0)).unwrap())).into_iter().collect();
        let address = |l: &str| listeners[l].local_addr().unwrap().to_string();
        let mut config = include_str!("../exchanges/config.json").to_string();
        for l in LISTENERS {
            config = config.replace(&format!("${l}"), &address(l));
        }
        // What an exchange changes: of the configuration, and of the descriptors that the system gives.
        let (mut descriptors, mut stops) = ("256", String::new());
        for line in script.lines() {
            if let Some((old, new)) = line.strip_prefix("config ").and_then(|l| l.split_once(" => ")) {
                assert!(config.contains(old), "{line}");
                config = config.replace(old, new);
            }
            descriptors = line.strip_prefix("descriptors ").unwrap_or(descriptors);
            if let Some(point) = line.strip_prefix("stops at ") {
                stops = format!("export BIRCHREACH_TEST_STOP_AT={point}; ");
            }
        }
        let path = format!("{}/{name}.json", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, &config).unwrap();
        let _ = std::fs::remove_dir_all(format!("{path}.tmp"));
        std::fs::create_dir(format!("{path}.tmp")).unwrap();
        let shared = script.lines().any(|l| l == "inherited");
        let shared = shared.then(|| TcpListener::bind("127.0.0.1:0").unwrap());
        let handed = if shared.is_some() { "3<&0 </dev/null" } else { "" };
        let program = env!("CARGO_BIN_EXE_birchreach-proxy");
        let shell = format!("{stops}ulimit -n {descriptors}; exec '{program}' {handed}");
        let (process, listen, started) = Process::start(&shell, &path, shared.as_ref());
        let names = LISTENERS.map(|l| (l.to_string(), plain(&address(l)))).into_iter().collect();
        let (open, config) = (HashMap::new(), (path, config));
        Player {
            processes: vec![process],
            shell,
            shared,
            proxy: listen,
            listeners,
            open,
            names,
            log_seen: started,
            sent: Instant::now(),
            config,
        }
    }

    /// `c` and a number: a client, which connects; `o` and a number: an operator. `p.2`: the second connection that `p` accepts.
    fn party(&mut self, name: &str) -> &mut TcpStream {
        if !self.open.contains_key(name) {
            let stream = match name.split_once('.') {
                None if name.starts_with('o') => TcpStream::connect(self.processes[0].admin).unwrap(),
                None => TcpStream::connect(self.proxy).unwrap(),
                Some((listener, _)) => accept(&self.listeners[listener]),
            };
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            self.open.insert(name.to_string(), stream);
        }
        self.open.get_mut(name).unwrap()
    }

    fn signal(&self, name: &str) {
        let pid = self.processes[0].program.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }
}

fn accept(listener: &TcpListener) -> TcpStream {
    let start = Instant::now();
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && start.elapsed() < PATIENCE => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(e) => panic!("nobody connects: {e}"),
        }
    }
}
