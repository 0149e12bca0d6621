//! Figures of work that no client waits for, and of what it is done for: each is named once, here.

use crate::hot::CopyReadCounts;
use birchreach_background_tasks::Counts;
use birchreach_hot_keys::HotKeyTracker;
use birchreach_shard_split::{self as split, Verdict};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode_registry;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::Ordering;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Of {
    pub kind: &'static str,
    pub end: &'static str,
}

pub struct Metrics {
    registry: Registry,
    scheduled: Family<Of, Counter>,
    refused: Family<Of, Counter>,
    copies: Family<Of, Counter>,
    keys: Gauge,
    changes: Counter,
    reads: Family<Of, Counter>,
    differ: Gauge,
    compared: Family<Of, Counter>,
    lacking: Gauge,
    clean: Gauge,
}

impl Metrics {
    pub fn new() -> Metrics {
        let mut m = Metrics {
            registry: Registry::with_prefix("birchreach"),
            scheduled: Family::default(),
            refused: Family::default(),
            copies: Family::default(),
            keys: Gauge::default(),
            changes: Counter::default(),
            reads: Family::default(),
            differ: Gauge::default(),
            compared: Family::default(),
            lacking: Gauge::default(),
            clean: Gauge::default(),
        };
        let r = &mut m.registry;
        r.register(
            "background_tasks",
            "Tasks of the scheduler, by kind and what became of them",
            m.scheduled.clone(),
        );
        r.register(
            "reports_refused",
            "Reports of members that were not taken, by subsystem and reason",
            m.refused.clone(),
        );
        r.register("hot_copies", "Copies, by what became of them", m.copies.clone());
        r.register("hot_keys", "Keys that are hot now", m.keys.clone());
        r.register("hot_changes", "Times that a key became hot, or was no more", m.changes.clone());
        r.register(
            "hot_reads",
            "Reads that were sent to guests, by whether they had a copy",
            m.reads.clone(),
        );
        r.register("split_comparisons", "Reads that were compared, by what came of it", m.compared.clone());
        r.register(
            "split_ranges_lacking",
            "Ranges with too few comparisons, by this process's knowledge",
            m.lacking.clone(),
        );
        r.register("split_clean", "1: clean, 0: not yet, -1: dirty", m.clean.clone());
        r.register("hot_members_differ", "Members whose newest report has another set", m.differ.clone());
        m
    }

    pub fn refuse(&self, kind: &'static str, end: &'static str) {
        self.refused.get_or_create(&Of { kind, end }).inc();
    }

    pub fn copy(&self, end: &'static str) {
        self.copies.get_or_create(&Of { kind: "copy", end }).inc();
    }

    pub fn scheduled(&self, kind: &'static str, counts: Counts) {
        let Counts { started, finished, expired, rejected } = counts;
        for (end, n) in [("started", started), ("ended", finished), ("late", expired), ("crowded", rejected)]
        {
            set(&self.scheduled.get_or_create(&Of { kind, end }), n);
        }
    }

    pub fn hot(&self, tracker: &HotKeyTracker, copy_reads: CopyReadCounts) {
        let agreement = tracker.agreement();
        let differing = agreement.reporting - agreement.agreeing;
        self.keys.set(i64::try_from(tracker.hot_keys().count()).unwrap_or(i64::MAX));
        self.differ.set(i64::try_from(differing).unwrap_or(i64::MAX));
        set(&self.changes, tracker.change_count());
        for (end, n) in [("served", copy_reads.hits), ("missed", copy_reads.misses)] {
            set(&self.reads.get_or_create(&Of { kind: "guest", end }), n);
        }
    }

    pub fn split(&self, verdict: &Verdict, c: split::Counts) {
        let (clean, lacking) = match verdict {
            Verdict::Clean => (1, 0),
            Verdict::Dirty(_) => (-1, 0),
            Verdict::Incomplete(lacks) => (0, lacks.ranges_below_comparisons),
        };
        self.clean.set(clean);
        self.lacking.set(i64::try_from(lacking).unwrap_or(i64::MAX));
        let ends =
            [("begun", c.started), ("agreed", c.agreed), ("late", c.lagging), ("unsure", c.inconclusive)];
        let more = [("silent", c.unanswered), ("flagged", c.confirmed), ("crowded", c.rejected)];
        for (end, n) in ends.into_iter().chain(more) {
            set(&self.compared.get_or_create(&Of { kind: "read", end }), n);
        }
    }

    /// All of it in the text form, without the line that ends it.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let _ = encode_registry(&mut text, &self.registry);
        text
    }
}

/// A count that is kept elsewhere.
fn set(counter: &Counter, to: u64) {
    counter.inner().store(to, Ordering::Relaxed);
}
