//! A balancer as common ones are, by their public manuals: it polls each proxy by agent-check or HTTP, believes a change
//! after `fall` or `rise` answers in a row, and shares out by weighted least connections.

use crate::lock;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How it asks.
#[derive(Clone, Debug)]
pub enum Check {
    /// The line that is sent first.
    Agent(String),
    /// The path that is asked for.
    Http(String),
}

/// An answer: may it be sent work, and with what weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckAnswer {
    pub up: bool,
    pub weight: u32,
    pub text: String,
}

/// One check, on a connection of its own.
pub fn run_check(address: SocketAddr, how: &Check, timeout: Duration) -> io::Result<CheckAnswer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    match how {
        Check::Agent(line) => writeln!(stream, "{line}")?,
        Check::Http(path) => {
            write!(stream, "GET {path} HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")?;
        }
    }
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    if text.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let told = match how {
        Check::Agent(_) => {
            let words: Vec<&str> = text.split([' ', ',', '\r', '\n']).collect();
            let weight = words.iter().find_map(|w| w.strip_suffix('%')).and_then(|w| w.parse().ok());
            let down = ["down", "drain", "maint", "fail", "stopped"].iter().any(|w| words.contains(w));
            CheckAnswer { up: words.contains(&"up") && !down, weight: weight.unwrap_or(100), text }
        }
        Check::Http(_) => {
            let up = text.starts_with("HTTP/1.1 200 ");
            let weight =
                text.split("\"weight\":").nth(1).and_then(|w| w.split([',', '}']).next()?.parse().ok());
            CheckAnswer { up, weight: weight.unwrap_or(100), text }
        }
    };
    Ok(told)
}

/// A proxy as the balancer has it.
#[derive(Clone, Debug)]
pub struct Server {
    pub check_address: SocketAddr,
    pub client_address: SocketAddr,
    pub up: bool,
    pub weight: u32,
    pub active_connections: u32,
    /// Answers in a row that say otherwise.
    contrary_answers: u32,
    /// When its state changed last.
    pub changed_at: Instant,
}

#[derive(Clone, Debug)]
pub struct CheckPolicy {
    pub interval: Duration,
    pub timeout: Duration,
    pub rise: u32,
    pub fall: u32,
}

/// A change of a server's state, as the balancer sees it.
#[derive(Clone, Debug)]
pub struct Change {
    pub at: Instant,
    pub server: usize,
    pub up: bool,
    pub text: String,
}

#[derive(Clone)]
pub struct Balancer {
    servers: Arc<Mutex<Vec<Server>>>,
    changes: Arc<Mutex<Vec<Change>>>,
    stopped: Arc<AtomicBool>,
}

impl Balancer {
    /// Begins to poll; each server in its turn within the interval. It begins by trusting nobody.
    pub fn start(servers: &[(SocketAddr, SocketAddr)], how: &Check, rules: &CheckPolicy) -> Balancer {
        let server = |&(checks, clients): &(SocketAddr, SocketAddr)| Server {
            check_address: checks,
            client_address: clients,
            up: false,
            weight: 0,
            active_connections: 0,
            contrary_answers: 0,
            changed_at: Instant::now(),
        };
        let balancer = Balancer {
            servers: Arc::new(Mutex::new(servers.iter().map(server).collect())),
            changes: Arc::default(),
            stopped: Arc::default(),
        };
        for n in 0..servers.len() {
            let (own, how, rules) = (balancer.clone(), how.clone(), rules.clone());
            let offset = rules.interval * n as u32 / servers.len() as u32;
            thread::spawn(move || {
                thread::sleep(offset);
                while !own.stopped.load(Ordering::Relaxed) {
                    let start = Instant::now();
                    own.poll(n, &how, &rules);
                    thread::sleep(rules.interval.saturating_sub(start.elapsed()));
                }
            });
        }
        balancer
    }

    fn poll(&self, n: usize, how: &Check, rules: &CheckPolicy) {
        let address = lock(&self.servers)[n].check_address;
        let told = run_check(address, how, rules.timeout);
        let mut servers = lock(&self.servers);
        let server = &mut servers[n];
        let (up, text) = match told {
            Ok(told) => {
                // Weights are taken at once, as balancers do.
                server.weight = told.weight;
                (told.up, told.text)
            }
            Err(e) => (false, e.to_string()),
        };
        if up == server.up {
            server.contrary_answers = 0;
            return;
        }
        server.contrary_answers += 1;
        if server.contrary_answers >= if up { rules.rise } else { rules.fall } {
            (server.up, server.contrary_answers, server.changed_at) = (up, 0, Instant::now());
            lock(&self.changes).push(Change { at: Instant::now(), server: n, up, text });
        }
    }

    pub fn servers(&self) -> Vec<Server> {
        lock(&self.servers).clone()
    }

    pub fn changes(&self) -> Vec<Change> {
        lock(&self.changes).clone()
    }

    /// Whom the next connection goes to; give it back with [`Balancer::done`].
    pub fn choose_server(&self) -> Option<usize> {
        let mut servers = lock(&self.servers);
        let load = |s: &Server| f64::from(s.active_connections + 1) / f64::from(s.weight.max(1));
        let up = servers.iter().enumerate().filter(|(_, s)| s.up);
        let least = up.min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b))).map(|(n, _)| n)?;
        servers[least].active_connections += 1;
        Some(least)
    }

    pub fn release_server(&self, n: usize) {
        let mut servers = lock(&self.servers);
        servers[n].active_connections = servers[n].active_connections.saturating_sub(1);
    }

    /// Waits until it holds a server to be up, or down. False: not in this time.
    pub fn wait_for_state(&self, n: usize, up: bool, long: Duration) -> bool {
        let start = Instant::now();
        while lock(&self.servers)[n].up != up {
            if start.elapsed() > long {
                return false;
            }
            thread::sleep(Duration::from_millis(1));
        }
        true
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        // The threads hold the others.
        if Arc::strong_count(&self.stopped) <= 1 + lock(&self.servers).len() {
            self.stopped.store(true, Ordering::Relaxed);
        }
    }
}
