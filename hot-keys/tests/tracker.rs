//! The tracker in a fleet: what all processes find, what is learned about copies, what malformed reports do, and when copying is
//! worthwhile.

mod common;
use birchreach_hot_keys::{HotKeyTracker, Report, ReportEntry, Settings};
use common::{Fleet, SECOND, header, key, settings, tracker_with_reports};
use std::collections::BTreeSet;

/// Below the threshold at every process, hot in total, then not read any more. Two partitions choose the same holders, and come to one
/// set after they have merged.
#[test]
fn a_key_hot_in_total_is_found_by_all_processes() {
    for (count, seed) in [(5, 6), (40, 7)] {
        let mut fleet = Fleet::new(count, seed);
        let hot_key = key(2, 1);
        let other_keys = (100..150).map(|number| (key(2, number), 4.0));
        fleet.reads_per_s = other_keys.chain([(hot_key, 300.0)]).collect();
        let took =
            fleet.pass_until(hot_key, true, 30 * SECOND).unwrap_or_else(|| panic!("{count}: not found"));
        assert!(took < 15.0, "{count}: {took} s");
        fleet.pass(3 * SECOND);
        assert!(fleet.has_one_set() && fleet.processes_with_hot_key(key(2, 100)) == 0, "{count}");
        let holders = |fleet: &Fleet| {
            let hot_keys = fleet.trackers.iter().flat_map(|tracker| tracker.hot_keys());
            hot_keys.map(|(_, hot_key)| hot_key.copy_holders.clone()).collect::<BTreeSet<_>>()
        };
        let before = holders(&fleet);
        let half = count / 2;
        fleet.is_partitioned = Box::new(move |from, to| (from < half) != (to < half));
        fleet.pass(30 * SECOND);
        fleet.is_partitioned = Box::new(|_, _| false);
        // Each partition sees half of the reads: where the key is still hot, its holders are the same ones, or the first of them.
        let first_holders: BTreeSet<_> = holders(&fleet)
            .into_iter()
            .chain(before)
            .filter_map(|holders| holders.first().copied())
            .collect();
        assert!(first_holders.len() <= 1, "{first_holders:?}");
        fleet
            .pass_until(hot_key, true, 30 * SECOND)
            .unwrap_or_else(|| panic!("{count}: not found after the partition"));
        fleet.pass(5 * SECOND);
        assert!(fleet.has_one_set());
        fleet.reads_per_s.clear();
        fleet.pass_until(hot_key, false, 60 * SECOND).unwrap_or_else(|| panic!("{count}: it stays"));
        assert!(fleet.has_one_set());
    }
}

#[test]
fn a_holder_that_missed_is_queried_again_after_a_backoff_or_a_copy() {
    let reports: Vec<_> = (1..=12)
        .map(|origin| {
            (origin, vec![ReportEntry { key: key(0, 1), reads_per_1000_s: 450_000, is_hot: false }])
        })
        .collect();
    let mut tracker = tracker_with_reports(1, 6, &reports, false);
    let now = SECOND;
    let all = tracker.copy_candidates(now, key(0, 1));
    assert_eq!((all.len(), tracker.copy_candidates(now, key(0, 2)).len()), (3, 0));
    assert!(all.iter().all(|copy| now - copy.likely_position == 500_000), "an interval and a bit: {all:?}");
    let holder = all[0].server;
    tracker.record_answer(now, key(0, 1), holder, None);
    assert!(
        tracker.copy_candidates(now + 100_000, key(0, 1)).iter().all(|copy| copy.server != holder),
        "not tried again at once"
    );
    assert!(tracker.copy_candidates(now + 300_000, key(0, 1)).iter().any(|copy| copy.server == holder));
    (0..6).for_each(|_| tracker.record_answer(now, key(0, 1), holder, None));
    assert!(
        tracker.copy_candidates(now + 3 * SECOND, key(0, 1)).iter().all(|copy| copy.server != holder),
        "longer with each miss"
    );
    tracker.record_copy_written(now + 3 * SECOND, key(0, 1), holder);
    let again = tracker.copy_candidates(now + 4 * SECOND, key(0, 1));
    assert!(again.iter().any(|copy| copy.server == holder), "a copy was written there");
    tracker.record_answer(now + 4 * SECOND, key(0, 1), holder, Some(now + 4 * SECOND - 70_000));
    let seen = tracker
        .copy_candidates(now + 4 * SECOND, key(0, 1))
        .into_iter()
        .find(|copy| copy.server == holder)
        .unwrap();
    assert!((70_000..500_000).contains(&(now + 4 * SECOND - seen.likely_position)));
}

