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
pub struct Told {
    pub up: bool,
    pub weight: u32,
    pub text: String,
}

/// One check, on a connection of its own.
pub fn check(address: SocketAddr, how: &Check, timeout: Duration) -> io::Result<Told> {
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
            Told { up: words.contains(&"up") && !down, weight: weight.unwrap_or(100), text }
        }
        Check::Http(_) => {
            let up = text.starts_with("HTTP/1.1 200 ");
            let weight =
                text.split("\"weight\":").nth(1).and_then(|w| w.split([',', '}']).next()?.parse().ok());
            Told { up, weight: weight.unwrap_or(100), text }
        }
    };
    Ok(told)
}

/// A proxy as the balancer has it.
#[derive(Clone, Debug)]
pub struct Server {
    pub checks: SocketAddr,
    pub clients: SocketAddr,
    pub up: bool,
    pub weight: u32,
    pub active: u32,
    /// Answers in a row that say otherwise.
    against: u32,
    /// When its state changed last.
    pub since: Instant,
}

#[derive(Clone, Debug)]
pub struct Rules {
    pub every: Duration,
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
    over: Arc<AtomicBool>,
}

impl Balancer {
    /// Begins to poll; each server in its turn within the interval. It begins by trusting nobody.
    pub fn start(servers: &[(SocketAddr, SocketAddr)], how: &Check, rules: &Rules) -> Balancer {
        let server = |&(checks, clients): &(SocketAddr, SocketAddr)| Server {
            checks,
            clients,
            up: false,
            weight: 0,
            active: 0,
            against: 0,
            since: Instant::now(),
        };
        let balancer = Balancer {
            servers: Arc::new(Mutex::new(servers.iter().map(server).collect())),
            changes: Arc::default(),
            over: Arc::default(),
        };
        for n in 0..servers.len() {
            let (own, how, rules) = (balancer.clone(), how.clone(), rules.clone());
            let offset = rules.every * n as u32 / servers.len() as u32;
            thread::spawn(move || {
                thread::sleep(offset);
                while !own.over.load(Ordering::Relaxed) {
                    let start = Instant::now();
                    own.poll(n, &how, &rules);
                    thread::sleep(rules.every.saturating_sub(start.elapsed()));
                }
            });
        }
        balancer
    }

    fn poll(&self, n: usize, how: &Check, rules: &Rules) {
        let address = lock(&self.servers)[n].checks;
        let told = check(address, how, rules.timeout);
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
            server.against = 0;
            return;
        }
        server.against += 1;
        if server.against >= if up { rules.rise } else { rules.fall } {
            (server.up, server.against, server.since) = (up, 0, Instant::now());
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
    pub fn choose(&self) -> Option<usize> {
        let mut servers = lock(&self.servers);
        let load = |s: &Server| f64::from(s.active + 1) / f64::from(s.weight.max(1));
        let up = servers.iter().enumerate().filter(|(_, s)| s.up);
        let least = up.min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b))).map(|(n, _)| n)?;
        servers[least].active += 1;
        Some(least)
    }

    pub fn done(&self, n: usize) {
        let mut servers = lock(&self.servers);
        servers[n].active = servers[n].active.saturating_sub(1);
    }

    /// Waits until it holds a server to be up, or down. False: not in this time.
    pub fn wait(&self, n: usize, up: bool, long: Duration) -> bool {
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
        if Arc::strong_count(&self.over) <= 1 + lock(&self.servers).len() {
            self.over.store(true, Ordering::Relaxed);
        }
    }
}
