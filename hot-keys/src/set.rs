//! Derivation of the set of hot keys. The result depends only on the reports, the settings and the numbers of replicas,
//! so that processes that received equal reports derive equal sets.

use crate::report::Report;
use crate::{Key, Micros, Settings};
use birchreach_fault_injection::fault_injected;
use birchreach_peer_reports::PeerReports;
use std::collections::BTreeMap;

/// The maximum number of keys that are hot at the same time.
pub(crate) const MAX_HOT_KEYS: usize = 32;
/// If at least this many processes are configured, the rate that a single origin reports cannot make a key hot.
const MIN_PROCESSES_FOR_BOUND: u32 = 3;

/// The total rate of a hot key, and the number of copies that it needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HotKeyDemand {
    /// Reads per second over all origins that report the key, without the bound on each origin.
    pub(crate) reads_per_s: f64,
    pub(crate) wanted_copies: usize,
}

/// The inputs from which the hot set is derived.
pub(crate) struct HotSetDerivation<'a> {
    /// The newest report of each process. The own report of the deriving process counts like all others.
    pub(crate) reports: &'a PeerReports<Report>,
    pub(crate) settings: &'a Settings,
    /// The instant at which the ages of reports are determined.
    pub(crate) now: Micros,
    /// The number of replicas of each group.
    pub(crate) replicas: &'a BTreeMap<u32, usize>,
}

/// The totals of one key over all reports.
#[derive(Default)]
struct KeyTotals {
    /// The rate that is compared with the threshold. The rate of each origin counts up to a bound.
    counted_per_s: f64,
    /// The total rate without the bound on each origin.
    reported_per_s: f64,
    /// The number of origins that report the key.
    reporters: usize,
    /// The number of reporters that have the key in their hot set.
    hot_reporters: usize,
}

impl KeyTotals {
    /// Returns whether the key is hot: its rate exceeds the threshold, or it exceeds half of the threshold and at least
    /// half of the key's reporters have the key in their hot set.
    fn is_hot(&self, threshold: f64) -> bool {
        let is_kept = 2 * self.hot_reporters >= self.reporters && self.hot_reporters > 0;
        self.counted_per_s > threshold || (self.counted_per_s > threshold / 2.0 && is_kept)
    }
}

impl HotSetDerivation<'_> {
    /// Returns the keys whose rates exceed the thresholds, at most [`MAX_HOT_KEYS`]. If there are more, the keys with
    /// the highest rates are selected.
    pub(crate) fn hot_set(&self) -> BTreeMap<Key, HotKeyDemand> {
        let mut thresholds: BTreeMap<u32, f64> = BTreeMap::new();
        let totals = self.totals(&mut thresholds);
        let threshold = |key: &Key| thresholds.get(&key.group).copied().unwrap_or(f64::INFINITY);
        let mut hot: Vec<(Key, HotKeyDemand)> = totals
            .into_iter()
            .filter(|(key, totals)| totals.is_hot(threshold(key)))
            .map(|(key, totals)| (key, self.demand(key, totals.reported_per_s)))
            .collect();
        hot.sort_by(|a, b| b.1.reads_per_s.total_cmp(&a.1.reads_per_s).then(a.0.cmp(&b.0)));
        hot.truncate(MAX_HOT_KEYS);
        hot.into_iter().collect()
    }

    /// Adds up all reports. The threshold of each group in the reports is inserted into `thresholds`.
    fn totals(&self, thresholds: &mut BTreeMap<u32, f64>) -> BTreeMap<Key, KeyTotals> {
        let mut totals = BTreeMap::new();
        for received in self.reports.newest() {
            let report_weight = age_weight(self.now - received.created_at, self.reports.lifetime());
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
            let counts = !fault_injected!(CountsOnlyOwnReport) || origin == self.reports.own_origin();
            key_totals.reporters += usize::from(counts);
            key_totals.hot_reporters += usize::from(counts && entry.is_hot);
        }
    }

    fn demand(&self, key: Key, reads_per_s: f64) -> HotKeyDemand {
        let wanted_copies = self.settings.cost(reads_per_s, self.replicas(key.group)).copies;
        HotKeyDemand { reads_per_s, wanted_copies }
    }

    /// Returns the rate up to which the report of one origin counts. If three or more processes are configured, this is
    /// half of the threshold, so that no process can make a key hot alone.
    fn max_counted_per_origin(&self, threshold: f64) -> f64 {
        let is_unbounded = self.settings.configured_members < MIN_PROCESSES_FOR_BOUND;
        if is_unbounded || fault_injected!(CountsOriginsUnbounded) { f64::INFINITY } else { threshold / 2.0 }
    }

    /// Returns the number of replicas of a group, or 1 if the group is not in the endpoint list.
    fn replicas(&self, group: u32) -> usize {
        self.replicas.get(&group).copied().unwrap_or(1)
    }
}

/// Returns the weight of a report by its age: 1 during the first half of its lifetime, in which the next report
/// normally arrives, then a linear decrease to 0.
fn age_weight(age: Micros, lifetime: Micros) -> f64 {
    let remaining = (lifetime - age) as f64 / lifetime.max(1) as f64;
    (remaining * 2.0).clamp(0.0, 1.0)
}
