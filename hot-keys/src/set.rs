//! The set of hot keys as a function of the reports and nothing else: processes that received equal reports derive equal sets.

use crate::report::Report;
use crate::{Key, Micros, Settings};
use birchreach_fault_injection::fault_injected;
use birchreach_peer_reports::PeerReports;
use std::collections::BTreeMap;

/// Keys that are hot at once.
pub(crate) const MAX_HOT_KEYS: usize = 32;
/// From so many configured processes on no single report makes a key hot.
const MIN_PROCESSES_FOR_BOUND: u32 = 3;

/// The rate of a hot key by all reports, and its copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Hotness {
    /// Reads a second over all origins that report it, without the bound on each origin.
    pub(crate) reads_per_s: f64,
    /// How many copies it should have.
    pub(crate) wanted_copies: usize,
}

/// What the set is derived from.
pub(crate) struct Derivation<'a> {
    /// The newest report of each process; that of the process that derives the set counts as all others do.
    pub(crate) reports: &'a PeerReports<Report>,
    /// The settings in force.
    pub(crate) settings: &'a Settings,
    /// The time that the ages of reports are counted to.
    pub(crate) now: Micros,
    /// How many replicas each group has.
    pub(crate) replicas: &'a BTreeMap<u32, usize>,
}

/// What all reports add up to for one key.
#[derive(Default)]
struct KeyTotals {
    /// What is compared with the threshold: each origin counts up to a bound.
    counted_per_s: f64,
    /// The same without the bound.
    reported_per_s: f64,
    /// Origins that report the key.
    reporters: usize,
    /// Reporters that have the key in their hot set.
    hot_reporters: usize,
}

impl KeyTotals {
    /// A key is hot above the threshold; above half of it, if half of its reporters have it in their sets.
    fn is_hot(&self, threshold: f64) -> bool {
        let is_kept = 2 * self.hot_reporters >= self.reporters && self.hot_reporters > 0;
        self.counted_per_s > threshold || (self.counted_per_s > threshold / 2.0 && is_kept)
    }
}

impl Derivation<'_> {
    /// The hot keys: those whose rates reach the thresholds, at most [`MAX_HOT_KEYS`], the highest rates first.
    pub(crate) fn hot_set(&self) -> BTreeMap<Key, Hotness> {
        let mut thresholds: BTreeMap<u32, f64> = BTreeMap::new();
        let totals = self.totals(&mut thresholds);
        let threshold = |key: &Key| thresholds.get(&key.group).copied().unwrap_or(f64::INFINITY);
        let mut hot: Vec<(Key, Hotness)> = totals
            .into_iter()
            .filter(|(key, totals)| totals.is_hot(threshold(key)))
            .map(|(key, totals)| (key, self.hotness(key, totals.reported_per_s)))
            .collect();
        hot.sort_by(|a, b| b.1.reads_per_s.total_cmp(&a.1.reads_per_s).then(a.0.cmp(&b.0)));
        hot.truncate(MAX_HOT_KEYS);
        hot.into_iter().collect()
    }

    /// Adds up all reports. `thresholds` gets the threshold of each group that they name.
    fn totals(&self, thresholds: &mut BTreeMap<u32, f64>) -> BTreeMap<Key, KeyTotals> {
        let mut totals = BTreeMap::new();
        for received in self.reports.newest() {
            let report_weight = weight(self.now - received.created_at, self.reports.lifetime());
            self.add_report(received.origin, report_weight, &received.report, thresholds, &mut totals);
        }
        totals
    }

    /// Adds one report to the totals of its keys.
    fn add_report(
        &self,
        origin: u64,
        report_weight: f64,
        report: &Report,
        thresholds: &mut BTreeMap<u32, f64>,
        totals: &mut BTreeMap<Key, KeyTotals>,
    ) {
        for entry in &report.entries {
            let group = entry.key.group;
            let threshold =
                *thresholds.entry(group).or_insert_with(|| self.settings.hot_threshold(self.replicas(group)));
            let rate = f64::from(entry.reads_per_1000_s) / 1_000.0;
            let key_totals: &mut KeyTotals = totals.entry(entry.key).or_default();
            key_totals.counted_per_s += report_weight * rate.min(self.max_counted_per_origin(threshold));
            key_totals.reported_per_s += report_weight * rate;
            let counts = !fault_injected!(TrustsOnlyItself) || origin == self.reports.own_origin();
            key_totals.reporters += usize::from(counts);
            key_totals.hot_reporters += usize::from(counts && entry.is_hot);
        }
    }

    /// The rate of a hot key, and the copies that it should have.
    fn hotness(&self, key: Key, reads_per_s: f64) -> Hotness {
        let wanted_copies = self.settings.cost(reads_per_s, self.replicas(key.group)).copies;
        Hotness { reads_per_s, wanted_copies }
    }

    /// The rate up to which one origin's report counts: half of the threshold where three or more processes are configured, so that no
    /// process makes a key hot alone.
    fn max_counted_per_origin(&self, threshold: f64) -> f64 {
        let is_unbounded = self.settings.configured_members < MIN_PROCESSES_FOR_BOUND;
        if is_unbounded || fault_injected!(CountsOriginsUnbounded) { f64::INFINITY } else { threshold / 2.0 }
    }

    /// How many replicas a group has; one if the endpoint list does not name it.
    fn replicas(&self, group: u32) -> usize {
        self.replicas.get(&group).copied().unwrap_or(1)
    }
}

/// How much a report of this age counts: fully for the first half of its lifetime, in which the next one arrives, then less and less.
fn weight(age: Micros, lifetime: Micros) -> f64 {
    let remaining = (lifetime - age) as f64 / lifetime.max(1) as f64;
    (remaining * 2.0).clamp(0.0, 1.0)
}
