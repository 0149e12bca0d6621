//! Counters since the start of the process, as operators see them.

use std::fmt::Write;

/// Counters of a class: its requests by their result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ResultCounts {
    served: u64,
    rejected: u64,
    failed: u64,
}

/// Counters of one class, by its name.
#[derive(Debug)]
struct ClassRow {
    name: String,
    counts: ResultCounts,
}

/// The index of a class's counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClassRowIndex(usize);

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestResult {
    /// It was served.
    Served,
    /// It was not served, and may be retried.
    Rejected,
    /// It was not served, and may have run.
    Failed,
}

/// All counters. A request is counted when it gets its answer, an attempt when the last byte of its query is written.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    classes: Vec<ClassRow>,
    /// Attempts written to databases.
    pub attempts: u64,
    /// Configuration files applied after SIGHUP.
    pub configuration_loads: u64,
    /// Configuration files not applied because of errors.
    pub configuration_load_errors: u64,
}

/// Values of the present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Gauges {
    /// Requests without an answer.
    pub in_progress: usize,
    /// Databases in the endpoint list.
    pub known: usize,
    /// Databases that receive no new requests at present.
    pub skipped: usize,
}

impl Stats {
    /// The index of a class's row. A class that was known before keeps its counters.
    pub(crate) fn class_row(&mut self, name: &str) -> ClassRowIndex {
        let known = self.classes.iter().position(|row| row.name == name);
        ClassRowIndex(known.unwrap_or_else(|| {
            self.classes.push(ClassRow { name: name.to_string(), counts: ResultCounts::default() });
            self.classes.len() - 1
        }))
    }

    /// Counts a request of the class with this row.
    pub(crate) fn count_result(&mut self, row: ClassRowIndex, result: RequestResult) {
        let Some(ClassRow { counts, .. }) = self.classes.get_mut(row.0) else { return };
        match result {
            RequestResult::Served => counts.served += 1,
            RequestResult::Rejected => counts.rejected += 1,
            RequestResult::Failed => counts.failed += 1,
        }
    }

    /// Every counter and gauge, a line each. The names are public and must not change.
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
        line("known_databases", gauges.known as u64);
        line("skipped_databases", gauges.skipped as u64);
        line("loads", self.configuration_loads);
        line("load_errors", self.configuration_load_errors);
        text
    }
}
