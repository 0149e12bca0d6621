//! What must ensure of rates, sets and holders; and each check finds its fault.

mod common;
use birchreach_fault_injection::ensure;
use birchreach_hot_keys::faults::{Fault, with};
use birchreach_hot_keys::{Database, HotKeyTracker, Key, KeyRate, Micros, ReadSketch, ReportEntry};
use common::{Fleet, REPLICAS, SECOND, databases, key, tracker_with_reports};
use std::collections::{BTreeMap, BTreeSet};

type CheckResult = Result<(), String>;

/// Some keys that are read often among many that are not: no reported rate is above the true one.
fn check_reported_rates() -> CheckResult {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut sketch, mut counts) = (ReadSketch::new(0), BTreeMap::<Key, Vec<Micros>>::new());
    for now in (0..20 * SECOND).step_by(1_000) {
        let n = if rng.u8(..3) == 0 { rng.u64(..40) } else { rng.u64(..2_000) };
        sketch.record_read(now, key(0, n), b"");
        counts.entry(key(0, n)).or_default().push(now);
    }
    for KeyRate { key, reads_per_s } in sketch.top_keys(20 * SECOND, 1_000) {
        // The same mean over the same time, of all reads that there were.
        let fade = |at: &Micros| (-((20 * SECOND - at) as f64) / 5e6).exp();
        let truth: f64 = counts[&key].iter().map(fade).sum::<f64>() / 5.0 / (1.0 - (-4.0f64).exp());
        ensure!(reads_per_s <= truth * 1.06 + 0.01, "{key:?}: {reads_per_s} of {truth}");
    }
    Ok(())
}

/// A key that is read twice a second keeps its counter while thousands of keys are read once each; none of those is reported.
fn check_flood() -> CheckResult {
    let mut sketch = ReadSketch::new(0);
    for now in (0..30 * SECOND).step_by(500) {
        if now % 500_000 == 0 {
            sketch.record_read(now, key(0, 7), b"steady");
        }
        sketch.record_read(now, key(0, 1_000 + now as u64), b"made up");
    }
    let top = sketch.top_keys(30 * SECOND, 1_000);
    let steady_rate = top.iter().find(|top| top.key == key(0, 7)).map_or(0.0, |top| top.reads_per_s);
    let others = top.iter().filter(|top| top.key != key(0, 7));
    let highest_of_others = others.map(|top| top.reads_per_s).fold(0.0, f64::max);
    ensure!((1.0..2.5).contains(&steady_rate), "of 2 a second: {steady_rate}");
    ensure!(highest_of_others < 1.0, "a key that is read once is reported with {highest_of_others}");
    Ok(())
}

fn keys_of(hot: &HotKeyTracker) -> BTreeSet<Key> {
    hot.hot_keys().map(|(k, _)| k).collect()
}

fn check_equal_sets() -> CheckResult {
    let mut rng = fastrand::Rng::with_seed(2);
    for round in 0..200 {
        let entry = |rng: &mut fastrand::Rng, n| ReportEntry {
            key: key(n as u32 % 3, n),
            reads_per_1000_s: rng.u32(0..90_000),
            is_hot: rng.bool(),
        };
        let mut reports: Vec<(u64, Vec<ReportEntry>)> = Vec::new();
        for origin in 1..=6 {
            let keys: Vec<u64> = (0..8).filter(|_| rng.bool()).collect();
            reports.push((origin, keys.into_iter().map(|n| entry(&mut rng, n)).collect()));
        }
        // Received by different processes, in different orders.
        let (a, b) =
            (tracker_with_reports(11, 6, &reports, false), tracker_with_reports(12, 6, &reports, true));
        ensure!(
            keys_of(&a) == keys_of(&b) && a.digest() == b.digest(),
            "round {round}: {:?}, {:?}",
            keys_of(&a),
            keys_of(&b)
        );
        let holders = |h: &HotKeyTracker| {
            h.hot_keys().map(|(k, hot)| (k, hot.copy_holders.clone())).collect::<Vec<_>>()
        };
        ensure!(holders(&a) == holders(&b), "round {round}: other holders");
    }
    // Between the thresholds the reports of all decide, also at the process that reports otherwise.
    let middle = |hot| ReportEntry { key: key(0, 1), reads_per_1000_s: 26_000, is_hot: hot };
    let reports: Vec<(u64, Vec<ReportEntry>)> = (1..=3).map(|o| (o, vec![middle(o != 3)])).collect();
    let (a, b) = (tracker_with_reports(1, 6, &reports, false), tracker_with_reports(3, 6, &reports, false));
    ensure!(keys_of(&a).len() == 1 && keys_of(&a) == keys_of(&b), "{:?}, {:?}", keys_of(&a), keys_of(&b));
    Ok(())
}

fn check_false_reports() -> CheckResult {
    let most = |n: u64| {
        (0..16)
            .map(|k| ReportEntry { key: key(0, n * 16 + k), reads_per_1000_s: 1_000_000_000, is_hot: true })
            .collect()
    };
    let alone = tracker_with_reports(9, 5, &[(1, most(1))], false);
    ensure!(keys_of(&alone).is_empty(), "one origin makes {} keys hot", keys_of(&alone).len());
    let crowd: Vec<(u64, Vec<ReportEntry>)> =
        (0..40).flat_map(|n| [(100 + 2 * n, most(n)), (101 + 2 * n, most(n))]).collect();
    let hot = keys_of(&tracker_with_reports(9, 80, &crowd, false)).len();
    ensure!(hot <= 32, "{hot} keys are hot");
    Ok(())
}

