//! The state of the verifier, its comparisons, and the differences that they confirm. Module `reporting` creates and
//! receives reports, and determines the status.

use crate::Micros;
use crate::compare::{Comparison, ComparisonEnd, Difference};
use crate::coverage::Coverage;
use crate::definition::SplitDefinition;
use crate::difference::ConfirmedDifference;
use crate::query::{ComparisonQuery, DueQuery, QueryResult};
use crate::sample_comparison::RowDigest;
use crate::settings::{ComparisonCounts, Settings};
use crate::window::Window;
use birchreach_fault_injection::fault_injected;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of comparisons in progress. At this limit further reads are not compared.
const MAX_COMPARISONS: usize = 64;
/// The maximum number of confirmed differences that are stored for one range. The oldest one is evicted.
const MAX_DIFFERENCES_PER_RANGE: usize = 4;
/// Reads of a covered range are sampled: one in this many reads is eligible for a comparison.
const COVERED_RANGE_SAMPLING_INTERVAL: u64 = 16;
/// A comparison that takes longer than this ends as unanswered, because its databases cannot be reached.
const MAX_COMPARISON_MICROS: Micros = 120_000_000;
/// A query that could not be sent is due again after this delay.
const POSTPONE_DELAY_MICROS: Micros = 200_000;

/// Compares reads of a group that is being split with reads of its children.
pub struct SplitVerifier {
    pub(crate) settings: Settings,
    /// Comparisons in progress, by their number.
    comparisons: BTreeMap<u64, Comparison>,
    /// The number of the comparison that was started last.
    last_comparison: u64,
    pub(crate) window: Window,
    pub(crate) coverage: Coverage,
    /// Confirmed differences by range, from oldest to newest.
    differences: BTreeMap<usize, VecDeque<ConfirmedDifference>>,
    reads_seen: u64,
    counts: ComparisonCounts,
}