#[test]
fn malformed_reports_change_nothing() {
    let mut rng = fastrand::Rng::with_seed(8);
    let entries = (0..16)
        .map(|number| ReportEntry { key: key(0, number), reads_per_1000_s: 5_000, is_hot: true })
        .collect();
    let good = Report { secret_id: 1, set_digest: 5, entries }.encode();
    let mut tracker = HotKeyTracker::new(settings(5), 1, 1, 0);
    for sequence in 0..50_000u64 {
        let mut bytes = good.clone();
        for _ in 0..rng.usize(1..5) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let _ = tracker.receive_report(SECOND, header(rng.u64(..), sequence), &bytes);
    }
    assert!(tracker.table_sizes().reports <= 4_096, "{:?}", tracker.table_sizes());
    let mut tracker = HotKeyTracker::new(settings(5), 1, 1, 0);
    assert!(tracker.receive_report(SECOND, header(2, 5), &good).is_ok());
    assert!(tracker.receive_report(SECOND, header(2, 5), &good).is_err(), "twice");
    assert!(tracker.receive_report(SECOND, header(2, 4), &good).is_err(), "overtaken");
    for cut in 0..good.len() {
        assert!(tracker.receive_report(SECOND, header(3, 1), &good[..cut]).is_err(), "{cut} bytes of it");
    }
    let other = Report { secret_id: 2, ..Report::decode(&good).unwrap() }.encode();
    assert!(tracker.receive_report(SECOND, header(3, 1), &other).is_err(), "under another secret");
    assert_eq!(tracker.table_sizes().reports, 1);
    // Tens of thousands of keys use no more than the counters that there are.
    (0..200_000u64).for_each(|read| tracker.record_read(SECOND, key(0, read % 70_000), b"k"));
    assert!(tracker.table_sizes().counters <= 256);
}

#[test]
fn copies_prove_their_position() {
    use birchreach_hot_keys::copy::{Copy, can_serve, copy_from_reads, newer_copy};
    let copy = |position| Copy { value: position, position };
    assert_eq!(
        copy_from_reads(None, 1, Some(5)),
        None,
        "without a position before the read there is no copy"
    );
    assert_eq!(newer_copy(Some(copy(5)), copy(3)), copy(5));
    assert_eq!(newer_copy(Some(copy(5)), copy(7)), copy(7));
    assert!(can_serve(Some(&copy(5)), 5) && !can_serve(Some(&copy(5)), 6) && !can_serve::<i64>(None, 0));
}

#[test]
fn keys_are_copied_only_where_it_is_worthwhile() {
    let settings = settings(5);
    assert_eq!(settings.refresh_interval(), 400_000);
    // A database serves 100 reads a second. At 300 with two replicas, four more holders would leave each half of its capacity; three
    // are allowed.
    assert_eq!(settings.cost(300.0, 2).copies, 3);
    assert_eq!(settings.cost(150.0, 2).copies, 1);
    assert!(settings.is_worthwhile(101.0, 2) && !settings.is_worthwhile(99.0, 2));
    let expensive_copies = Settings { copy_cost_reads: 60.0, ..settings };
    assert!(!expensive_copies.is_worthwhile(300.0, 2), "600 reads a second for copies, to save 180");
    assert!(expensive_copies.hot_threshold(2) > 300.0);
}