fn check_flapping() -> CheckResult {
    let mut fleet = Fleet::new(5, 3);
    let k = key(0, 1);
    for _ in 0..10 {
        // The reads move to another key each second.
        for n in 0..6 {
            fleet.reads_per_s = vec![(key(0, n), 400.0), (k, 30.0)];
            fleet.pass(SECOND);
        }
    }
    let most = fleet.trackers.iter().map(|h| h.change_count()).max().unwrap_or(0);
    // Six keys, each of which enters and leaves at most once in its minimum time of ten seconds.
    ensure!(most <= 6 * 2 * 6, "{most} changes in 60 s");
    let mut one = Fleet::new(5, 4);
    one.reads_per_s = vec![(k, 400.0)];
    one.pass_until(k, true, 20 * SECOND).ok_or("it is not found")?;
    one.reads_per_s.clear();
    let gone = one.pass_until(k, false, 60 * SECOND).ok_or("it stays for good")?;
    ensure!(gone >= 8.0, "it stays for {gone} s");
    Ok(())
}

fn check_copy_holders() -> CheckResult {
    let mut spread = BTreeMap::<u32, usize>::new();
    for n in 0..300 {
        let k = key((n % 6) as u32, n);
        let rate = |origin| (origin, vec![ReportEntry { key: k, reads_per_1000_s: 450_000, is_hot: false }]);
        let reports: Vec<_> = (1..=12).map(rate).collect();
        let hot = tracker_with_reports(1, 6, &reports, false);
        let (_, hot_key) = hot.hot_keys().next().ok_or("it is not hot")?;
        let groups: BTreeSet<u32> = hot_key.copy_holders.iter().map(|d| d.group).collect();
        ensure!(hot_key.copy_holders.len() == 3 && groups.len() == 3, "{:?}", hot_key.copy_holders);
        ensure!(!groups.contains(&k.group), "{k:?} at home: {:?}", hot_key.copy_holders);
        hot_key.copy_holders.iter().for_each(|d| *spread.entry(d.server).or_default() += 1);
    }
    let (least, most) =
        (spread.values().min().copied().unwrap_or(0), spread.values().max().copied().unwrap_or(0));
    ensure!(spread.len() == databases(6).len() && most < 4 * least, "{spread:?}");
    // A database that is not listed any more holds no copies, and all other holders stay.
    let reports: Vec<_> = (1..=12)
        .map(|o| (o, vec![ReportEntry { key: key(0, 1), reads_per_1000_s: 450_000, is_hot: false }]))
        .collect();
    let mut hot = tracker_with_reports(1, 6, &reports, false);
    let before: Vec<Database> = hot.hot_keys().flat_map(|(_, k)| k.copy_holders.clone()).collect();
    let left: Vec<Database> = databases(6).into_iter().filter(|d| *d != before[0]).collect();
    hot.update_databases(left, (0..6).map(|g| (g, REPLICAS)).collect());
    let after: Vec<Database> = hot.hot_keys().flat_map(|(_, k)| k.copy_holders.clone()).collect();
    ensure!(
        !after.contains(&before[0]) && before[1..].iter().all(|d| after.contains(d)),
        "{before:?}, {after:?}"
    );
    Ok(())
}

fn check_refresh_slots() -> CheckResult {
    let mut fleet = Fleet::new(5, 5);
    let k = key(0, 1);
    fleet.reads_per_s = vec![(k, 400.0)];
    fleet.pass_until(k, true, 20 * SECOND).ok_or("it is not found")?;
    fleet.pass(5 * SECOND);
    fleet.refreshes.clear();
    fleet.pass(20 * SECOND);
    // Of 50 check_refresh_slots of 0.4 s nearly each is somebody's, and hardly any is two's.
    let times = fleet.refreshes.get(&k).cloned().unwrap_or_default();
    let by: BTreeSet<usize> = times.iter().map(|t| t.1).collect();
    ensure!((46..=54).contains(&times.len()) && by.len() == 5, "{} renewals by {by:?}", times.len());
    Ok(())
}

#[test]
fn a_reported_rate_is_never_above_the_true_one() {
    check_reported_rates().unwrap();
}

#[test]
fn keys_read_once_displace_nothing() {
    check_flood().unwrap();
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
fn each_injected_fault_is_found() {
    let all: [(Fault, fn() -> CheckResult); 7] = [
        (Fault::IncludesCounterError, check_reported_rates),
        (Fault::SkipsDoorkeeper, check_flood),
        (Fault::TrustsOnlyItself, check_equal_sets),
        (Fault::CountsOriginsUnbounded, check_false_reports),
        (Fault::SkipsMinimumStay, check_flapping),
        (Fault::PlacesCopiesAnywhere, check_copy_holders),
        (Fault::ClaimsEverySlot, check_refresh_slots),
    ];
    for (fault, check) in all {
        assert!(with(fault, check).is_err(), "{fault:?} was not found");
    }
}
