//! What is counted from the start of the process on, and told at the admin listener.

use std::fmt::Write;

/// The counts of a class: its requests by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    passed: u64,
    dropped: u64,
    bad_gateway: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    Served,
    Rejected,
    Failed,
}

/// Each count is raised in one place: a request's where its one answer is given, an attempt's where the last
/// byte of its query is written, a file's where it is taken or turned down.
#[derive(Debug, Default)]
pub struct Stats {
    classes: Vec<(String, Count)>,
    pub attempts: u64,
    pub configuration_loads: u64,
    pub configuration_load_errors: u64,
}

/// What is so just now, asked of its owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    pub in_progress: usize,
    pub known: usize,
    pub skipped: usize,
}

impl Stats {
    /// The table's row for a class; one that was known before goes on with its counts.
    pub fn class(&mut self, name: &str) -> usize {
        let found = self.classes.iter().position(|(n, _)| n == name);
        found.unwrap_or_else(|| {
            self.classes.push((name.to_string(), Count::default()));
            self.classes.len() - 1
        })
    }

    pub fn ended(&mut self, row: usize, end: RequestResult) {
        let Some((_, count)) = self.classes.get_mut(row) else { return };
        *match end {
            RequestResult::Served => &mut count.passed,
            RequestResult::Rejected => &mut count.dropped,
            RequestResult::Failed => &mut count.bad_gateway,
        } += 1;
    }

    /// Every figure, a line each.
    pub fn lines(&self, gauges: Gauges) -> String {
        let mut out = String::new();
        let mut line = |name: &str, figure: u64| {
            let _ = writeln!(out, "relay.{name}={figure}");
        };
        for (name, count) in &self.classes {
            line(&format!("passed.{name}"), count.passed);
            line(&format!("dropped.{name}"), count.dropped);
            line(&format!("bad_gateway.{name}"), count.bad_gateway);
        }
        line("upstream_tries", self.attempts);
        line("in_progress", gauges.in_progress as u64);
        line("known_databases", gauges.known as u64);
        line("skipped_databases", gauges.skipped as u64);
        line("loads", self.configuration_loads);
        line("load_errors", self.configuration_load_errors);
        out
    }
}
