//! A parent, two children that follow it late, clients that read and write, and processes that compare: on virtual time, from a seed.
#![allow(dead_code)]

use birchreach_shard_split::judge::ParentSample;
use birchreach_shard_split::{
    Child, ComparisonQuery, ConfirmedDifference, Definition, DifferenceKind, Micros, PositionSample,
    QueryResult, Settings, SplitVerifier,
};
use std::collections::{BTreeMap, BTreeSet};

pub const S: Micros = 1_000_000;
const MS: Micros = 1_000;

pub fn definition() -> Definition {
    Definition { parent: 0, lower_child: 1, upper_child: 2, split_at: 1 << 31 }
}

pub fn settings(named: usize) -> Settings {
    Settings {
        definition: definition(),
        min_comparisons: 2,
        coverage_window: 600 * S,
        min_processes: 1,
        confirmation_delay: 3 * S,
        configured_members: named,
    }
}

pub fn key(n: usize) -> Vec<u8> {
    format!("key-{n}").into_bytes()
}

/// A fault that a child has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Missing,
    Extra,
    Other,
}

/// What goes wrong with the databases, or does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    pub writes: f64,
    /// Lags come and go, of up to so long.
    pub lag: Micros,
    /// The parent fails over so often in a second, and loses its last writes; children have them for a second.
    pub failovers: f64,
    /// Children begin anew from an older copy, so often in a second.
    pub restarts: f64,
    /// Answers that never come.
    pub lost: f64,
}

pub struct World {
    pub now: Micros,
    rng: fastrand::Rng,
    trouble: Trouble,
    keys: usize,
    /// By key: commits and values; and what a failover lost, with when.
    log: BTreeMap<usize, Vec<(Micros, u64)>>,
    lost: Vec<(usize, Micros, u64, Micros)>,
    parent: u64,
    children: [(Micros, Micros, u64); 2],
    pub faults: BTreeMap<usize, Fault>,
    pub all: Vec<SplitVerifier>,
    /// Answers on their way: when, to whom, which, what.
    under_way: Vec<(Micros, usize, u64, QueryResult)>,
    pub flags: Vec<ConfirmedDifference>,
    pub asked: u64,
}

impl World {
    pub fn new(seed: u64, processes: usize, keys: usize, trouble: Trouble) -> World {
        let now = 1_000_000 * S;
        let all =
            (0..processes).map(|n| SplitVerifier::new(settings(processes), n as u64 + 1, now)).collect();
        let log = (0..keys).map(|n| (n, vec![(0, n as u64)])).collect();
        World {
            now,
            rng: fastrand::Rng::with_seed(seed),
            trouble,
            keys,
            log,
            lost: Vec::new(),
            parent: 1,
            children: [(0, 20 * MS, 10), (0, 20 * MS, 20)],
            faults: BTreeMap::new(),
            all,
            under_way: Vec::new(),
            flags: Vec::new(),
            asked: 0,
        }
    }

    fn chance(&mut self, rate: f64, span: Micros) -> bool {
        self.rng.f64() < rate * span as f64 / 1e6
    }

    /// The newest value of a key up to a position, and when it was committed.
    fn at(&self, n: usize, position: Micros, of_child: bool) -> (Micros, u64) {
        let kept = self.log[&n].iter().filter(|(at, _)| *at <= position);
        // A child has what was lost until it is set right.
        let lost = self.lost.iter().filter(|l| of_child && l.0 == n && l.1 <= position && self.now - l.3 < S);
        kept.copied().chain(lost.map(|l| (l.1, l.2))).max().unwrap_or((0, 0))
    }

    fn position(&mut self, child: usize, at: Micros) -> Micros {
        let (position, lag, _) = &mut self.children[child];
        *position = (*position).max(at - 1 - *lag);
        *position
    }

    fn child_row(&mut self, n: usize, child: usize, at: Micros) -> Option<u64> {
        let (owner, _) = definition().children(Definition::hash(&key(n)));
        let owns = owner as usize == child + 1;
        let position = self.position(child, at);
        let value = self.at(n, position, true).1;
        match self.faults.get(&n) {
            Some(Fault::Missing) if owns => None,
            Some(Fault::Other) if owns => Some(value ^ 1 << 40),
            Some(Fault::Extra) => Some(value),
            _ => owns.then_some(value),
        }
    }

