//! A parent, two children that follow it late, clients that read and write, and processes that compare: on virtual time, from a seed.
#![allow(dead_code, reason = "each test uses a part of this module")]

mod disturbances;

use birchreach_shard_split::judge::ParentSample;
use birchreach_shard_split::{
    Child, Children, ComparisonQuery, ConfirmedDifference, Definition, DifferenceKind, DueQuery, Micros,
    PositionSample, QueryResult, Settings, SplitVerifier,
};
pub use disturbances::{ChildFault, Disturbances};
use std::collections::{BTreeMap, BTreeSet};

pub const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;

/// A group that splits in the middle.
pub fn definition() -> Definition {
    Definition { parent: 0, lower_child: 1, upper_child: 2, split_at: 1 << 31 }
}

/// Settings that want two comparisons a range by one process.
pub fn settings(configured: usize) -> Settings {
    Settings {
        definition: definition(),
        min_comparisons: 2,
        coverage_window: 600 * SECOND,
        min_processes: 1,
        confirmation_delay: 3 * SECOND,
        configured_members: configured,
    }
}

/// The nth key.
pub fn key(n: usize) -> Vec<u8> {
    format!("key-{n}").into_bytes()
}

/// The databases, and verifiers that compare what clients read.
pub struct World {
    pub now: Micros,
    rng: fastrand::Rng,
    disturbances: Disturbances,
    keys: usize,
    /// By key: commits and values; and what a failover lost, with the time of the loss.
    log: BTreeMap<usize, Vec<(Micros, u64)>>,
    lost: Vec<(usize, Micros, u64, Micros)>,
    parent: u64,
    children: [(Micros, Micros, u64); 2],
    pub faults: BTreeMap<usize, ChildFault>,
    pub all: Vec<SplitVerifier>,
    /// Answers that arrive at an instant: at which verifier, of which comparison.
    answers_in_transit: Vec<(Micros, usize, u64, QueryResult)>,
    pub differences: Vec<ConfirmedDifference>,
    pub queries: u64,
}

impl World {
    pub fn new(seed: u64, processes: usize, keys: usize, disturbances: Disturbances) -> World {
        let now = 1_000_000 * SECOND;
        let all =
            (0..processes).map(|n| SplitVerifier::new(settings(processes), n as u64 + 1, now)).collect();
        let log = (0..keys).map(|n| (n, vec![(0, n as u64)])).collect();
        World {
            now,
            rng: fastrand::Rng::with_seed(seed),
            disturbances,
            keys,
            log,
            lost: Vec::new(),
            parent: 1,
            children: [(0, 20 * MILLI, 10), (0, 20 * MILLI, 20)],
            faults: BTreeMap::new(),
            all,
            answers_in_transit: Vec::new(),
            differences: Vec::new(),
            queries: 0,
        }
    }

    fn chance(&mut self, rate: f64, span: Micros) -> bool {
        self.rng.f64() < rate * span as f64 / 1e6
    }

    /// The newest value of a key up to a position, and when it was committed.
    fn at(&self, n: usize, position: Micros, of_child: bool) -> (Micros, u64) {
        let kept = self.log[&n].iter().filter(|(at, _)| *at <= position);
        // A child has what was lost until it is repaired.
        let lost =
            self.lost.iter().filter(|l| of_child && l.0 == n && l.1 <= position && self.now - l.3 < SECOND);
        kept.copied().chain(lost.map(|l| (l.1, l.2))).max().unwrap_or((0, 0))
    }

    fn position(&mut self, child: usize, at: Micros) -> Micros {
        let (position, lag, _) = &mut self.children[child];
        *position = (*position).max(at - 1 - *lag);
        *position
    }

    fn child_row(&mut self, n: usize, child: usize, at: Micros) -> Option<u64> {
        let Children { owner, .. } = definition().children(Definition::hash(&key(n)));
        let owns = owner as usize == child + 1;
        let position = self.position(child, at);
        let value = self.at(n, position, true).1;
        match self.faults.get(&n) {
            Some(ChildFault::Missing) if owns => None,
            Some(ChildFault::Other) if owns => Some(value ^ 1 << 40),
            Some(ChildFault::Extra) => Some(value),
            _ => owns.then_some(value),
        }
    }

