//! The player of recorded exchanges. It acts as the clients, the databases and the discovery agent of the built program.

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

/// The time-out of each step. It is longer than the stalls of a busy machine, and only a failing exchange waits for it.
const MAX_WAIT: Duration = Duration::from_secs(20);
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The configuration that the program is started with.
struct Configuration {
    path: String,
    text: String,
}

/// Plays the steps of one exchange.
pub(crate) struct Player {
    /// The process that the steps refer to is the first.
    processes: Vec<Process>,
    shell_command: String,
    /// The listening socket for clients if the platform passes it to the processes.
    inherited_listener: Option<TcpListener>,
    client_address: SocketAddr,
    listeners: Listeners,
    /// Open connections by the name of the party, such as `c1` or `r.1`.
    connections: HashMap<String, TcpStream>,
    named_bytes: NamedBytes,
    last_log_line: String,
    /// The time of the last [`Step::Send`](step::Step::Send).
    last_sent_at: Instant,
    config: Configuration,
}

impl Player {
    /// Starts the program with the settings of an exchange.
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
            named_bytes: LISTENERS.map(named_address).into_iter().collect(),
            listeners,
            last_log_line: process.first_log_line.clone(),
            last_sent_at: Instant::now(),
            config: Configuration { path, text: config },
            processes: vec![process],
        }
    }

    /// Returns the connection of a party, and opens it first if the party has none. `c1` is a client, which connects. `o1` is an
    /// operator, which connects. `p.2` is the second connection that the listener `p` accepts.
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

/// Waits for a connection and accepts it.
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
            Err(error) => panic!("no connection within {MAX_WAIT:?}: {error}"),
        }
    }
}
