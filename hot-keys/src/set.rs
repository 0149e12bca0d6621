//! The set of hot keys, as a function of what was reported and nothing else: whoever has heard the same holds the same.

use crate::reports::{Reports, weight};
use crate::{Key, Micros, Settings};
use birchreach_fault_injection::fault_injected;
use std::collections::BTreeMap;

/// Keys that are hot at once, at the most.
pub const MAX_HOT_KEYS: usize = 32;

/// What is known of a hot key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hotness {
    /// Reads a second over all that report it, whatever each one's word counts for.
    pub reads_per_s: f64,
    /// How many guests it should have.
    pub wanted_copies: usize,
}

#[derive(Default)]
struct KeyTotals {
    /// What counts for the threshold, and what was told.
    counted_per_s: f64,
    reported_per_s: f64,
    reporters: usize,
    hot_reporters: usize,
}

/// What one origin's word counts for at the most: half of the threshold where three or more are named, so that nobody makes a key
/// hot alone.
fn max_counted_per_origin(settings: &Settings, threshold: f64) -> f64 {
    let whole = settings.configured_members < 3 || fault_injected!(CountsOriginsUnbounded);
    if whole { f64::INFINITY } else { threshold / 2.0 }
}

/// `replicas`: how many the group of a key has. `own`: the origin that derives; its word counts as all others' do.
pub fn derive_hot_set(
    settings: &Settings,
    reports: &Reports,
    now: Micros,
    life: Micros,
    own: u64,
    replicas: impl Fn(u32) -> usize,
) -> BTreeMap<Key, Hotness> {
    let mut sums: BTreeMap<Key, KeyTotals> = BTreeMap::new();
    let mut thresholds: BTreeMap<u32, f64> = BTreeMap::new();
    for (origin, told) in reports.newest() {
        let counts = weight(now - told.made_at, life);
        for entry in &told.report.entries {
            let group = entry.key.group;
            let threshold =
                *thresholds.entry(group).or_insert_with(|| settings.hot_threshold(replicas(group)));
            let sum = sums.entry(entry.key).or_default();
            let rate = f64::from(entry.reads_per_1000_s) / 1_000.0;
            sum.counted_per_s += counts * rate.min(max_counted_per_origin(settings, threshold));
            sum.reported_per_s += counts * rate;
            let heard = !fault_injected!(TrustsOnlyItself) || origin == own;
            sum.reporters += usize::from(heard);
            sum.hot_reporters += usize::from(heard && entry.is_hot);
        }
    }
    let mut hot: Vec<(Key, Hotness)> = sums
        .into_iter()
        .filter(|(key, sum)| {
            let threshold = thresholds.get(&key.group).copied().unwrap_or(f64::INFINITY);
            let held = 2 * sum.hot_reporters >= sum.reporters && sum.hot_reporters > 0;
            sum.counted_per_s > threshold || (sum.counted_per_s > threshold / 2.0 && held)
        })
        .map(|(key, sum)| {
            let guests = settings.cost(sum.reported_per_s, replicas(key.group)).copies;
            (key, Hotness { reads_per_s: sum.reported_per_s, wanted_copies: guests })
        })
        .collect();
    hot.sort_by(|a, b| b.1.reads_per_s.total_cmp(&a.1.reads_per_s).then(a.0.cmp(&b.0)));
    hot.truncate(MAX_HOT_KEYS);
    hot.into_iter().collect()
}