    /// Passes time in small steps, with so many reads a second.
    pub fn pass(&mut self, span: Micros, reads_per_s: f64) {
        let end = self.now + span;
        let step = 20 * MILLI;
        while self.now < end {
            self.now += step;
            self.disturb(step);
            for n in 0..self.all.len() {
                if self.chance(reads_per_s / self.all.len() as f64, step) {
                    let k = self.rng.usize(..self.keys);
                    // A replica of the parent may answer from a little ago.
                    let position = self.now - 1 - self.rng.i64(0..30 * MILLI);
                    let (_, value) = self.at(k, position, false);
                    self.all[n].record_read(self.now, 0, &key(k), Some(value));
                }
                for DueQuery { comparison: number, query, key_bytes, .. } in
                    self.all[n].due_queries(self.now, 4)
                {
                    self.queries += 1;
                    let result = self.answer(query, &key_bytes);
                    let after = self.rng.i64(2 * MILLI..200 * MILLI);
                    self.answers_in_transit.push((self.now + after, n, number, result));
                }
            }
            let now = self.now;
            for (_, n, number, result) in
                self.answers_in_transit.extract_if(.., |u| u.0 <= now).collect::<Vec<_>>()
            {
                self.differences.extend(self.all[n].record_result(now, number, result));
            }
            self.exchange_reports();
        }
    }

    fn disturb(&mut self, step: Micros) {
        let Disturbances { writes, lag, failovers, restarts, .. } = self.disturbances;
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
            let (has, now) = (self.now - 300 * MILLI, self.now);
            for (n, entries) in &mut self.log {
                for (at, value) in entries.extract_if(.., |(at, _)| *at > has) {
                    self.lost.push((*n, at, value, now));
                }
            }
        }
        if self.chance(restarts, step) {
            let child = self.rng.usize(..2);
            let c = &mut self.children[child];
            *c = (c.0 - 5 * SECOND, 4 * SECOND, c.2 + 1);
        }
    }

    /// What a database answers: positions are of other instants than rows.
    fn answer(&mut self, query: ComparisonQuery, text: &[u8]) -> QueryResult {
        let n = (0..self.keys).find(|n| key(*n) == text).unwrap_or(0);
        if self.rng.f64() < self.disturbances.lost {
            return QueryResult::NoAnswer;
        }
        let Children { owner, other } = definition().children(Definition::hash(text));
        let of = |child| if child == Child::Owner { owner as usize - 1 } else { other as usize - 1 };
        let now = self.now;
        let (a, b) = (self.rng.i64(0..40 * MILLI), self.rng.i64(0..40 * MILLI));
        match query {
            ComparisonQuery::SingleRead(child) => {
                let row = self.child_row(n, of(child), now);
                QueryResult::SingleRead { row, position: Some(self.position(of(child), now + a)) }
            }
            ComparisonQuery::Sample(child) => {
                let low = self.position(of(child), now);
                let row = self.child_row(n, of(child), now + a);
                let high = self.position(of(child), now + a + b);
                QueryResult::Sample {
                    sample: PositionSample { row, position_before: low, position_after: high },
                    process: self.children[of(child)].2,
                }
            }
            ComparisonQuery::SampleParent => {
                let (since, value) = self.at(n, now, false);
                QueryResult::ParentSample {
                    sample: ParentSample { row: Some(value), committed_at: since, position: now - 1 - a },
                    process: self.parent,
                }
            }
        }
    }

    /// Each report reaches all other verifiers.
    fn exchange_reports(&mut self) {
        for n in 0..self.all.len() {
            let Some(said) = self.all[n].report_if_due(self.now) else { continue };
            let number = self.now as u64;
            for other in (0..self.all.len()).filter(|o| *o != n) {
                let _ = self.all[other].receive_report(self.now, n as u64 + 1, number, 0, &said);
            }
        }
    }

    /// Keys with a fault for which a difference was confirmed; and confirmed differences of other keys, or of another kind.
    pub fn found(&self) -> (BTreeSet<usize>, Vec<&ConfirmedDifference>) {
        let (mut found, mut wrong) = (BTreeSet::new(), Vec::new());
        for f in &self.differences {
            let n = (0..self.keys).find(|n| Definition::hash(&key(*n)) == f.key_hash);
            let kind = n.and_then(|n| self.faults.get(&n)).map(|fault| match fault {
                ChildFault::Missing => DifferenceKind::Missing,
                ChildFault::Extra => DifferenceKind::Extra,
                ChildFault::Other => DifferenceKind::Differs,
            });
            match (n, kind) {
                (Some(n), Some(kind)) if kind == f.kind => {
                    found.insert(n);
                }
                _ => wrong.push(f),
            }
        }
        (found, wrong)
    }
}
