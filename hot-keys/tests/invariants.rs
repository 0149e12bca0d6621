//! What must hold of rates, sets and guests; and each check finds its fault.

mod common;
use birchreach_hot_keys::faults::{Fault, with};
use birchreach_hot_keys::{Database, HotKeyTracker, Key, Micros, ReadSketch, ReportEntry};
use common::{Net, REPLICAS, S, databases, heard, key};
use std::collections::{BTreeMap, BTreeSet};

type Held = Result<(), String>;

macro_rules! hold {
    ($what:expr, $($say:tt)+) => {
        let holds: bool = $what;
        if !holds {
            return Err(format!($($say)+));
        }
    };
}

/// One key at 3 a second among a crowd of others; nothing is reported that was not read.
fn never_more_than_the_truth() -> Held {
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut sketch, mut counts) = (ReadSketch::new(0), BTreeMap::<Key, Vec<Micros>>::new());
    for now in (0..20 * S).step_by(1_000) {
        let n = if rng.u8(..3) == 0 { rng.u64(..40) } else { rng.u64(..2_000) };
        sketch.record_read(now, key(0, n), b"");
        counts.entry(key(0, n)).or_default().push(now);
    }
    for (k, rate) in sketch.top_keys(20 * S, 1_000) {
        // The same mean over the same time, of all reads that there were.
        let fade = |at: &Micros| (-((20 * S - at) as f64) / 5e6).exp();
        let truth: f64 = counts[&k].iter().map(fade).sum::<f64>() / 5.0 / (1.0 - (-4.0f64).exp());
        hold!(rate <= truth * 1.06 + 0.01, "{k:?}: {rate} of {truth}");
    }
    Ok(())
}

/// A key that is lukewarm stays counted while another client makes up keys by the thousand, once each; none of those is reported.
fn floods_move_nothing() -> Held {
    let mut sketch = ReadSketch::new(0);
    for now in (0..30 * S).step_by(500) {
        if now % 500_000 == 0 {
            sketch.record_read(now, key(0, 7), b"lukewarm");
        }
        sketch.record_read(now, key(0, 1_000 + now as u64), b"made up");
    }
    let top = sketch.top_keys(30 * S, 1_000);
    let of = |k| top.iter().find(|(other, _)| *other == k).map_or(0.0, |t| t.1);
    let made_up: f64 = top.iter().filter(|t| t.0 != key(0, 7)).map(|t| t.1).fold(0.0, f64::max);
    hold!((1.0..2.5).contains(&of(key(0, 7))), "of 2 a second: {}", of(key(0, 7)));
    hold!(made_up < 1.0, "a made-up key is reported with {made_up}");
    Ok(())
}

fn keys_of(hot: &HotKeyTracker) -> BTreeSet<Key> {
    hot.hot_keys().map(|(k, _)| k).collect()
}

fn equal_sets() -> Held {
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
        // They were heard by different processes, in different orders.
        let (a, b) = (heard(11, 6, &reports, false), heard(12, 6, &reports, true));
        hold!(
            keys_of(&a) == keys_of(&b) && a.digest() == b.digest(),
            "round {round}: {:?}, {:?}",
            keys_of(&a),
            keys_of(&b)
        );
        let guests = |h: &HotKeyTracker| {
            h.hot_keys().map(|(k, hot)| (k, hot.copy_holders.clone())).collect::<Vec<_>>()
        };
        hold!(guests(&a) == guests(&b), "round {round}: other guests");
    }
    // Between the thresholds the word of others decides, also for whom it is no news.
    let middle = |hot| ReportEntry { key: key(0, 1), reads_per_1000_s: 26_000, is_hot: hot };
    let reports: Vec<(u64, Vec<ReportEntry>)> = (1..=3).map(|o| (o, vec![middle(o != 3)])).collect();
    let (a, b) = (heard(1, 6, &reports, false), heard(3, 6, &reports, false));
    hold!(keys_of(&a).len() == 1 && keys_of(&a) == keys_of(&b), "{:?}, {:?}", keys_of(&a), keys_of(&b));
    Ok(())
}

fn liars_are_bounded() -> Held {
    let most = |n: u64| {
        (0..16)
            .map(|k| ReportEntry { key: key(0, n * 16 + k), reads_per_1000_s: 1_000_000_000, is_hot: true })
            .collect()
    };
    let alone = heard(9, 5, &[(1, most(1))], false);
    hold!(keys_of(&alone).is_empty(), "one that lies makes {} keys hot", keys_of(&alone).len());
    let crowd: Vec<(u64, Vec<ReportEntry>)> =
        (0..40).flat_map(|n| [(100 + 2 * n, most(n)), (101 + 2 * n, most(n))]).collect();
    let hot = keys_of(&heard(9, 80, &crowd, false)).len();
    hold!(hot <= 32, "{hot} keys are hot");
    Ok(())
}

