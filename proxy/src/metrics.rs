//! Metrics of background work and of the subsystems that it is done for. Metric names are defined only here.

mod labels;
#[cfg(test)]
mod tests;

use crate::hot::CopyReadCounts;
use birchreach_background_tasks::{TaskCounts, TaskKind};
use birchreach_hot_keys::HotKeyTracker;
use birchreach_shard_split::{ComparisonCounts, VerificationStatus};
use labels::CounterLabels;
pub(crate) use labels::{CopyOutcome, RejectedReport};
use prometheus_client::encoding::text::encode_registry;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Metric, Registry};
use std::sync::atomic::Ordering;

/// The metrics, whose names have the prefix `birchreach`.
pub(crate) struct BackgroundMetrics {
    registry: Registry,
    tasks: Family<CounterLabels, Counter>,
    rejected_reports: Family<CounterLabels, Counter>,
    copies: Family<CounterLabels, Counter>,
    hot_keys: Gauge,
    hot_key_changes: Counter,
    copy_reads: Family<CounterLabels, Counter>,
    differing_members: Gauge,
    comparisons: Family<CounterLabels, Counter>,
    ranges_lacking: Gauge,
    split_clean: Gauge,
}

impl BackgroundMetrics {
    /// Registers all metrics with the value zero.
    pub(crate) fn new() -> BackgroundMetrics {
        let mut registry = Registry::with_prefix("birchreach");
        let target = &mut registry;
        BackgroundMetrics {
            tasks: register(
                target,
                "background_tasks",
                "Tasks of the scheduler, by kind and what became of them",
            ),
            rejected_reports: register(
                target,
                "reports_refused",
                "Reports of members that were not taken, by subsystem and reason",
            ),
            copies: register(target, "hot_copies", "Copies, by what became of them"),
            hot_keys: register(target, "hot_keys", "Keys that are hot now"),
            hot_key_changes: register(target, "hot_changes", "Times that a key became hot, or was no more"),
            copy_reads: register(
                target,
                "hot_reads",
                "Reads that were sent to guests, by whether they had a copy",
            ),
            comparisons: register(
                target,
                "split_comparisons",
                "Reads that were compared, by what came of it",
            ),
            ranges_lacking: register(
                target,
                "split_ranges_lacking",
                "Ranges with too few comparisons, by this process's knowledge",
            ),
            split_clean: register(target, "split_clean", "1: clean, 0: not yet, -1: dirty"),
            differing_members: register(
                target,
                "hot_members_differ",
                "Members whose newest report has another set",
            ),
            registry,
        }
    }

    /// Counts a report of another member that was rejected.
    pub(crate) fn count_rejected_report(&self, report: RejectedReport) {
        let labels = CounterLabels { kind: report.subsystem(), end: report.reason() };
        self.rejected_reports.get_or_create(&labels).inc();
    }

    /// Counts the outcome of writing a copy to one holder. A row that cannot be copied is counted once, not
    /// once for each holder.
    pub(crate) fn count_copy(&self, outcome: CopyOutcome) {
        self.copies.get_or_create(&CounterLabels { kind: "copy", end: outcome.as_str() }).inc();
    }

    /// Sets the counters of the scheduler's tasks of one kind.
    pub(crate) fn set_task_counts(&self, kind: TaskKind, counts: TaskCounts) {
        let tasks = CountersOfKind { family: &self.tasks, kind: kind.as_str() };
        tasks.set("started", counts.started);
        tasks.set("ended", counts.finished);
        tasks.set("late", counts.expired);
        tasks.set("crowded", counts.rejected);
    }

    /// Sets the metrics of hot keys from the present state of the tracker and from the counts of copy reads.
    pub(crate) fn set_hot_keys(&self, tracker: &HotKeyTracker, copy_reads: CopyReadCounts) {
        let agreement = tracker.agreement();
        set_gauge(&self.hot_keys, tracker.hot_keys().count());
        set_gauge(&self.differing_members, agreement.reporting - agreement.agreeing);
        set_counter(&self.hot_key_changes, tracker.change_count());
        let reads = CountersOfKind { family: &self.copy_reads, kind: "guest" };
        reads.set("served", copy_reads.hits);
        reads.set("missed", copy_reads.misses);
    }

    /// Sets the metrics of a split.
    pub(crate) fn set_split(&self, status: &VerificationStatus, counts: ComparisonCounts) {
        let (clean, lacking) = match status {
            VerificationStatus::Clean => (1, 0),
            VerificationStatus::DifferencesConfirmed(_) => (-1, 0),
            VerificationStatus::Incomplete(reason) => (0, reason.ranges_lacking_comparisons),
        };
        self.split_clean.set(clean);
        set_gauge(&self.ranges_lacking, lacking);
        let comparisons = CountersOfKind { family: &self.comparisons, kind: "read" };
        comparisons.set("begun", counts.started);
        comparisons.set("agreed", counts.agreed);
        comparisons.set("late", counts.lagging);
        comparisons.set("unsure", counts.inconclusive);
        comparisons.set("silent", counts.unanswered);
        comparisons.set("flagged", counts.confirmed);
        comparisons.set("crowded", counts.rejected);
    }

    /// Returns all metrics in the text format, without the `# EOF` line at the end.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode_registry(&mut text, &self.registry);
        text
    }
}

/// The counters of a family that have the same kind.
struct CountersOfKind<'a> {
    family: &'a Family<CounterLabels, Counter>,
    kind: &'static str,
}

impl CountersOfKind<'_> {
    /// Sets the counter with this outcome to a count that is kept elsewhere.
    fn set(&self, outcome: &'static str, count: u64) {
        set_counter(&self.family.get_or_create(&CounterLabels { kind: self.kind, end: outcome }), count);
    }
}

/// Creates a metric and adds it to the registry.
fn register<M: Metric + Clone + Default>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

/// Sets a gauge. A value that is too large for the gauge is replaced by the gauge's maximum.
fn set_gauge(gauge: &Gauge, value: usize) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

/// Sets a counter to a count that is kept elsewhere.
fn set_counter(counter: &Counter, value: u64) {
    counter.inner().store(value, Ordering::Relaxed);
}
