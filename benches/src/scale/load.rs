//! Load on the proxy: requests at a fixed rate, on a fixed number of connections, spread evenly over all groups.

use birchreach_test_support::client::{Client, Reply};
use fastrand::Rng;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Number of client connections to the proxy.
pub(super) const CLIENTS: u32 = 16;

/// Mean number of requests per write. The other requests read.
const REQUESTS_PER_WRITE: u32 = 4;

const WRITE_TIMEOUT_MS: u32 = 3_000;
const READ_TIMEOUT_MS: u32 = 2_500;

/// Settings of the clients. Requests start before the deadline.
pub(super) struct Load {
    pub(super) address: SocketAddr,
    pub(super) group_count: u32,
    pub(super) requests_per_second: u32,
    pub(super) deadline: Instant,
    pub(super) seed: u64,
}

/// Counts of requests by their outcome.
#[derive(Clone, Default)]
pub(super) struct Outcomes {
    pub(super) served: u64,
    /// Requests answered with an error.
    pub(super) failed: u64,
    /// Requests without an answer, including those not sent because the connection could not be made.
    pub(super) unanswered: u64,
    /// Groups with at least one request. The proxy needs a connection to at least one database of each.
    pub(super) groups: HashSet<u32>,
}

impl Outcomes {
    pub(super) fn total(&self) -> u64 {
        self.served + self.failed + self.unanswered
    }

    pub(super) fn fraction_served(&self) -> f64 {
        self.served as f64 / self.total() as f64
    }

    pub(super) fn merged_with(mut self, other: Outcomes) -> Outcomes {
        self.groups.extend(other.groups);
        Outcomes {
            served: self.served + other.served,
            failed: self.failed + other.failed,
            unanswered: self.unanswered + other.unanswered,
            groups: self.groups,
        }
    }
}

impl Load {
    /// Runs all clients until the deadline and counts the outcomes of their requests.
    pub(super) fn run(&self) -> Outcomes {
        thread::scope(|scope| {
            let start_client = |number| scope.spawn(move || self.run_client(number));
            let clients: Vec<_> = (0..CLIENTS).map(start_client).collect();
            let outcomes = clients.into_iter().map(|client| client.join().unwrap_or_default());
            outcomes.fold(Outcomes::default(), Outcomes::merged_with)
        })
    }

    /// Sends a client's requests at fixed times. A late request does not shift the times of the following ones.
    fn run_client(&self, number: u32) -> Outcomes {
        let mut random = Rng::with_seed(self.seed ^ u64::from(number));
        let interval = Duration::from_secs(1) * CLIENTS / self.requests_per_second;
        let mut next = Instant::now() + interval * number / CLIENTS;
        let mut connection = None;
        let mut outcomes = Outcomes::default();
        while next < self.deadline {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let group = random.u32(0..self.group_count);
            outcomes.groups.insert(group);
            match self.request(&mut connection, group, &mut random) {
                Ok(Reply::Served(_)) => outcomes.served += 1,
                Ok(Reply::Error(_)) => outcomes.failed += 1,
                Err(_) => {
                    outcomes.unanswered += 1;
                    connection = None;
                }
            }
            next += interval;
        }
        outcomes
    }

    /// Sends one request to a group. Connects first if `connection` is `None`.
    fn request(&self, connection: &mut Option<Client>, group: u32, random: &mut Rng) -> io::Result<Reply> {
        let client = match connection {
            Some(client) => client,
            None => connection.insert(Client::connect(self.address)?),
        };
        if random.u32(0..REQUESTS_PER_WRITE) == 0 {
            client.write("file-entry", group, WRITE_TIMEOUT_MS)
        } else {
            client.read("tariff-lookup", group, READ_TIMEOUT_MS)
        }
    }
}
