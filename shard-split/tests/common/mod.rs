//! A simulated split on virtual time, with all random choices from one seed: a parent, two lagging children, clients
//! that read and write, and processes that compare reads.
#![allow(dead_code, reason = "each test uses a part of this module")]

mod databases;
mod disturbances;

use birchreach_shard_split::{
    ConfirmedDifference, DifferenceKind, Micros, QueryResult, ReportHeader, Settings, SplitDefinition,
    SplitVerifier,
};
use databases::{Databases, event_occurs};
pub(crate) use disturbances::{ChildFault, Disturbances};
use std::collections::BTreeSet;

pub(crate) const SECOND: Micros = 1_000_000;
const MILLI: Micros = 1_000;
const STEP_MICROS: Micros = 20 * MILLI;

/// Returns a split in the middle of the hash space.
pub(crate) fn definition() -> SplitDefinition {
    SplitDefinition { parent: 0, lower_child: 1, upper_child: 2, split_at: 1 << 31 }
}

/// Returns settings that require two comparisons per range by at least one process.
pub(crate) fn settings(configured: usize) -> Settings {
    Settings {
        definition: definition(),
        min_comparisons: 2,
        coverage_window: 600 * SECOND,
        min_processes: 1,
        confirmation_delay: 3 * SECOND,
        configured_members: configured,
    }
}

/// Returns the key with this number.
pub(crate) fn key(number: usize) -> Vec<u8> {
    format!("key-{number}").into_bytes()
}

/// Returns the header of a report that was made just now.
pub(crate) fn header(origin: u64, sequence: u64) -> ReportHeader {
    ReportHeader { origin, sequence, age: 0 }
}

/// A query result that has not arrived at its verifier yet.
struct AnswerInTransit {
    arrives_at: Micros,
    verifier: usize,
    comparison: u64,
    result: QueryResult,
}

/// The databases, and the verifiers that compare the clients' reads.
pub(crate) struct Simulation {
    pub now: Micros,
    rng: fastrand::Rng,
    pub databases: Databases,
    pub verifiers: Vec<SplitVerifier>,
    answers_in_transit: Vec<AnswerInTransit>,
    /// The differences that all verifiers confirmed.
    pub differences: Vec<ConfirmedDifference>,
    /// The number of queries that were sent.
    pub queries: u64,
}

/// Confirmed differences, compared with the faults of the children.
pub(crate) struct ConfirmedKeys<'a> {
    /// Faulty keys for which a difference of the right kind was confirmed.
    pub faulty: BTreeSet<usize>,
    /// Confirmed differences of keys without a fault, or of the wrong kind.
    pub wrong: Vec<&'a ConfirmedDifference>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, processes: usize, keys: usize, disturbances: Disturbances) -> Simulation {
        let now = 1_000_000 * SECOND;
        let verifier = |process| SplitVerifier::new(settings(processes), process as u64 + 1, now);
        Simulation {
            now,
            rng: fastrand::Rng::with_seed(seed),
            databases: Databases::new(keys, disturbances),
            verifiers: (0..processes).map(verifier).collect(),
            answers_in_transit: Vec::new(),
            differences: Vec::new(),
            queries: 0,
        }
    }

    /// Advances the time in small steps, with this rate of client reads.
    pub(crate) fn advance(&mut self, span: Micros, reads_per_s: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MICROS;
            self.databases.apply_disturbances(&mut self.rng, self.now, STEP_MICROS);
            for verifier in 0..self.verifiers.len() {
                if event_occurs(&mut self.rng, reads_per_s / self.verifiers.len() as f64, STEP_MICROS) {
                    self.read(verifier);
                }
                self.send_queries(verifier);
            }
            self.deliver_answers();
            self.exchange_reports();
        }
    }

    /// Simulates a client's read at a replica of the parent that lags by less than 30 ms.
    fn read(&mut self, verifier: usize) {
        let number = self.rng.usize(..self.databases.keys);
        let position = self.now - 1 - self.rng.i64(0..30 * MILLI);
        let value = self.databases.parent_commit(number, position).value;
        self.verifiers[verifier].record_read(self.now, 0, &key(number), Some(value));
    }

    fn send_queries(&mut self, verifier: usize) {
        for due in self.verifiers[verifier].due_queries(self.now, 4) {
            self.queries += 1;
            let result = self.databases.answer(&mut self.rng, self.now, due.query, &due.key_bytes);
            let arrives_at = self.now + self.rng.i64(2 * MILLI..200 * MILLI);
            let comparison = due.comparison;
            self.answers_in_transit.push(AnswerInTransit { arrives_at, verifier, comparison, result });
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let has_arrived = |answer: &mut AnswerInTransit| answer.arrives_at <= now;
        for answer in self.answers_in_transit.extract_if(.., has_arrived) {
            let verifier = &mut self.verifiers[answer.verifier];
            self.differences.extend(verifier.record_result(now, answer.comparison, answer.result));
        }
    }

    /// Delivers each due report to all other verifiers.
    fn exchange_reports(&mut self) {
        let sequence = self.now as u64;
        for from in 0..self.verifiers.len() {
            let Some(report) = self.verifiers[from].report_if_due(self.now) else { continue };
            for to in (0..self.verifiers.len()).filter(|to| *to != from) {
                let _ =
                    self.verifiers[to].receive_report(self.now, header(from as u64 + 1, sequence), &report);
            }
        }
    }

    /// Groups the confirmed differences by whether the children have a corresponding fault.
    pub(crate) fn confirmed_keys(&self) -> ConfirmedKeys<'_> {
        let mut confirmed = ConfirmedKeys { faulty: BTreeSet::new(), wrong: Vec::new() };
        for difference in &self.differences {
            let has_hash = |number: &usize| SplitDefinition::hash(&key(*number)) == difference.key_hash;
            let number = (0..self.databases.keys).find(has_hash);
            let fault = number.and_then(|number| self.databases.faults.get(&number));
            let kind = fault.map(|fault| match fault {
                ChildFault::Missing => DifferenceKind::Missing,
                ChildFault::Extra => DifferenceKind::Extra,
                ChildFault::Differs => DifferenceKind::Differs,
            });
            match number {
                Some(number) if kind == Some(difference.kind) => {
                    confirmed.faulty.insert(number);
                }
                _ => confirmed.wrong.push(difference),
            }
        }
        confirmed
    }
}
