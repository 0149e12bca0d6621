//! Measures on virtual time how long it takes until all processes have the same set of hot keys, and how much the
//! summed rates differ from the true ones. Prints a table with one row per fleet. The arguments are sizes of fleets:
//!
//!     cargo run --release -p birchreach-hot-keys --example hot_key_agreement -- 5 40 300

#[path = "../tests/common/mod.rs"]
mod common;

use birchreach_hot_keys::Key;
use common::{Fleet, SECOND, key, settings};
use std::time::Instant;

/// The time limit for all processes to add or remove the hot key.
const MAX_SECONDS: i64 = 120;

/// Observations of a fleet in which one key is hot.
#[derive(Default)]
struct Observations {
    /// The ratio of the summed rate of the hot key to the true rate, for each sample.
    rate_ratios: Vec<f64>,
    /// The number of samples: one per process and instant.
    samples: usize,
    /// Samples in which the set of a process differed from that of the first process.
    differing_sets: usize,
    /// Occurrences of other keys in hot sets.
    wrongly_hot: usize,
    /// Bytes that each process sent per second.
    bytes_per_s: f64,
}

impl Observations {
    /// Takes two samples per second for one minute.
    fn collect(fleet: &mut Fleet, hot_key: Key, true_rate: f64) -> Observations {
        let mut observations = Observations::default();
        let (sent_before, started_at) = (fleet.sent_bytes, fleet.now);
        for _ in 0..120 {
            fleet.advance(SECOND / 2);
            observations.sample(fleet, hot_key, true_rate);
        }
        let seconds = (fleet.now - started_at) as f64 / 1e6;
        let sent = (fleet.sent_bytes - sent_before) as f64;
        observations.bytes_per_s = sent / fleet.trackers.len() as f64 / seconds;
        observations.rate_ratios.sort_by(f64::total_cmp);
        observations
    }

    fn sample(&mut self, fleet: &Fleet, hot_key: Key, true_rate: f64) {
        for tracker in &fleet.trackers {
            let found = tracker.hot_keys().find(|found| found.key == hot_key);
            self.rate_ratios.push(found.map_or(0.0, |found| found.reads_per_s) / true_rate);
            self.differing_sets += usize::from(tracker.digest() != fleet.trackers[0].digest());
            self.wrongly_hot += tracker.hot_keys().filter(|found| found.key != hot_key).count();
            self.samples += 1;
        }
    }

    fn rate_ratio_at(&self, percentile: f64) -> f64 {
        self.rate_ratios[((self.rate_ratios.len() - 1) as f64 * percentile) as usize]
    }
}

fn format_seconds(elapsed: Option<f64>) -> String {
    elapsed.map_or(format!("more than {MAX_SECONDS}"), |elapsed| format!("{elapsed:.1}"))
}

fn print_row(count: usize, seed: u64) {
    let clock = Instant::now();
    let mut fleet = Fleet::new(count, seed);
    let (hot_key, key_below_threshold) = (key(2, 1), key(2, 2));
    let threshold = settings(count).hot_threshold(2);
    let set_reads = |fleet: &mut Fleet, hot_rate: f64| {
        let others = (100..200).map(|number| (key(2, number), 4.0));
        let named_keys = [(hot_key, hot_rate), (key_below_threshold, 0.4 * threshold)];
        fleet.reads_per_s = others.chain(named_keys).collect();
    };
    set_reads(&mut fleet, 0.0);
    fleet.advance(20 * SECOND);
    set_reads(&mut fleet, 3.0 * threshold);
    let found = fleet.advance_until(hot_key, true, MAX_SECONDS * SECOND);
    fleet.advance(10 * SECOND);
    let observations = Observations::collect(&mut fleet, hot_key, 3.0 * threshold);
    let changes = fleet.trackers.iter().map(|tracker| tracker.change_count()).max().unwrap_or(0);
    set_reads(&mut fleet, 0.0);
    let removed = fleet.advance_until(hot_key, false, MAX_SECONDS * SECOND);
    println!(
        "| {count} | {seed} | {} | {} | {:.2} | {:.2}, {:.2} | {:.1}% | {} | {changes} | {:.0} | {:.0} |",
        format_seconds(found),
        format_seconds(removed),
        observations.rate_ratio_at(0.5),
        observations.rate_ratio_at(0.05),
        observations.rate_ratio_at(0.95),
        observations.differing_sets as f64 / observations.samples as f64 * 100.0,
        observations.wrongly_hot,
        observations.bytes_per_s,
        clock.elapsed().as_secs_f64()
    );
}

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    println!(
        "| processes | seed | found by all, s | removed by all, s | summed rate / true rate, median | 5th, 95th percentile | samples with a differing set | other keys hot | changes of a set | bytes/s per process | run time, s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for count in if counts.is_empty() { vec![5, 40, 300] } else { counts } {
        for seed in [1, 2] {
            print_row(count, seed);
        }
    }
}