impl SplitVerifier {
    /// Creates a verifier without comparisons. `own_origin` identifies this process in reports.
    pub fn new(settings: Settings, own_origin: u64, now: Micros) -> SplitVerifier {
        SplitVerifier {
            window: Window::new(now, settings.coverage_window),
            settings,
            comparisons: BTreeMap::new(),
            last_comparison: 0,
            coverage: Coverage::new(own_origin, now),
            differences: BTreeMap::new(),
            reads_seen: 0,
            counts: ComparisonCounts::default(),
        }
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Sets the interval at which each process of the fleet reports.
    pub fn set_report_interval(&mut self, interval: Micros) {
        self.coverage.reports.set_interval(interval);
    }

    /// Records that a client was served a row of the parent. A comparison of the row starts if the read is sampled and
    /// no comparison of the key is in progress. `class` is the caller's number for the class of the read.
    pub fn record_read(&mut self, now: Micros, class: u16, key: &[u8], row: RowDigest) {
        let key_hash = SplitDefinition::hash(key);
        self.reads_seen += 1;
        let is_sampled = !self.is_covered(SplitDefinition::range(key_hash))
            || self.reads_seen.is_multiple_of(COVERED_RANGE_SAMPLING_INTERVAL);
        let is_in_progress = self.comparisons.values().any(|comparison| comparison.key_hash == key_hash);
        if is_in_progress || !is_sampled {
            return;
        }
        if self.comparisons.len() >= MAX_COMPARISONS && !fault_injected!(SkipsLimits) {
            self.counts.rejected += 1;
            return;
        }
        self.last_comparison += 1;
        self.counts.started += 1;
        let comparison = Comparison::new(now, class, key_hash, key, row);
        self.comparisons.insert(self.last_comparison, comparison);
    }

    /// Returns whether enough processes have made enough comparisons in a range.
    fn is_covered(&self, range: usize) -> bool {
        let coverage = self.coverage.of_range(range);
        coverage.comparisons >= self.settings.min_comparisons
            && coverage.processes >= self.settings.min_processes
    }

    /// Returns the queries that are due, at most `max`. Each of them counts as sent until its result is recorded or it
    /// is postponed.
    pub fn due_queries(&mut self, now: Micros, max: usize) -> Vec<DueQuery> {
        let definition = &self.settings.definition;
        let is_due = |comparison: &Comparison| !comparison.query_in_flight && comparison.query_at <= now;
        let due = self.comparisons.iter_mut().filter(|(_, comparison)| is_due(comparison)).take(max);
        due.map(|(number, comparison)| {
            comparison.query_in_flight = true;
            let query = comparison.query();
            let children = definition.children(comparison.key_hash);
            let group = match query {
                ComparisonQuery::SampleParent => definition.parent,
                ComparisonQuery::SingleRead(child) | ComparisonQuery::Sample(child) => children.group(child),
            };
            DueQuery { comparison: *number, query, key_bytes: comparison.key_bytes.clone(), group }
        })
        .collect()
    }

    /// Records that the query of a comparison could not be sent. It becomes due again after a short delay.
    pub fn postpone(&mut self, now: Micros, comparison: u64) {
        if let Some(comparison) = self.comparisons.get_mut(&comparison) {
            comparison.query_in_flight = false;
            comparison.query_at = now + POSTPONE_DELAY_MICROS;
        }
    }

    /// Records the result of a comparison's query. Returns the difference if this result confirmed one. An unknown
    /// number is ignored.
    pub fn record_result(
        &mut self,
        now: Micros,
        number: u64,
        result: QueryResult,
    ) -> Option<ConfirmedDifference> {
        let comparison = self.comparisons.get_mut(&number)?;
        let end = comparison.record_result(now, result, self.settings.confirmation_delay);
        let is_timed_out = now - comparison.started_at > MAX_COMPARISON_MICROS;
        let end = end.or(is_timed_out.then_some(ComparisonEnd::Unanswered))?;
        let comparison = self.comparisons.remove(&number)?;
        self.finish(now, &comparison, end)
    }

    /// Counts a comparison that ended. Returns the difference if the comparison confirmed one.
    fn finish(
        &mut self,
        now: Micros,
        comparison: &Comparison,
        end: ComparisonEnd,
    ) -> Option<ConfirmedDifference> {
        let range = SplitDefinition::range(comparison.key_hash);
        match end {
            ComparisonEnd::Agrees => {
                self.counts.agreed += 1;
                self.window.add(now, range);
            }
            ComparisonEnd::Lagging => self.counts.lagging += 1,
            ComparisonEnd::Inconclusive => self.counts.inconclusive += 1,
            ComparisonEnd::Unanswered => self.counts.unanswered += 1,
            ComparisonEnd::Confirmed(difference) => {
                self.counts.confirmed += 1;
                self.window.add(now, range);
                return Some(self.store_difference(now, comparison, range, difference));
            }
        }
        None
    }

    /// Stores a confirmed difference and removes an older one with the same key and kind.
    fn store_difference(
        &mut self,
        now: Micros,
        comparison: &Comparison,
        range: usize,
        difference: Difference,
    ) -> ConfirmedDifference {
        let children = self.settings.definition.children(comparison.key_hash);
        let confirmed = ConfirmedDifference {
            kind: difference.kind(),
            class: comparison.class,
            child_group: children.group(difference.child),
            key_hash: comparison.key_hash,
            parent: difference.parent,
            child: difference.sample,
            confirmed_at: now,
        };
        let stored = self.differences.entry(range).or_default();
        stored.retain(|other| (other.key_hash, other.kind) != (confirmed.key_hash, confirmed.kind));
        stored.push_back(confirmed.clone());
        if stored.len() > MAX_DIFFERENCES_PER_RANGE && !fault_injected!(SkipsLimits) {
            stored.pop_front();
        }
        confirmed
    }

    /// Returns the earliest instant at which a query or a report may be due.
    pub fn next_change(&self, now: Micros) -> Micros {
        let waiting = self.comparisons.values().filter(|comparison| !comparison.query_in_flight);
        let queries = waiting.map(|comparison| comparison.query_at.max(now));
        queries.chain([self.coverage.reports.next_due_at()]).min().unwrap_or(Micros::MAX)
    }

    /// Returns the stored differences that this process confirmed, ordered by range.
    pub fn differences(&self) -> impl Iterator<Item = &ConfirmedDifference> {
        self.differences.values().flatten()
    }

    /// Returns how this process's comparisons ended.
    pub fn counts(&self) -> ComparisonCounts {
        self.counts
    }

    /// Returns the number of comparisons in progress.
    pub fn comparison_count(&self) -> usize {
        self.comparisons.len()
    }
}
