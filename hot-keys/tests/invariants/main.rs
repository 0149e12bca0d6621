//! Invariants of read rates, hot sets and copy holders. A further test injects faults, each of which breaks one
//! invariant, and verifies that the check of this invariant fails.

#[path = "../common/mod.rs"]
mod common;
mod copies;

use birchreach_fault_injection::ensure;
use birchreach_hot_keys::faults::{Fault, run_with_fault};
use birchreach_hot_keys::{HotKeyTracker, Key, KeyRate, Micros, ReadSketch, ReportEntry};
use common::{Fleet, SECOND, key, tracker_with_reports};
use copies::{check_copy_holders, check_refresh_slots};
use std::collections::{BTreeMap, BTreeSet};

type CheckResult = Result<(), String>;

/// Checks that no reported rate is above the true one, with a few frequent keys among many infrequent ones.
fn check_reported_rates() -> CheckResult {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut sketch, mut counts) = (ReadSketch::new(0), BTreeMap::<Key, Vec<Micros>>::new());

    for now in (0..20 * SECOND).step_by(1_000) {
        let number = if rng.u8(..3) == 0 { rng.u64(..40) } else { rng.u64(..2_000) };
        sketch.record_read(now, key(0, number), b"");
        counts.entry(key(0, number)).or_default().push(now);
    }

    for KeyRate { key, reads_per_s } in sketch.top_keys(20 * SECOND, 1_000) {
        // The true rate is the same decaying mean over all reads.
        let decayed = |read_at: &Micros| (-((20 * SECOND - read_at) as f64) / 5e6).exp();
        let true_rate: f64 = counts[&key].iter().map(decayed).sum::<f64>() / 5.0 / (1.0 - (-4.0f64).exp());
        ensure!(reads_per_s <= true_rate * 1.06 + 0.01, "{key:?}: reported {reads_per_s}, true {true_rate}");
    }
    Ok(())
}

/// Checks that a key that is read twice per second keeps its counter while thousands of keys are read once each, and
/// that none of these gets a rate of 1 or more.
fn check_keys_read_once() -> CheckResult {
    let mut sketch = ReadSketch::new(0);

    for now in (0..30 * SECOND).step_by(500) {
        if now % 500_000 == 0 {
            sketch.record_read(now, key(0, 7), b"steady");
        }
        sketch.record_read(now, key(0, 1_000 + now as u64), b"once");
    }

    let top = sketch.top_keys(30 * SECOND, 1_000);
    let steady_rate = top.iter().find(|top| top.key == key(0, 7)).map_or(0.0, |top| top.reads_per_s);
    let others = top.iter().filter(|top| top.key != key(0, 7));
    let highest_of_others = others.map(|top| top.reads_per_s).fold(0.0, f64::max);

    ensure!(
        (1.0..2.5).contains(&steady_rate),
        "a key with 2 reads per second is reported with {steady_rate}"
    );
    ensure!(
        highest_of_others < 1.0,
        "a key that is read once is reported with a rate of {highest_of_others}"
    );
    Ok(())
}

fn keys_of(tracker: &HotKeyTracker) -> BTreeSet<Key> {
    tracker.hot_keys().map(|hot_key| hot_key.key).collect()
}

/// Checks that processes that receive equal reports in different orders derive equal sets with equal holders.
fn check_equal_sets() -> CheckResult {
    let mut rng = fastrand::Rng::with_seed(2);
    for round in 0..200 {
        let entry = |rng: &mut fastrand::Rng, number| ReportEntry {
            key: key(number as u32 % 3, number),
            reads_per_1000_s: rng.u32(0..90_000),
            is_hot: rng.bool(),
        };
        let mut reports: Vec<(u64, Vec<ReportEntry>)> = Vec::new();
        for origin in 1..=6 {
            let keys: Vec<u64> = (0..8).filter(|_| rng.bool()).collect();
            reports.push((origin, keys.into_iter().map(|number| entry(&mut rng, number)).collect()));
        }

        // Two processes receive the reports in different orders.
        let first = tracker_with_reports(11, 6, &reports, false);
        let second = tracker_with_reports(12, 6, &reports, true);

        ensure!(
            keys_of(&first) == keys_of(&second) && first.digest() == second.digest(),
            "round {round}: the hot sets differ: {:?}, {:?}",
            keys_of(&first),
            keys_of(&second)
        );
        let holders = |tracker: &HotKeyTracker| {
            tracker.hot_keys().map(|hot_key| (hot_key.key, hot_key.copy_holders.clone())).collect::<Vec<_>>()
        };
        ensure!(holders(&first) == holders(&second), "round {round}: the copy holders differ");
    }
    check_equal_sets_between_thresholds()
}

