//! Clients of a fleet: each asks one proxy for keys at a rate, writes now and then, and records what it was told.

use super::judge::ServedRead;
use super::{Change, Group, now_ms};
use crate::client::{Client, Reply};
use crate::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What one client does.
#[derive(Clone)]
pub struct TrafficProfile {
    pub group: u32,
    /// Keys, and how often each is read in a second.
    pub read_rates: Vec<(String, f64)>,
    /// Reads are bounded to 800 ms; this share of them is of the session, after its last write.
    pub session_fraction: f64,
    /// The first key is written so often.
    pub write_rate: f64,
}

/// What clients were told.
#[derive(Clone, Debug, Default)]
pub struct TrafficResult {
    pub reads: Vec<(u32, ServedRead)>,
    /// By what it came to: served, refused or failed, or the connection broke.
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub disconnected: u64,
    /// Times of reads that were served, in microseconds.
    pub read_times_micros: Vec<u64>,
    pub writes: u64,
}

impl TrafficResult {
    pub fn served_fraction(&self) -> f64 {
        let all = self.served + self.rejected + self.failed + self.disconnected;
        self.served as f64 / all.max(1) as f64
    }
}

/// Clients that run until they are stopped.
pub struct Traffic {
    stopped: Arc<AtomicBool>,
    result: Arc<Mutex<TrafficResult>>,
    threads: Vec<JoinHandle<()>>,
}

static VALUES: AtomicU64 = AtomicU64::new(1);

impl Traffic {
    /// `proxies`: where each client connects, which may change as proxies come back.
    pub fn start(
        proxies: &Arc<Mutex<Vec<Option<SocketAddr>>>>,
        groups: &[Group],
        habits: &[(usize, TrafficProfile)],
        seed: u64,
    ) -> Traffic {
        let (over, told) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(TrafficResult::default())));
        let threads = habits.iter().enumerate().map(|(n, (proxy, habit))| {
            let (proxies, over, told) = (proxies.clone(), over.clone(), told.clone());
            let (group, habit, proxy) = (groups[habit.group as usize].clone(), habit.clone(), *proxy);
            let rng = fastrand::Rng::with_seed(seed + n as u64);
            thread::spawn(move || run(&proxies, proxy, &group, &habit, &over, &told, rng))
        });
        let threads = threads.collect();
        Traffic { stopped: over, result: told, threads }
    }

    /// What was told so far; counting begins anew.
    pub fn take_result(&self) -> TrafficResult {
        std::mem::take(&mut lock(&self.result))
    }

    pub fn stop(self) -> TrafficResult {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| drop(t.join()));
        std::mem::take(&mut lock(&self.result))
    }
}

/// One client: a call at a time, on a connection that is made again when it breaks.
fn run(
    proxies: &Mutex<Vec<Option<SocketAddr>>>,
    proxy: usize,
    group: &Group,
    habit: &TrafficProfile,
    over: &AtomicBool,
    told: &Mutex<TrafficResult>,
    mut rng: fastrand::Rng,
) {
    let mut client: Option<Client> = None;
    let mut next: BTreeMap<usize, Instant> = BTreeMap::new();
    let (mut write_at, mut token) = (Instant::now(), None);
    let wait = |rng: &mut fastrand::Rng, rate: f64| {
        Duration::from_secs_f64((-rng.f64().max(1e-9).ln() / rate.max(1e-6)).min(60.0))
    };
    for (n, (_, rate)) in habit.read_rates.iter().enumerate() {
        next.insert(n, Instant::now() + wait(&mut rng, *rate));
    }
    while !over.load(Ordering::Relaxed) {
        let at = lock(proxies)[proxy];
        if client.is_none() {
            client = at.and_then(|at| Client::connect(at).ok());
        }
        let Some(c) = &mut client else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        if habit.write_rate > 0.0 && Instant::now() >= write_at {
            write_at = Instant::now() + wait(&mut rng, habit.write_rate);
            let value = format!("{:016x}", VALUES.fetch_add(1, Ordering::Relaxed));
            let answer = c.write_key("file-entry", habit.group, &habit.read_rates[0].0, &value, 2500);
            lock(told).writes += 1;
            match answer {
                Ok(Reply::Served(_)) => token = committed(group, &value).or(token),
                Ok(Reply::Error(_)) => {}
                Err(_) => client = None,
            }
            continue;
        }
        let Some((n, due)) = next.iter().min_by_key(|(_, due)| **due).map(|(n, due)| (*n, *due)) else {
            return;
        };
        thread::sleep(due.saturating_duration_since(Instant::now()).min(Duration::from_millis(20)));
        if Instant::now() < due {
            continue;
        }
        let (key, rate) = &habit.read_rates[n];
        // What came too late to be asked in time is left out: no burst follows a stop.
        next.insert(n, due.max(Instant::now() - Duration::from_millis(200)) + wait(&mut rng, *rate));
        let session = n == 0 && token.is_some() && rng.f64() < habit.session_fraction;
        let (sent, start) = (now_ms(), Instant::now());
        let answer = match session {
            true => c.read_key("own-draft", habit.group, key, 1500, token),
            false => c.read_key("status-check", habit.group, key, 1200, None),
        };
        let mut told = lock(told);
        match answer {
            Ok(Reply::Served(value)) => {
                told.served += 1;
                told.read_times_micros.push(start.elapsed().as_micros() as u64);
                let value: String = value.iter().map(|b| format!("{b:02x}")).collect();
                let needed = if session { token.unwrap_or(0) } else { sent - 800 };
                told.reads.push((
                    habit.group,
                    ServedRead { key: key.clone(), required_position_ms: needed, value },
                ));
            }
            Ok(Reply::Error(code)) if matches!(code.as_str(), "53300" | "57P03") => told.rejected += 1,
            Ok(Reply::Error(_)) => told.failed += 1,
            Err(_) => {
                told.disconnected += 1;
                client = None;
            }
        }
    }
}

/// When a value was committed, if it is still in the log.
fn committed(group: &Group, value: &str) -> Option<i64> {
    let of = |change: &Change| matches!(change, Change::Row { value: other, .. } if other == value);
    group.with_state(|s| s.log.iter().rfind(|e| of(&e.change)).map(|e| e.committed_at_ms))
}
