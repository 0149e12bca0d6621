//! How long until all hold one set, and how far the sums are from the truth: a table of figures on virtual time.
//!
//!     cargo run --release -p birchreach-hot-keys --example hot_key_agreement -- 5 40 300

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Fleet, SECOND, key, settings};
use std::time::Instant;

fn seconds(took: Option<f64>) -> String {
    took.map_or("not in 120".into(), |t| format!("{t:.1}"))
}

fn row(count: usize, seed: u64) {
    let clock = Instant::now();
    let mut fleet = Fleet::new(count, seed);
    let (k, lukewarm) = (key(2, 1), key(2, 2));
    let threshold = settings(count).hot_threshold(2);
    let crowd = |fleet: &mut Fleet, hot: f64| {
        fleet.reads_per_s =
            (0..100).map(|n| (key(2, 100 + n), 4.0)).chain([(k, hot), (lukewarm, 0.4 * threshold)]).collect();
    };
    crowd(&mut fleet, 0.0);
    fleet.pass(20 * SECOND);
    crowd(&mut fleet, 3.0 * threshold);
    let found = fleet.pass_until(k, true, 120 * SECOND);
    fleet.pass(10 * SECOND);
    // What each sums up of the key, over a minute.
    let (mut errors, mut differ, mut looks, mut wrong) = (Vec::new(), 0usize, 0usize, 0usize);
    let sent_before = fleet.sent_bytes;
    let from = fleet.now;
    for _ in 0..120 {
        fleet.pass(SECOND / 2);
        for hot in &fleet.trackers {
            let rate = hot.hot_keys().find(|(other, _)| *other == k).map_or(0.0, |(_, h)| h.reads_per_s);
            errors.push(rate / (3.0 * threshold));
            differ += usize::from(hot.digest() != fleet.trackers[0].digest());
            wrong += hot.hot_keys().filter(|(other, _)| *other != k).count();
            looks += 1;
        }
    }
    let span = (fleet.now - from) as f64 / 1e6;
    let bytes = (fleet.sent_bytes - sent_before) as f64 / count as f64 / span;
    errors.sort_by(f64::total_cmp);
    let at = |share: f64| errors[((errors.len() - 1) as f64 * share) as usize];
    let changes = fleet.trackers.iter().map(|h| h.change_count()).max().unwrap_or(0);
    crowd(&mut fleet, 0.0);
    let gone = fleet.pass_until(k, false, 120 * SECOND);
    println!(
        "| {count} | {seed} | {} | {} | {:.2} | {:.2}, {:.2} | {:.1}% | {wrong} | {changes} | {bytes:.0} | {:.0} |",
        seconds(found),
        seconds(gone),
        at(0.5),
        at(0.05),
        at(0.95),
        differ as f64 / looks as f64 * 100.0,
        clock.elapsed().as_secs_f64()
    );
}

fn main() {
    let told: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    println!(
        "| processes | seed | found by all, s | given up by all, s | sum over truth, median | 5th, 95th percentile | looks at which a process had another set | other keys hot | changes of a set | bytes/s each | computed in s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for count in if told.is_empty() { vec![5, 40, 300] } else { told } {
        for seed in [1, 2] {
            row(count, seed);
        }
    }
}