/// Checks that between the two thresholds the reports of all processes decide, even at a process whose own report
/// differs.
fn check_equal_sets_between_thresholds() -> CheckResult {
    let entry = |is_hot| ReportEntry { key: key(0, 1), reads_per_1000_s: 26_000, is_hot };
    let reports: Vec<(u64, Vec<ReportEntry>)> =
        (1..=3).map(|origin| (origin, vec![entry(origin != 3)])).collect();

    let agreeing = tracker_with_reports(1, 6, &reports, false);
    let disagreeing = tracker_with_reports(3, 6, &reports, false);
    let (keys, other_keys) = (keys_of(&agreeing), keys_of(&disagreeing));

    ensure!(keys.len() == 1 && keys == other_keys, "the hot sets differ: {keys:?}, {other_keys:?}");
    Ok(())
}

/// Checks the effect of false reports with the highest valid rates: a single origin makes no key hot, and many origins
/// do not make more keys hot than the limit.
fn check_false_reports() -> CheckResult {
    let highest_rates = |origin: u64| {
        let entry = |number| ReportEntry {
            key: key(0, origin * 16 + number),
            reads_per_1000_s: 1_000_000_000,
            is_hot: true,
        };
        (0..16).map(entry).collect()
    };

    // A single origin makes no key hot.
    let from_one = tracker_with_reports(9, 5, &[(1, highest_rates(1))], false);
    ensure!(keys_of(&from_one).is_empty(), "one origin makes {} keys hot", keys_of(&from_one).len());

    // Each of forty pairs of origins reports 16 keys, of which at most 32 become hot.
    let pairs: Vec<(u64, Vec<ReportEntry>)> = (0..40)
        .flat_map(|pair| [(100 + 2 * pair, highest_rates(pair)), (101 + 2 * pair, highest_rates(pair))])
        .collect();
    let hot = keys_of(&tracker_with_reports(9, 80, &pairs, false)).len();
    ensure!(hot <= 32, "{hot} keys are hot");
    Ok(())
}

/// Checks that a key stays in the set for the minimum time, even if the reads move to another key every second.
fn check_flapping() -> CheckResult {
    // When the reads move to another key every second, then the sets change rarely.
    let mut fleet = Fleet::new(5, 3);
    let steady = key(0, 1);
    for _ in 0..10 {
        for number in 0..6 {
            fleet.reads_per_s = vec![(key(0, number), 400.0), (steady, 30.0)];
            fleet.advance(SECOND);
        }
    }

    let max_changes = fleet.trackers.iter().map(|tracker| tracker.change_count()).max().unwrap_or(0);
    // Each of the six keys enters and leaves the set at most once in its minimum time of ten seconds.
    ensure!(max_changes <= 6 * 2 * 6, "{max_changes} changes in 60 s");

    // When a hot key is no longer read, then it stays hot for the minimum time.
    let mut fleet = Fleet::new(5, 4);
    fleet.reads_per_s = vec![(steady, 400.0)];
    fleet.advance_until(steady, true, 20 * SECOND).ok_or("the key did not become hot")?;
    fleet.reads_per_s.clear();
    let removed_after =
        fleet.advance_until(steady, false, 60 * SECOND).ok_or("the key is still hot after 60 s")?;
    ensure!(removed_after >= 8.0, "the key stayed hot for only {removed_after} s");
    Ok(())
}

#[test]
fn a_reported_rate_is_never_above_the_true_one() {
    check_reported_rates().unwrap();
}

#[test]
fn keys_read_once_displace_no_counter() {
    check_keys_read_once().unwrap();
}

#[test]
fn equal_reports_give_equal_sets() {
    check_equal_sets().unwrap();
}

#[test]
fn false_reports_are_bounded() {
    check_false_reports().unwrap();
}

#[test]
fn sets_do_not_flap() {
    check_flapping().unwrap();
}

#[test]
fn copies_are_held_by_other_groups() {
    check_copy_holders().unwrap();
}

#[test]
fn each_refresh_slot_has_one_owner() {
    check_refresh_slots().unwrap();
}

#[test]
fn each_injected_fault_fails_its_check() {
    let all: [(Fault, fn() -> CheckResult); 7] = [
        (Fault::IncludesCounterError, check_reported_rates),
        (Fault::SkipsDoorkeeper, check_keys_read_once),
        (Fault::CountsOnlyOwnReport, check_equal_sets),
        (Fault::CountsOriginsUnbounded, check_false_reports),
        (Fault::SkipsMinimumHotTime, check_flapping),
        (Fault::PlacesCopiesAnywhere, check_copy_holders),
        (Fault::ClaimsEverySlot, check_refresh_slots),
    ];
    for (fault, check) in all {
        assert!(run_with_fault(fault, check).is_err(), "the check passes with {fault:?} injected");
    }
}
