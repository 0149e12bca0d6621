//! A simulated fleet of trackers on virtual time. Reads arrive at random, and the gossip of `birchreach_membership`
//! carries the reports.
#![allow(dead_code, reason = "each test uses a part of this module")]

use birchreach_hot_keys::{
    CopyRequirement, Database, HotKeyTracker, Key, Micros, PeerReport, Report, ReportEntry, ReportHeader,
    Settings,
};
use birchreach_membership::GossipReports;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub(crate) const SECOND: Micros = 1_000_000;
/// The number of replicas of each group.
pub(crate) const REPLICAS: usize = 2;
/// The number of groups in the endpoint list.
pub(crate) const GROUPS: u32 = 6;

/// Settings with databases that serve 100 reads per second, and with one class for each requirement.
pub(crate) fn settings(configured: usize) -> Settings {
    Settings {
        database_reads_per_s: 100.0,
        copy_cost_reads: 2.0,
        max_copies: 3,
        configured_members: configured as u32,
        class_requirements: vec![
            CopyRequirement::MaxAge(800_000),
            CopyRequirement::Session,
            CopyRequirement::Any,
            CopyRequirement::Current,
        ],
    }
}

/// Returns the key of a group with this number.
pub(crate) fn key(group: u32, number: u64) -> Key {
    Key { group, hash: number.wrapping_mul(0x9e37_79b9_7f4a_7c15) }
}

/// Returns the header of a report that was made just now.
pub(crate) fn header(origin: u64, sequence: u64) -> ReportHeader {
    ReportHeader { origin, sequence, age: 0 }
}

/// Returns the databases of an endpoint list with this number of groups, each with a primary and its replicas.
pub(crate) fn databases(groups: u32) -> Vec<Database> {
    let of_group = |group| (0..=REPLICAS as u32).map(move |position| (group, position));
    let all = (0..groups).flat_map(of_group).enumerate();
    all.map(|(server, (group, position))| Database {
        server: server as u32,
        group,
        name_hash: u64::from(group * 97 + position),
    })
    .collect()
}

fn set_databases(tracker: &mut HotKeyTracker) {
    let replicas: BTreeMap<u32, usize> = (0..GROUPS).map(|group| (group, REPLICAS)).collect();
    tracker.update_databases(databases(GROUPS), replicas);
}

/// A fleet of processes whose trackers report to one another.
pub(crate) struct Fleet {
    pub now: Micros,
    pub trackers: Vec<HotKeyTracker>,
    gossip_reports: Vec<GossipReports>,
    pub rng: fastrand::Rng,
    /// Returns whether all datagrams from the first process to the second one are lost.
    pub is_partitioned: Box<dyn Fn(usize, usize) -> bool>,
    pub sent_datagrams: u64,
    pub sent_bytes: u64,
    /// Reads per second of each key over all processes.
    pub reads_per_s: Vec<(Key, f64)>,
    /// The fraction of the reads that each process receives.
    read_fractions: Vec<f64>,
    /// For each key, the instants at which a refresh was due, and at which process.
    pub refreshes: BTreeMap<Key, Vec<(Micros, usize)>>,
}

fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (process / 200) as u8, (process % 200) as u8 + 1], 7000))
}

const STEP_MICROS: Micros = 50_000;

impl Fleet {
    pub(crate) fn new(count: usize, seed: u64) -> Fleet {
        let now = 1_000 * SECOND;
        let mut rng = fastrand::Rng::with_seed(seed);
        let tracker = |process: usize| {
            let mut tracker = HotKeyTracker::new(settings(count), process as u64 + 1, 1, now);
            tracker.set_fleet(count, GossipReports::renewal_interval(count));
            set_databases(&mut tracker);
            tracker
        };
        // Some processes receive several times as many reads as the mean.
        let weights: Vec<f64> = (0..count).map(|_| 0.2 - rng.f64().ln()).collect();
        let sum: f64 = weights.iter().sum();
        let gossip = |process: usize| GossipReports::new(process as u64 + 1, seed ^ (process as u64 + 7));
        Fleet {
            now,
            trackers: (0..count).map(tracker).collect(),
            gossip_reports: (0..count).map(gossip).collect(),
            rng,
            is_partitioned: Box::new(|_, _| false),
            sent_datagrams: 0,
            sent_bytes: 0,
            reads_per_s: Vec::new(),
            read_fractions: weights.into_iter().map(|weight| weight / sum).collect(),
            refreshes: BTreeMap::new(),
        }
    }

