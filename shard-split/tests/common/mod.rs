//! A parent, two children that follow it with a lag, clients that read and write, and processes that compare: on
//! virtual time, from a seed.
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

/// A group that splits in the middle.
pub(crate) fn definition() -> SplitDefinition {
    SplitDefinition { parent: 0, lower_child: 1, upper_child: 2, split_at: 1 << 31 }
}

/// Settings that want two comparisons a range by one process.
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

/// A key, by its number.
pub(crate) fn key(number: usize) -> Vec<u8> {
    format!("key-{number}").into_bytes()
}

/// The header of a report that was made just now.
pub(crate) fn header(origin: u64, sequence: u64) -> ReportHeader {
    ReportHeader { origin, sequence, age: 0 }
}

/// An answer on its way to a verifier.
struct AnswerInTransit {
    arrives_at: Micros,
    verifier: usize,
    comparison: u64,
    result: QueryResult,
}

/// The databases, and verifiers that compare what clients read.
pub(crate) struct Simulation {
    pub now: Micros,
    rng: fastrand::Rng,
    pub databases: Databases,
    pub verifiers: Vec<SplitVerifier>,
    answers_in_transit: Vec<AnswerInTransit>,
    /// Confirmed differences of all verifiers.
    pub differences: Vec<ConfirmedDifference>,
    /// Queries that were sent.
    pub queries: u64,
}

/// What was confirmed, compared with the faults that there are.
pub(crate) struct ConfirmedKeys<'a> {
    /// Keys with a fault for which a difference of its kind was confirmed.
    pub faulty: BTreeSet<usize>,
    /// Confirmed differences of other keys, or of another kind.
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

    /// Passes time in small steps, with so many reads a second.
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

    /// A client reads a key at a replica of the parent, which may lag a little.
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

    /// Each report reaches all other verifiers.
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

    /// The confirmed differences, by whether there is such a fault.
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
