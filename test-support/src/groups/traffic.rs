//! Clients of a fleet: each sends one proxy reads of keys at given rates, writes now and then, and records the replies.

use super::Group;
use super::history_checks::ServedRead;
use super::traffic_client::TrafficClient;
use crate::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

/// A key that a client reads.
#[derive(Clone, Debug)]
pub struct ReadRate {
    /// The key.
    pub key: String,
    /// How often it is read, on average.
    pub reads_per_second: f64,
}

/// What one client does.
#[derive(Clone)]
pub struct TrafficProfile {
    /// The index of the proxy that it connects to.
    pub proxy: usize,
    /// The group that it reads and writes.
    pub group: u32,
    /// The keys that it reads.
    pub read_rates: Vec<ReadRate>,
    /// Fraction of the first key's reads that have to see the client's last write; all others are bounded in age.
    pub session_fraction: f64,
    /// How often the first key is written in a second.
    pub write_rate: f64,
}

/// A served read and the group that was read.
#[derive(Clone, Debug)]
pub struct GroupRead {
    /// The group.
    pub group: u32,
    /// The read.
    pub read: ServedRead,
}

/// The replies that clients got.
#[derive(Clone, Debug, Default)]
pub struct TrafficResult {
    /// Reads that were served, one by one.
    pub reads: Vec<GroupRead>,
    /// How many reads were served.
    pub served: u64,
    /// Reads that were rejected without execution (SQLSTATE 53300 or 57P03).
    pub rejected: u64,
    /// Reads that failed otherwise.
    pub failed: u64,
    /// Reads during which the connection broke.
    pub disconnected: u64,
    /// Durations of served reads, in microseconds.
    pub read_times_micros: Vec<u64>,
    /// Writes that were sent.
    pub writes: u64,
}

impl TrafficResult {
    /// The fraction of reads that were served.
    pub fn served_fraction(&self) -> f64 {
        let all = self.served + self.rejected + self.failed + self.disconnected;
        self.served as f64 / all.max(1) as f64
    }
}

/// Where each proxy is reached now; `None` while it does not run.
pub type ProxyAddresses = Mutex<Vec<Option<SocketAddr>>>;

/// Clients that run until they are stopped.
pub struct Traffic {
    stopped: Arc<AtomicBool>,
    result: Arc<Mutex<TrafficResult>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts a client for each profile. The addresses may change as proxies restart.
    pub fn start(
        proxies: &Arc<ProxyAddresses>,
        groups: &[Group],
        profiles: &[TrafficProfile],
        seed: u64,
    ) -> Traffic {
        let stopped = Arc::new(AtomicBool::new(false));
        let result = Arc::new(Mutex::new(TrafficResult::default()));
        let start_client = |(index, profile): (usize, &TrafficProfile)| {
            let (proxies, result) = (proxies.clone(), result.clone());
            let group = groups[profile.group as usize].clone();
            let rng = fastrand::Rng::with_seed(seed + index as u64);
            let mut client = TrafficClient::new(proxies, group, profile.clone(), result, rng);
            let stopped = stopped.clone();
            thread::spawn(move || client.run(&stopped))
        };
        let threads = profiles.iter().enumerate().map(start_client).collect();
        Traffic { stopped, result, threads }
    }

    /// The replies since the last call.
    pub fn take_result(&self) -> TrafficResult {
        std::mem::take(&mut lock(&self.result))
    }

    /// Stops all clients and returns the replies since the last call.
    pub fn stop(self) -> TrafficResult {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        std::mem::take(&mut lock(&self.result))
    }
}