    /// Draws a number of events from a Poisson distribution with this mean.
    fn poisson(&mut self, mean: f64) -> usize {
        let (mut events, mut remaining) = (0, mean);
        loop {
            remaining += self.rng.f64().ln();
            if remaining < 0.0 || events > 10_000 {
                return events;
            }
            events += 1;
        }
    }

    /// Advances the time in small steps.
    pub(crate) fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MICROS;
            for process in 0..self.trackers.len() {
                self.step(process);
            }
        }
    }

    /// Runs one step of a process: it counts its reads, derives its hot set, reports, and sends a datagram if one is
    /// due.
    fn step(&mut self, process: usize) {
        let now = self.now;
        for (key, rate) in self.reads_per_s.clone() {
            let reads = self.poisson(rate * self.read_fractions[process] * STEP_MICROS as f64 / 1e6);
            (0..reads).for_each(|_| self.trackers[process].record_read(now, key, b"text"));
        }
        self.trackers[process].update(now);
        if let Some(report) = self.trackers[process].report_if_due(now) {
            self.gossip_reports[process].publish(now, 1, report);
        }
        for due in self.trackers[process].due_refreshes(now) {
            self.refreshes.entry(due.key).or_default().push((now, process));
        }
        self.send_gossip(process);
    }

    fn send_gossip(&mut self, from: usize) {
        let (now, count) = (self.now, self.trackers.len());
        let others: Vec<SocketAddr> = (0..count).filter(|other| *other != from).map(address).collect();
        let Some(outgoing) = self.gossip_reports[from].encode_gossip(now, &others) else { return };
        self.sent_datagrams += 1;
        self.sent_bytes += outgoing.payload.len() as u64;
        let to = (0..count).find(|process| address(*process) == outgoing.recipient).unwrap_or(0);
        if (self.is_partitioned)(from, to) {
            return;
        }
        let received = self.gossip_reports[to].apply_gossip(now, count, |_| true, &outgoing.payload);
        for report in received.unwrap_or_default() {
            let _ = self.trackers[to].receive_report(
                now,
                ReportHeader { origin: report.origin, sequence: report.sequence, age: report.age },
                &report.payload,
            );
        }
    }

    /// Returns whether all processes have the same hot set.
    pub(crate) fn sets_agree(&self) -> bool {
        self.trackers.iter().all(|tracker| tracker.digest() == self.trackers[0].digest())
    }

    /// Returns how many processes have the key in their hot set.
    pub(crate) fn processes_with_hot_key(&self, key: Key) -> usize {
        let is_hot_at = |tracker: &&HotKeyTracker| tracker.hot_keys().any(|hot_key| hot_key.key == key);
        self.trackers.iter().filter(is_hot_at).count()
    }

    /// Advances the time until the key is hot at all processes (`hot`) or at none (`!hot`). Returns the elapsed
    /// seconds, or `None` if this takes longer than `max`.
    pub(crate) fn advance_until(&mut self, key: Key, hot: bool, max: Micros) -> Option<f64> {
        let start = self.now;
        let expected = if hot { self.trackers.len() } else { 0 };
        while self.processes_with_hot_key(key) != expected {
            if self.now - start > max {
                return None;
            }
            self.advance(STEP_MICROS);
        }
        Some((self.now - start) as f64 / 1e6)
    }
}

/// Returns a tracker of the origin `own` that has received these reports, in this order or in reverse, and has derived
/// its hot set.
pub(crate) fn tracker_with_reports(
    own: u64,
    configured: usize,
    reports: &[(u64, Vec<ReportEntry>)],
    reversed: bool,
) -> HotKeyTracker {
    let mut tracker = HotKeyTracker::new(settings(configured), own, 1, 0);
    tracker.set_fleet(configured, SECOND);
    set_databases(&mut tracker);
    let mut ordered: Vec<_> = reports.to_vec();
    if reversed {
        ordered.reverse();
    }
    for (origin, entries) in ordered {
        let bytes = Report { secret_id: 1, set_digest: 0, entries }.encode();
        let _ = tracker.receive_report(SECOND, header(origin, 1), &bytes);
    }
    tracker.update(SECOND);
    tracker
}
