//! Many processes' machines on virtual time, with reports that go round by the fleet's own machine; reads come as drawn.
#![allow(dead_code)]

use birchreach_hot_keys::{
    CopyRequirement, Database, HotKeyTracker, Key, Micros, Report, ReportEntry, Settings,
};
use birchreach_membership::GossipReports;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const S: Micros = 1_000_000;
pub const REPLICAS: usize = 2;

pub fn settings(named: usize) -> Settings {
    Settings {
        database_reads_per_s: 100.0,
        copy_cost_reads: 2.0,
        max_copies: 3,
        configured_members: named as u32,
        class_requirements: vec![
            CopyRequirement::MaxAge(800_000),
            CopyRequirement::Session,
            CopyRequirement::Any,
            CopyRequirement::Current,
        ],
    }
}

pub fn key(group: u32, n: u64) -> Key {
    Key { group, hash: n.wrapping_mul(0x9e37_79b9_7f4a_7c15) }
}

pub fn databases(groups: u32) -> Vec<Database> {
    let of = |group| (0..=REPLICAS as u32).map(move |n| (group, n));
    let all = (0..groups).flat_map(of).enumerate();
    all.map(|(number, (group, n))| Database {
        server: number as u32,
        group,
        name_hash: u64::from(group * 97 + n),
    })
    .collect()
}

pub fn listed(hot: &mut HotKeyTracker, groups: u32) {
    hot.update_databases(databases(groups), (0..groups).map(|g| (g, REPLICAS)).collect::<BTreeMap<_, _>>());
}

pub struct Net {
    pub now: Micros,
    pub all: Vec<HotKeyTracker>,
    gossip_reports: Vec<GossipReports>,
    pub rng: fastrand::Rng,
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    /// Reports sent, and their bytes.
    pub sent: (u64, u64),
    /// Read a second of each key, and by what share of them each process is asked.
    pub asked: Vec<(Key, f64)>,
    pub shares: Vec<f64>,
    /// Of all processes and moments: renewals that were due, by key.
    pub due: BTreeMap<Key, Vec<(Micros, usize)>>,
}

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8 + 1], 7000))
}

const STEP: Micros = 50_000;

impl Net {
    pub fn new(count: usize, seed: u64) -> Net {
        let now = 1_000 * S;
        let mut rng = fastrand::Rng::with_seed(seed);
        let one = |n: usize| {
            let mut hot = HotKeyTracker::new(settings(count), n as u64 + 1, 1, now);
            hot.set_fleet(count, GossipReports::interval(count));
            listed(&mut hot, 6);
            hot
        };
        // Some get several times the mean.
        let shares: Vec<f64> = (0..count).map(|_| 0.2 - rng.f64().ln()).collect();
        let sum: f64 = shares.iter().sum();
        Net {
            now,
            all: (0..count).map(one).collect(),
            gossip_reports: (0..count)
                .map(|n| GossipReports::new(n as u64 + 1, seed ^ (n as u64 + 7)))
                .collect(),
            rng,
            cut: Box::new(|_, _| false),
            sent: (0, 0),
            asked: Vec::new(),
            shares: shares.into_iter().map(|s| s / sum).collect(),
            due: BTreeMap::new(),
        }
    }

    /// How many come in a time in which so many come in the mean.
    fn poisson(&mut self, mean: f64) -> usize {
        let (mut n, mut left) = (0, mean);
        loop {
            left += self.rng.f64().ln();
            if left < 0.0 || n > 10_000 {
                return n;
            }
            n += 1;
        }
    }

    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for n in 0..self.all.len() {
                self.turn(n);
            }
        }
    }

    fn turn(&mut self, n: usize) {
        let (now, count) = (self.now, self.all.len());
        for (key, rate) in self.asked.clone() {
            let reads = self.poisson(rate * self.shares[n] * STEP as f64 / 1e6);
            (0..reads).for_each(|_| self.all[n].record_read(now, key, b"text"));
        }
        self.all[n].update(now);
        if let Some(said) = self.all[n].report_if_due(now) {
            self.gossip_reports[n].publish(now, 1, said);
        }
        for due in self.all[n].due_copies(now) {
            self.due.entry(due.key).or_default().push((now, n));
        }
        let others: Vec<SocketAddr> = (0..count).filter(|o| *o != n).map(at).collect();
        let Some((to, bytes)) = self.gossip_reports[n].encode_gossip(now, &others) else { return };
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        let to = (0..count).find(|o| at(*o) == to).unwrap_or(0);
        if (self.cut)(n, to) {
            return;
        }
        let fresh = self.gossip_reports[to].apply_gossip(now, count, |_| true, &bytes).unwrap_or_default();
        for f in fresh {
            let _ = self.all[to].receive_report(now, f.origin, f.sequence, f.age, &f.payload);
        }
    }

    /// All hold the same keys for hot.
    pub fn agreed(&self) -> bool {
        self.all.iter().all(|h| h.digest() == self.all[0].digest())
    }

    pub fn hold(&self, key: Key) -> usize {
        self.all.iter().filter(|h| h.hot_keys().any(|(k, _)| k == key)).count()
    }

    /// Until all hold it, or none does; in seconds.
    pub fn until(&mut self, key: Key, held: bool, most: Micros) -> Option<f64> {
        let start = self.now;
        let wanted = if held { self.all.len() } else { 0 };
        while self.hold(key) != wanted {
            if self.now - start > most {
                return None;
            }
            self.pass(STEP);
        }
        Some((self.now - start) as f64 / 1e6)
    }
}

/// What others report, as the machine of one hears it.
pub fn heard(own: u64, named: usize, reports: &[(u64, Vec<ReportEntry>)], order: bool) -> HotKeyTracker {
    let mut hot = HotKeyTracker::new(settings(named), own, 1, 0);
    hot.set_fleet(named, S);
    listed(&mut hot, 6);
    let mut all: Vec<_> = reports.to_vec();
    if order {
        all.reverse();
    }
    for (origin, entries) in all {
        let bytes = Report { secret_id: 1, set_digest: 0, entries }.encode();
        let _ = hot.receive_report(S, origin, 1, 0, &bytes);
    }
    hot.update(S);
    hot
}