fn sets_do_not_flap() -> Held {
    let mut net = Net::new(5, 3);
    let k = key(0, 1);
    for _ in 0..10 {
        // It moves to another key every second.
        for n in 0..6 {
            net.asked = vec![(key(0, n), 400.0), (k, 30.0)];
            net.pass(S);
        }
    }
    let most = net.all.iter().map(|h| h.changes).max().unwrap_or(0);
    // Six keys, each no more than in and out once in its stay of ten seconds.
    hold!(most <= 6 * 2 * 6, "{most} changes in 60 s");
    let mut one = Net::new(5, 4);
    one.asked = vec![(k, 400.0)];
    one.until(k, true, 20 * S).ok_or("it is not found")?;
    one.asked.clear();
    let gone = one.until(k, false, 60 * S).ok_or("it stays for good")?;
    hold!(gone >= 8.0, "it stays for {gone} s");
    Ok(())
}

fn guests_are_elsewhere() -> Held {
    let mut spread = BTreeMap::<u32, usize>::new();
    for n in 0..300 {
        let k = key((n % 6) as u32, n);
        let rate = |origin| (origin, vec![ReportEntry { key: k, reads_per_1000_s: 450_000, is_hot: false }]);
        let reports: Vec<_> = (1..=12).map(rate).collect();
        let hot = heard(1, 6, &reports, false);
        let (_, held) = hot.hot_keys().next().ok_or("it is not hot")?;
        let groups: BTreeSet<u32> = held.copy_holders.iter().map(|d| d.group).collect();
        hold!(held.copy_holders.len() == 3 && groups.len() == 3, "{:?}", held.copy_holders);
        hold!(!groups.contains(&k.group), "{k:?} at home: {:?}", held.copy_holders);
        held.copy_holders.iter().for_each(|d| *spread.entry(d.server).or_default() += 1);
    }
    let (least, most) =
        (spread.values().min().copied().unwrap_or(0), spread.values().max().copied().unwrap_or(0));
    hold!(spread.len() == databases(6).len() && most < 4 * least, "{spread:?}");
    // Whoever is not named any more is not a guest, and all others stay: nothing else moves.
    let reports: Vec<_> = (1..=12)
        .map(|o| (o, vec![ReportEntry { key: key(0, 1), reads_per_1000_s: 450_000, is_hot: false }]))
        .collect();
    let mut hot = heard(1, 6, &reports, false);
    let before: Vec<Database> = hot.hot_keys().flat_map(|(_, k)| k.copy_holders.clone()).collect();
    let left: Vec<Database> = databases(6).into_iter().filter(|d| *d != before[0]).collect();
    hot.update_databases(left, (0..6).map(|g| (g, REPLICAS)).collect());
    let after: Vec<Database> = hot.hot_keys().flat_map(|(_, k)| k.copy_holders.clone()).collect();
    hold!(
        !after.contains(&before[0]) && before[1..].iter().all(|d| after.contains(d)),
        "{before:?}, {after:?}"
    );
    Ok(())
}

fn slots() -> Held {
    let mut net = Net::new(5, 5);
    let k = key(0, 1);
    net.asked = vec![(k, 400.0)];
    net.until(k, true, 20 * S).ok_or("it is not found")?;
    net.pass(5 * S);
    net.due.clear();
    net.pass(20 * S);
    // Of 50 slots of 0.4 s nearly each is somebody's, and hardly any is two's.
    let times = net.due.get(&k).cloned().unwrap_or_default();
    let by: BTreeSet<usize> = times.iter().map(|t| t.1).collect();
    hold!((46..=54).contains(&times.len()) && by.len() == 5, "{} renewals by {by:?}", times.len());
    Ok(())
}

#[test]
fn a_report_is_never_more_than_the_truth() {
    never_more_than_the_truth().unwrap();
}

#[test]
fn floods_move_nothing_here() {
    floods_move_nothing().unwrap();
}

#[test]
fn equal_reports_make_equal_sets() {
    equal_sets().unwrap();
}

#[test]
fn liars_are_bounded_here() {
    liars_are_bounded().unwrap();
}

#[test]
fn sets_do_not_flap_here() {
    sets_do_not_flap().unwrap();
}

#[test]
fn guests_are_elsewhere_here() {
    guests_are_elsewhere().unwrap();
}

#[test]
fn each_slot_is_one_reporters() {
    slots().unwrap();
}

#[test]
fn each_fault_is_caught() {
    let all: [(Fault, fn() -> Held); 7] = [
        (Fault::IncludesCounterError, never_more_than_the_truth),
        (Fault::SkipsDoorkeeper, floods_move_nothing),
        (Fault::TrustsOnlyItself, equal_sets),
        (Fault::CountsOriginsUnbounded, liars_are_bounded),
        (Fault::SkipsMinimumStay, sets_do_not_flap),
        (Fault::PlacesCopiesAnywhere, guests_are_elsewhere),
        (Fault::ClaimsEverySlot, slots),
    ];
    for (fault, check) in all {
        assert!(with(fault, check).is_err(), "{fault:?} was not caught");
    }
}
