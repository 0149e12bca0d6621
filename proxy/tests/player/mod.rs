//! The player of recorded exchanges: the built program's clients, its databases and its discovery.

mod bytes;
mod process;
mod setup;
mod step;
mod steps;

use bytes::NamedBytes;
use process::Process;
use setup::{LISTENERS, Listeners, Setup};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Longer than any machine stalls; no exchange waits for it unless it fails.
const MAX_WAIT: Duration = Duration::from_secs(20);
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The configuration that the program is started with.
struct Configuration {
    path: String,
    text: String,
}

/// Plays the steps of one exchange.
pub(crate) struct Player {
    /// The one that the steps speak of comes first.
    processes: Vec<Process>,
    shell_command: String,
    /// The clients' listening socket, if the platform holds it.
    inherited_listener: Option<TcpListener>,
    client_address: SocketAddr,
    listeners: Listeners,
    /// Open connections by the names of their parties.
    connections: HashMap<String, TcpStream>,
    names: NamedBytes,
    last_log_line: String,
    /// When a party last sent bytes at once.
    last_sent_at: Instant,
    config: Configuration,
}

impl Player {
    /// Starts the program as an exchange needs it.
    pub(crate) fn start(exchange: &str, script: &str) -> Player {
        let listeners = setup::bind_listeners(exchange);
        let Setup { config, shell_command, inherited_listener } = Setup::parse(script, &listeners);
        let path = format!("{}/{exchange}.json", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, &config).unwrap();
        let _ = std::fs::remove_dir_all(format!("{path}.tmp"));
        std::fs::create_dir(format!("{path}.tmp")).unwrap();
        let process = Process::start(&shell_command, &path, inherited_listener.as_ref());
        let named_address =
            |name: &str| (name.to_string(), bytes::literal(&setup::address(&listeners, name)));
        Player {
            shell_command,
            inherited_listener,
            client_address: process.client_address,
            connections: HashMap::new(),
            names: LISTENERS.map(named_address).into_iter().collect(),
            listeners,
            last_log_line: process.first_log_line.clone(),
            last_sent_at: Instant::now(),
            config: Configuration { path, text: config },
            processes: vec![process],
        }
    }

    /// The connection of a party, which is made when it is first named. `c` and a number: a client, which connects; `o` and a number:
    /// an operator, which connects; `p.2`: the second connection that `p` accepts.
    fn connection(&mut self, party: &str) -> &mut TcpStream {
        if !self.connections.contains_key(party) {
            let stream = match party.split_once('.') {
                None if party.starts_with('o') => {
                    TcpStream::connect(self.processes[0].admin_address).unwrap()
                }
                None => TcpStream::connect(self.client_address).unwrap(),
                Some((listener, _)) => accept(&self.listeners[listener]),
            };
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
            self.connections.insert(party.to_string(), stream);
        }
        self.connections.get_mut(party).unwrap()
    }
}

/// Waits until somebody connects.
fn accept(listener: &TcpListener) -> TcpStream {
    let start = Instant::now();
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock && start.elapsed() < MAX_WAIT => {
                std::thread::sleep(ACCEPT_POLL_INTERVAL);
            }
            Err(error) => panic!("nobody connects: {error}"),
        }
    }
}
