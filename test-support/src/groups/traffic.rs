//! Clients of a fleet. Each client connects to one proxy, reads keys and writes one of them at given rates, and records
//! the replies.

use super::Group;
use super::history_checks::ServedRead;
use super::traffic_client::TrafficClient;
use crate::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

/// A key with the rate at which a client reads it.
#[derive(Clone, Debug)]
pub struct ReadRate {
    /// Identifies the row. Statements contain the key without escaping.
    pub key: String,
    /// Average number of reads per second. The intervals between reads are exponentially distributed.
    pub reads_per_second: f64,
}

/// The requests that one client sends.
#[derive(Clone)]
pub struct TrafficProfile {
    /// The index of the proxy that the client connects to.
    pub proxy: usize,
    /// The number of the group that it reads and writes.
    pub group: u32,
    /// The keys that it reads. It writes only the first; without a key, it sends nothing.
    pub read_rates: Vec<ReadRate>,
    /// The fraction of the first key's reads that must see the client's last write. All other reads have bounded
    /// staleness.
    pub session_fraction: f64,
    /// Average number of writes of the first key per second; 0 for a client that only reads.
    pub write_rate: f64,
}

/// A served read and the group that the client sent it to.
#[derive(Clone, Debug)]
pub struct GroupRead {
    /// The number of the group that owns the row. The value may come from a copy in another group.
    pub group: u32,
    /// The read as its client recorded it.
    pub read: ServedRead,
}

/// The replies that clients received.
#[derive(Clone, Debug, Default)]
pub struct TrafficResult {
    /// Each read that was served.
    pub reads: Vec<GroupRead>,
    /// Number of reads that were served.
    pub served: u64,
    /// Number of reads that were rejected without execution (SQLSTATE 53300 or 57P03).
    pub rejected: u64,
    /// Number of reads that failed with another error.
    pub failed: u64,
    /// Number of reads during which the connection broke.
    pub disconnected: u64,
    /// Durations of served reads, in microseconds.
    pub read_times_micros: Vec<u64>,
    /// Number of writes that were sent.
    pub writes: u64,
}

impl TrafficResult {
    /// The fraction of reads that were served.
    pub fn served_fraction(&self) -> f64 {
        let all = self.served + self.rejected + self.failed + self.disconnected;
        self.served as f64 / all.max(1) as f64
    }
}

/// The current address of each proxy; `None` while the proxy does not run.
pub type ProxyAddresses = Mutex<Vec<Option<SocketAddr>>>;

/// Running clients, which send requests until [`Traffic::stop`].
pub struct Traffic {
    stopped: Arc<AtomicBool>,
    result: Arc<Mutex<TrafficResult>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts a client for each profile. The caller updates `proxies` when a proxy restarts at another address.
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

    /// Returns the replies since the last call.
    pub fn take_result(&self) -> TrafficResult {
        std::mem::take(&mut lock(&self.result))
    }

    /// Stops all clients and returns the replies since the last [`Traffic::take_result`].
    pub fn stop(self) -> TrafficResult {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        std::mem::take(&mut lock(&self.result))
    }
}
