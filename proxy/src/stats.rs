//! Counters since the start of the process, and their text form for operators.

use std::fmt::Write;

/// Requests of a class, counted by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ResultCounts {
    served: u64,
    rejected: u64,
    failed: u64,
}

/// The counters of the class with this name.
#[derive(Debug)]
struct ClassRow {
    name: String,
    counts: ResultCounts,
}

/// Index of the counters of a class in [`Stats`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClassRowIndex(usize);

/// How a request ended, as far as its class counts it. Requests of clients that disconnect early have no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestResult {
    /// The final answer contained a value, or the value was streamed completely.
    Served,
    /// The request was not served, and may be retried.
    Rejected,
    /// The request was not served, but may have run.
    Failed,
}

/// All counters. A request is counted when it is answered. An attempt is counted when the last byte of its query was written.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    classes: Vec<ClassRow>,
    /// Attempts that were written to databases.
    pub attempts: u64,
    /// Configuration files that were applied after SIGHUP.
    pub configuration_loads: u64,
    /// Configuration files that were not applied after SIGHUP because of errors.
    pub configuration_load_errors: u64,
}

/// Values that describe the present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Gauges {
    /// Requests without a final answer.
    pub in_progress: usize,
    /// Databases in the endpoint list.
    pub listed_databases: usize,
    /// Databases that receive no new requests at present.
    pub databases_out_of_rotation: usize,
}

impl Stats {
    /// Returns the index of a class's row. A class that was known before keeps its counters.
    pub(crate) fn class_row(&mut self, name: &str) -> ClassRowIndex {
        let existing = self.classes.iter().position(|row| row.name == name);
        ClassRowIndex(existing.unwrap_or_else(|| {
            self.classes.push(ClassRow { name: name.to_string(), counts: ResultCounts::default() });
            self.classes.len() - 1
        }))
    }

    /// Counts the result of a request of the class with this row.
    pub(crate) fn count_result(&mut self, row: ClassRowIndex, result: RequestResult) {
        let Some(ClassRow { counts, .. }) = self.classes.get_mut(row.0) else { return };
        match result {
            RequestResult::Served => counts.served += 1,
            RequestResult::Rejected => counts.rejected += 1,
            RequestResult::Failed => counts.failed += 1,
        }
    }

    /// Returns every counter and gauge on a line of its own. The names are public and must not change.
    pub(crate) fn lines(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "relay.{name}={value}");
        };
        for ClassRow { name, counts } in &self.classes {
            line(&format!("passed.{name}"), counts.served);
            line(&format!("dropped.{name}"), counts.rejected);
            line(&format!("bad_gateway.{name}"), counts.failed);
        }
        line("upstream_tries", self.attempts);
        line("in_progress", gauges.in_progress as u64);
        line("known_databases", gauges.listed_databases as u64);
        line("skipped_databases", gauges.databases_out_of_rotation as u64);
        line("loads", self.configuration_loads);
        line("load_errors", self.configuration_load_errors);
        text
    }
}
