//! A load balancer with the behaviour that common ones document: it polls each proxy by agent-check or HTTP, accepts a
//! change of state after `fall` or `rise` equal answers in a row, and distributes connections by weighted least
//! connections.

mod check;

pub use check::{Check, CheckAnswer, run_check};

use crate::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often [`Balancer::wait_for_state`] looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A proxy as the balancer sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Where it is reached.
    pub addresses: ServerAddresses,
    /// Whether it is in rotation.
    pub up: bool,
    /// Its weight in percent.
    pub weight: u32,
    /// Connections that it has now.
    pub active_connections: u32,
    /// Answers in a row that contradict `up`.
    contrary_answers: u32,
    /// When its state changed last.
    pub changed_at: Instant,
}

/// Where a server is reached.
#[derive(Clone, Copy, Debug)]
pub struct ServerAddresses {
    /// Where its health checks go.
    pub check: SocketAddr,
    /// Where its clients go.
    pub client: SocketAddr,
}

impl Server {
    /// A server that is out of rotation until its checks succeed.
    fn new(addresses: ServerAddresses) -> Server {
        Server {
            addresses,
            up: false,
            weight: 0,
            active_connections: 0,
            contrary_answers: 0,
            changed_at: Instant::now(),
        }
    }

    /// Active connections for each unit of weight, if it had one more.
    fn load(&self) -> f64 {
        f64::from(self.active_connections + 1) / f64::from(self.weight.max(1))
    }
}

/// How often checks run and how many equal answers change a server's state.
#[derive(Clone, Debug)]
pub struct CheckPolicy {
    /// Time between two checks of one server.
    pub interval: Duration,
    /// How long a check may take.
    pub timeout: Duration,
    /// Successes in a row that bring a server into rotation.
    pub rise: u32,
    /// Failures in a row that take it out.
    pub fall: u32,
}

/// A change of a server's state, as the balancer sees it.
#[derive(Clone, Debug)]
pub struct Change {
    /// When.
    pub at: Instant,
    /// The server's index.
    pub server: usize,
    /// Its new state.
    pub up: bool,
    /// The answer, or the error, that completed the change.
    pub text: String,
}

/// A handle to a running balancer; its checks end when the last handle of the test is dropped.
#[derive(Clone)]
pub struct Balancer {
    servers: Arc<Mutex<Vec<Server>>>,
    changes: Arc<Mutex<Vec<Change>>>,
    stopped: Arc<AtomicBool>,
}

impl Balancer {
    /// Starts polling servers. Their checks are spread over the interval; all begin out of rotation.
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

    /// Checks a server at each interval.
    fn poll_until_stopped(&self, server: usize, check: &Check, policy: &CheckPolicy) {
        while !self.stopped.load(Ordering::Relaxed) {
            let start = Instant::now();
            self.poll(server, check, policy);
            thread::sleep(policy.interval.saturating_sub(start.elapsed()));
        }
    }

    /// Checks a server once, takes its weight, and changes its state after enough equal answers.
    fn poll(&self, index: usize, check: &Check, policy: &CheckPolicy) {
        let address = lock(&self.servers)[index].addresses.check;
        let answer = run_check(address, check, policy.timeout);
        let mut servers = lock(&self.servers);
        let server = &mut servers[index];
        let (up, text) = match answer {
            Ok(answer) => {
                // Only the state is debounced: balancers apply weights at once.
                server.weight = answer.weight;
                (answer.up, answer.text)
            }
            Err(error) => (false, error.to_string()),
        };
        if up == server.up {
            server.contrary_answers = 0;
            return;
        }
        server.contrary_answers += 1;
        let needed = if up { policy.rise } else { policy.fall };
        if server.contrary_answers >= needed {
            server.up = up;
            server.contrary_answers = 0;
            server.changed_at = Instant::now();
            lock(&self.changes).push(Change { at: Instant::now(), server: index, up, text });
        }
    }

    /// All servers as they are now.
    pub fn servers(&self) -> Vec<Server> {
        lock(&self.servers).clone()
    }

    /// All changes of state so far.
    pub fn changes(&self) -> Vec<Change> {
        lock(&self.changes).clone()
    }

    /// The server for the next connection, if one is up; return it with [`Balancer::release_server`].
    pub fn choose_server(&self) -> Option<usize> {
        let mut servers = lock(&self.servers);
        let up = servers.iter().enumerate().filter(|(_, server)| server.up);
        let (chosen, _) = up.min_by(|(_, a), (_, b)| a.load().total_cmp(&b.load()))?;
        servers[chosen].active_connections += 1;
        Some(chosen)
    }

    /// A connection to this server has ended.
    pub fn release_server(&self, server: usize) {
        let mut servers = lock(&self.servers);
        let active_connections = &mut servers[server].active_connections;
        *active_connections = active_connections.saturating_sub(1);
    }

    /// Waits until the balancer has a server in this state; false if it does not within the timeout.
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
        // Each polling thread holds one handle, so this is the last one of the test.
        if Arc::strong_count(&self.stopped) <= 1 + lock(&self.servers).len() {
            self.stopped.store(true, Ordering::Relaxed);
        }
    }
}