    pub fn pass(&mut self, span: Micros, reads_per_s: f64) {
        let end = self.now + span;
        let step = 20 * MS;
        while self.now < end {
            self.now += step;
            self.trouble(step);
            for n in 0..self.all.len() {
                if self.chance(reads_per_s / self.all.len() as f64, step) {
                    let k = self.rng.usize(..self.keys);
                    // A replica of the parent may answer from a little ago.
                    let position = self.now - 1 - self.rng.i64(0..30 * MS);
                    let (_, value) = self.at(k, position, false);
                    self.all[n].record_read(self.now, 0, &key(k), Some(value));
                }
                for (number, ask, text, _) in self.all[n].due_queries(self.now, 4) {
                    self.asked += 1;
                    let told = self.answer(ask, &text);
                    let after = self.rng.i64(2 * MS..200 * MS);
                    self.under_way.push((self.now + after, n, number, told));
                }
            }
            let now = self.now;
            for (_, n, number, told) in self.under_way.extract_if(.., |u| u.0 <= now).collect::<Vec<_>>() {
                self.flags.extend(self.all[n].record_result(now, number, told));
            }
            self.tell();
        }
    }

    fn trouble(&mut self, step: Micros) {
        let Trouble { writes, lag, failovers, restarts, .. } = self.trouble;
        if self.chance(writes, step) {
            let n = self.rng.usize(..self.keys.min(20));
            // Values go and come back.
            let value = self.rng.u64(..3) * 1_000 + n as u64;
            self.log.entry(n).or_default().push((self.now, value));
        }
        if lag > 0 && self.chance(0.5, step) {
            let child = self.rng.usize(..2);
            self.children[child].1 = self.rng.i64(1..=lag);
        }
        if self.chance(failovers, step) {
            self.parent += 1;
            let (has, now) = (self.now - 300 * MS, self.now);
            for (n, entries) in &mut self.log {
                for (at, value) in entries.extract_if(.., |(at, _)| *at > has) {
                    self.lost.push((*n, at, value, now));
                }
            }
        }
        if self.chance(restarts, step) {
            let child = self.rng.usize(..2);
            let c = &mut self.children[child];
            *c = (c.0 - 5 * S, 4 * S, c.2 + 1);
        }
    }

    /// What a database answers: positions are told at other times than rows are read.
    fn answer(&mut self, ask: ComparisonQuery, text: &[u8]) -> QueryResult {
        let n = (0..self.keys).find(|n| key(*n) == text).unwrap_or(0);
        if self.rng.f64() < self.trouble.lost {
            return QueryResult::NoAnswer;
        }
        let (owner, other) = definition().children(Definition::hash(text));
        let of = |child| if child == Child::Owner { owner as usize - 1 } else { other as usize - 1 };
        let now = self.now;
        let (a, b) = (self.rng.i64(0..40 * MS), self.rng.i64(0..40 * MS));
        match ask {
            ComparisonQuery::SingleRead(child) => {
                let row = self.child_row(n, of(child), now);
                QueryResult::SingleRead { row, position: Some(self.position(of(child), now + a)) }
            }
            ComparisonQuery::Sample(child) => {
                let low = self.position(of(child), now);
                let row = self.child_row(n, of(child), now + a);
                let high = self.position(of(child), now + a + b);
                QueryResult::Sample {
                    look: PositionSample { row, position_before: low, position_after: high },
                    process: self.children[of(child)].2,
                }
            }
            ComparisonQuery::SampleParent => {
                let (since, value) = self.at(n, now, false);
                QueryResult::ParentSample {
                    parent: ParentSample { row: Some(value), committed_at: since, position: now - 1 - a },
                    process: self.parent,
                }
            }
        }
    }

    /// Counters go to all that hear.
    fn tell(&mut self) {
        for n in 0..self.all.len() {
            let Some(said) = self.all[n].report_if_due(self.now) else { continue };
            let number = self.now as u64;
            for other in (0..self.all.len()).filter(|o| *o != n) {
                let _ = self.all[other].receive_report(self.now, n as u64 + 1, number, 0, &said);
            }
        }
    }

    /// Keys with a fault that were flagged, by hash; and flags of keys that have none, or of another sort.
    pub fn found(&self) -> (BTreeSet<usize>, Vec<&ConfirmedDifference>) {
        let (mut found, mut wrong) = (BTreeSet::new(), Vec::new());
        for f in &self.flags {
            let n = (0..self.keys).find(|n| Definition::hash(&key(*n)) == f.key_hash);
            let sort = n.and_then(|n| self.faults.get(&n)).map(|fault| match fault {
                Fault::Missing => DifferenceKind::Missing,
                Fault::Extra => DifferenceKind::Extra,
                Fault::Other => DifferenceKind::Differs,
            });
            match (n, sort) {
                (Some(n), Some(sort)) if sort == f.kind => {
                    found.insert(n);
                }
                _ => wrong.push(f),
            }
        }
        (found, wrong)
    }
}
