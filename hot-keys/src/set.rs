//! The set of hot keys, as a function of what was reported and nothing else: whoever has heard the same holds the same.

use crate::reports::{Reports, weight};
use crate::{Key, Micros, Settings};
use std::collections::BTreeMap;

/// Keys that are hot at once, at the most.
pub const MOST_HOT: usize = 32;

/// What is known of a hot key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hotness {
    /// Reads a second over all that report it, whatever each one's word counts for.
    pub rate: f64,
    /// How many guests it should have.
    pub guests: usize,
}

#[derive(Default)]
struct Sum {
    /// What counts for the threshold, and what was told.
    sure: f64,
    rate: f64,
    reporters: usize,
    hot: usize,
}

/// What one origin's word counts for at the most: half of the threshold where three or more are named, so that nobody makes a key
/// hot alone.
fn most_of_one(settings: &Settings, threshold: f64) -> f64 {
    let whole = settings.named < 3 || crate::faulty!(WordsCountWhole);
    if whole { f64::INFINITY } else { threshold / 2.0 }
}

/// `replicas`: how many the group of a key has. `own`: the origin that derives; its word counts as all others' do.
pub fn derive(
    settings: &Settings,
    reports: &Reports,
    now: Micros,
    life: Micros,
    own: u64,
    replicas: impl Fn(u32) -> usize,
) -> BTreeMap<Key, Hotness> {
    let mut sums: BTreeMap<Key, Sum> = BTreeMap::new();
    let mut thresholds: BTreeMap<u32, f64> = BTreeMap::new();
    for (origin, told) in reports.origins() {
        let counts = weight(now - told.made, life);
        for entry in &told.report.entries {
            let group = entry.key.group;
            let threshold = *thresholds.entry(group).or_insert_with(|| settings.threshold(replicas(group)));
            let sum = sums.entry(entry.key).or_default();
            let rate = f64::from(entry.milli) / 1_000.0;
            sum.sure += counts * rate.min(most_of_one(settings, threshold));
            sum.rate += counts * rate;
            let heard = !crate::faulty!(OwnWordDecides) || origin == own;
            sum.reporters += usize::from(heard);
            sum.hot += usize::from(heard && entry.hot);
        }
    }
    let mut hot: Vec<(Key, Hotness)> = sums
        .into_iter()
        .filter(|(key, sum)| {
            let threshold = thresholds.get(&key.group).copied().unwrap_or(f64::INFINITY);
            let held = 2 * sum.hot >= sum.reporters && sum.hot > 0;
            sum.sure > threshold || (sum.sure > threshold / 2.0 && held)
        })
        .map(|(key, sum)| {
            let guests = settings.cost(sum.rate, replicas(key.group)).guests;
            (key, Hotness { rate: sum.rate, guests })
        })
        .collect();
    hot.sort_by(|a, b| b.1.rate.total_cmp(&a.1.rate).then(a.0.cmp(&b.0)));
    hot.truncate(MOST_HOT);
    hot.into_iter().collect()
}
