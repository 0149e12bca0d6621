//! A load balancer that behaves as common load balancers are documented to behave. It polls each proxy by agent-check
//! or HTTP, changes a server's state after `fall` or `rise` consecutive equal answers, and distributes connections by
//! weighted least connections.

mod check;

pub use check::{Check, CheckAnswer, run_check};

use crate::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which [`Balancer::wait_for_state`] checks the state.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A proxy as the balancer sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Where its health checks and its clients connect.
    pub addresses: ServerAddresses,
    /// Whether it is in rotation: the balancer sends connections only to servers that are up.
    pub up: bool,
    /// Its weight in percent, from the last check that was answered.
    pub weight: u32,
    /// Connections that [`Balancer::choose_server`] has assigned to it and that have not been released.
    pub active_connections: u32,
    /// Consecutive check results that contradict `up`, failed checks included.
    opposite_answers: u32,
    /// When `up` last changed, or when polling started.
    pub changed_at: Instant,
}

/// The listeners of one server. The balancer connects only to `check`; tests connect their clients to `client`.
#[derive(Clone, Copy, Debug)]
pub struct ServerAddresses {
    /// The listener that answers its health checks.
    pub check: SocketAddr,
    /// The listener that accepts its clients.
    pub client: SocketAddr,
}

impl Server {
    /// Creates a server that stays out of rotation until its checks succeed.
    fn new(addresses: ServerAddresses) -> Server {
        Server {
            addresses,
            up: false,
            weight: 0,
            active_connections: 0,
            opposite_answers: 0,
            changed_at: Instant::now(),
        }
    }

    /// The number of active connections per unit of weight if the server accepted one more.
    fn load(&self) -> f64 {
        f64::from(self.active_connections + 1) / f64::from(self.weight.max(1))
    }
}

/// The interval of health checks and how many consecutive equal answers change a server's state.
#[derive(Clone, Debug)]
pub struct CheckPolicy {
    /// Time between the starts of two checks of one server.
    pub interval: Duration,
    /// Time limit for connecting, and again for each read of the answer.
    pub timeout: Duration,
    /// Consecutive successes that put a server into rotation.
    pub rise: u32,
    /// Consecutive failures that take a server out of rotation.
    pub fall: u32,
}

/// A change of a server's state, as the balancer has detected it.
#[derive(Clone, Debug)]
pub struct StateChange {
    /// When the balancer changed the state.
    pub at: Instant,
    /// The server's index in the list that [`Balancer::start`] received.
    pub server: usize,
    /// Whether the server is now in rotation.
    pub up: bool,
    /// The last answer or error, which caused the change.
    pub text: String,
}

/// A handle to a running balancer. Health checks stop when the test drops its last handle.
#[derive(Clone)]
pub struct Balancer {
    servers: Arc<Mutex<Vec<Server>>>,
    changes: Arc<Mutex<Vec<StateChange>>>,
    stopped: Arc<AtomicBool>,
}

impl Balancer {
    /// Starts polling the servers, with their checks spread over the interval. All servers start out of rotation.
    pub fn start(servers: &[ServerAddresses], check: &Check, policy: &CheckPolicy) -> Balancer {
        let new_servers: Vec<Server> = servers.iter().copied().map(Server::new).collect();
        let balancer = Balancer {
            servers: Arc::new(Mutex::new(new_servers)),
            changes: Arc::default(),
            stopped: Arc::default(),
        };
        for server in 0..servers.len() {
            let (poller, check, policy) = (balancer.clone(), check.clone(), policy.clone());
            let offset = policy.interval * server as u32 / servers.len() as u32;
            thread::spawn(move || {
                thread::sleep(offset);
                poller.poll_until_stopped(server, &check, &policy);
            });
        }
        balancer
    }

    /// Checks a server once per interval until the balancer is dropped.
    fn poll_until_stopped(&self, server: usize, check: &Check, policy: &CheckPolicy) {
        while !self.stopped.load(Ordering::Relaxed) {
            let start = Instant::now();
            self.poll(server, check, policy);
            thread::sleep(policy.interval.saturating_sub(start.elapsed()));
        }
    }

    /// Checks a server once, updates its weight, and changes its state after enough equal answers.
    fn poll(&self, index: usize, check: &Check, policy: &CheckPolicy) {
        let address = lock(&self.servers)[index].addresses.check;
        let answer = run_check(address, check, policy.timeout);
        let mut servers = lock(&self.servers);
        let server = &mut servers[index];
        let (up, text) = match answer {
            Ok(answer) => {
                // Only the state requires consecutive answers: balancers apply weights immediately.
                server.weight = answer.weight;
                (answer.up, answer.text)
            }
            Err(error) => (false, error.to_string()),
        };
        if up == server.up {
            server.opposite_answers = 0;
            return;
        }
        server.opposite_answers += 1;
        let needed = if up { policy.rise } else { policy.fall };
        if server.opposite_answers >= needed {
            server.up = up;
            server.opposite_answers = 0;
            server.changed_at = Instant::now();
            lock(&self.changes).push(StateChange { at: Instant::now(), server: index, up, text });
        }
    }

    /// A snapshot of all servers, in the order given to [`Balancer::start`].
    pub fn servers(&self) -> Vec<Server> {
        lock(&self.servers).clone()
    }

    /// All state changes since the start, oldest first.
    pub fn changes(&self) -> Vec<StateChange> {
        lock(&self.changes).clone()
    }

    /// Chooses a server for the next connection and counts the connection; `None` if no server is up. Call
    /// [`Balancer::release_server`] when the connection ends.
    pub fn choose_server(&self) -> Option<usize> {
        let mut servers = lock(&self.servers);
        let up = servers.iter().enumerate().filter(|(_, server)| server.up);
        let (chosen, _) = up.min_by(|(_, a), (_, b)| a.load().total_cmp(&b.load()))?;
        servers[chosen].active_connections += 1;
        Some(chosen)
    }

    /// Records that a connection to this server has ended.
    pub fn release_server(&self, server: usize) {
        let mut servers = lock(&self.servers);
        let active_connections = &mut servers[server].active_connections;
        *active_connections = active_connections.saturating_sub(1);
    }

    /// Waits until a server has this state. Returns false if the timeout expires first.
    pub fn wait_for_state(&self, server: usize, up: bool, timeout: Duration) -> bool {
        let start = Instant::now();
        while lock(&self.servers)[server].up != up {
            if start.elapsed() > timeout {
                return false;
            }
            thread::sleep(POLL_INTERVAL);
        }
        true
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        // Each polling thread holds one handle. If only those and this one remain, the test has dropped its last
        // handle.
        if Arc::strong_count(&self.stopped) <= 1 + lock(&self.servers).len() {
            self.stopped.store(true, Ordering::Relaxed);
        }
    }
}
