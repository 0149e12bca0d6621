//! One of the clients that generate a fleet's traffic.

use super::history_checks::ServedRead;
use super::traffic::{GroupRead, ProxyAddresses, ReadRate, TrafficProfile, TrafficResult};
use super::{Change, Group, now_ms};
use crate::client::{Client, Reply};
use crate::lock;
use crate::recorded_bytes::to_hex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Staleness bound of reads outside sessions. The class `status-check` has the same bound in the rig's settings.
const BOUNDED_READ_AGE_MS: i64 = 800;

/// The deadlines that clients send, by kind of request.
const WRITE_DEADLINE_MS: u32 = 2500;
const SESSION_READ_DEADLINE_MS: u32 = 1500;
const BOUNDED_READ_DEADLINE_MS: u32 = 1200;

/// Longest sleep before a client checks whether it was stopped or a write is due. Also the pause after a failed
/// connection attempt.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reads that are delayed for longer than this are skipped, so that no burst follows a pause.
const MAX_READ_DELAY: Duration = Duration::from_millis(200);

/// Longest time between two requests of one kind, in seconds. A rate of zero results in this interval.
const MAX_INTERVAL_SECONDS: f64 = 60.0;

/// The next value to write. Each value is written only once, so that it identifies its commit.
static NEXT_VALUE: AtomicU64 = AtomicU64::new(1);

/// A client that sends one request at a time and reconnects when its connection breaks.
pub(super) struct TrafficClient {
    proxies: Arc<ProxyAddresses>,
    group: Group,
    profile: TrafficProfile,
    result: Arc<Mutex<TrafficResult>>,
    rng: fastrand::Rng,
    connection: Option<Client>,
    /// When the next read of each key is due, by the key's index in the profile.
    read_due: BTreeMap<usize, Instant>,
    write_due: Instant,
    /// Commit time of the last write.
    last_write_ms: Option<i64>,
}

impl TrafficClient {
    pub(super) fn new(
        proxies: Arc<ProxyAddresses>,
        group: Group,
        profile: TrafficProfile,
        result: Arc<Mutex<TrafficResult>>,
        rng: fastrand::Rng,
    ) -> TrafficClient {
        TrafficClient {
            proxies,
            group,
            profile,
            result,
            rng,
            connection: None,
            read_due: BTreeMap::new(),
            write_due: Instant::now(),
            last_write_ms: None,
        }
    }

    /// Sends requests until the flag is set. Returns immediately if the profile has no keys.
    pub(super) fn run(&mut self, stopped: &AtomicBool) {
        if self.profile.read_rates.is_empty() {
            return;
        }
        self.write_due = Instant::now();
        for key_index in 0..self.profile.read_rates.len() {
            let due =
                Instant::now() + self.draw_interval(self.profile.read_rates[key_index].reads_per_second);
            self.read_due.insert(key_index, due);
        }
        while !stopped.load(Ordering::Relaxed) {
            let Some(mut connection) = self.connection.take().or_else(|| self.connect()) else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let result = self.run_next_request(&mut connection);
            // Drop a connection that failed.
            self.connection = result.ok().map(|()| connection);
        }
    }

    /// Connects to the proxy at its current address. `None` if the proxy does not run or does not accept the
    /// connection.
    fn connect(&self) -> Option<Client> {
        let address = lock(&self.proxies)[self.profile.proxy]?;
        Client::connect(address).ok()
    }

    /// Draws an exponentially distributed interval for requests with this average rate per second.
    fn draw_interval(&mut self, rate: f64) -> Duration {
        let seconds = -self.rng.f64().max(1e-9).ln() / rate.max(1e-6);
        Duration::from_secs_f64(seconds.min(MAX_INTERVAL_SECONDS))
    }

    /// Sends the write or read that is due, or sleeps briefly if none is due. An error means that the connection broke.
    fn run_next_request(&mut self, connection: &mut Client) -> std::io::Result<()> {
        if self.profile.write_rate > 0.0 && Instant::now() >= self.write_due {
            return self.write(connection);
        }
        let next =
            self.read_due.iter().min_by_key(|(_, due)| **due).map(|(key_index, due)| (*key_index, *due));
        let Some((key_index, due)) = next else { return Ok(()) };
        thread::sleep(due.saturating_duration_since(Instant::now()).min(POLL_INTERVAL));
        if Instant::now() < due {
            return Ok(());
        }
        self.read(connection, key_index, due)
    }

    /// Writes a new value of the first key and remembers its commit time.
    fn write(&mut self, connection: &mut Client) -> std::io::Result<()> {
        self.write_due = Instant::now() + self.draw_interval(self.profile.write_rate);
        let value = format!("{:016x}", NEXT_VALUE.fetch_add(1, Ordering::Relaxed));
        let key = &self.profile.read_rates[0].key;
        let reply = connection.write_key("file-entry", self.profile.group, key, &value, WRITE_DEADLINE_MS);
        lock(&self.result).writes += 1;
        if let Reply::Served(_) = reply? {
            self.last_write_ms = commit_time_ms(&self.group, &value).or(self.last_write_ms);
        }
        Ok(())
    }

    /// Reads the key with this index and schedules its next read. Whether the read belongs to the session is random.
    fn read(&mut self, connection: &mut Client, key_index: usize, due: Instant) -> std::io::Result<()> {
        let ReadRate { key, reads_per_second } = self.profile.read_rates[key_index].clone();
        let earliest = Instant::now() - MAX_READ_DELAY;
        let next_due = due.max(earliest) + self.draw_interval(reads_per_second);
        self.read_due.insert(key_index, next_due);
        // The client writes only the first key, so only reads of that key can belong to the session.
        let in_session =
            key_index == 0 && self.last_write_ms.is_some() && self.rng.f64() < self.profile.session_fraction;
        let after = self.last_write_ms.filter(|_| in_session);
        let (class, deadline_ms) = match in_session {
            true => ("own-draft", SESSION_READ_DEADLINE_MS),
            false => ("status-check", BOUNDED_READ_DEADLINE_MS),
        };
        let (sent_ms, start) = (now_ms(), Instant::now());
        let reply = connection.read_key(class, self.profile.group, &key, deadline_ms, after);
        let required_position_ms = after.unwrap_or(sent_ms - BOUNDED_READ_AGE_MS);
        self.record_read(key, required_position_ms, start.elapsed(), reply)
    }

    /// Counts a read by its reply and records its value if it was served. An error means that the connection broke.
    fn record_read(
        &self,
        key: String,
        required_position_ms: i64,
        duration: Duration,
        reply: std::io::Result<Reply>,
    ) -> std::io::Result<()> {
        let mut result = lock(&self.result);
        match reply {
            Ok(Reply::Served(value)) => {
                result.served += 1;
                result.read_times_micros.push(duration.as_micros() as u64);
                let value = to_hex(&value);
                let read = ServedRead { key, required_position_ms, value };
                result.reads.push(GroupRead { group: self.profile.group, read });
            }
            Ok(Reply::Error(code)) if matches!(code.as_str(), "53300" | "57P03") => result.rejected += 1,
            Ok(Reply::Error(_)) => result.failed += 1,
            Err(error) => {
                result.disconnected += 1;
                return Err(error);
            }
        }
        Ok(())
    }
}

/// The commit time of a value; `None` if its commit is not in the log.
fn commit_time_ms(group: &Group, value: &str) -> Option<i64> {
    let writes_value = |change: &Change| matches!(change, Change::Row { value: other, .. } if other == value);
    group.with_state(|state| {
        state.log.iter().rfind(|entry| writes_value(&entry.change)).map(|entry| entry.committed_at_ms)
    })
}
