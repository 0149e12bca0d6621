//! The tracker in a fleet: what all processes find, what is learned about copies, what malformed reports do, and when copying is
//! worthwhile.

mod common;
use birchreach_hot_keys::{HotKeyTracker, Report, ReportEntry};
use common::{Fleet, SECOND, key, settings, tracker_with_reports};
use std::collections::BTreeSet;

/// Lukewarm everywhere, hot in the sum; then cold again. Halves that are cut hold the same holders, and one set when they are back.
#[test]
fn a_key_hot_in_total_is_found_by_all_processes() {
    for (count, seed) in [(5, 6), (40, 7)] {
        let mut fleet = Fleet::new(count, seed);
        let k = key(2, 1);
        fleet.reads_per_s = (0..50).map(|n| (key(2, 100 + n), 4.0)).chain([(k, 300.0)]).collect();
        let took = fleet.pass_until(k, true, 30 * SECOND).unwrap_or_else(|| panic!("{count}: not found"));
        assert!(took < 15.0, "{count}: {took} s");
        fleet.pass(3 * SECOND);
        assert!(fleet.has_one_set() && fleet.holding_count(key(2, 100)) == 0, "{count}");
        let holders = |fleet: &Fleet| {
            fleet
                .trackers
                .iter()
                .flat_map(|h| h.hot_keys().map(|(_, k)| k.copy_holders.clone()))
                .collect::<BTreeSet<_>>()
        };
        let before = holders(&fleet);
        let half = count / 2;
        fleet.is_cut = Box::new(move |a, b| (a < half) != (b < half));
        fleet.pass(30 * SECOND);
        fleet.is_cut = Box::new(|_, _| false);
        // Each half sees half of the reads: where it still holds the key, it holds the same holders, or the first of them.
        let firsts: BTreeSet<_> =
            holders(&fleet).into_iter().chain(before).filter_map(|g| g.first().copied()).collect();
        assert!(firsts.len() <= 1, "{firsts:?}");
        fleet.pass_until(k, true, 30 * SECOND).unwrap_or_else(|| panic!("{count}: not found after the cut"));
        fleet.pass(5 * SECOND);
        assert!(fleet.has_one_set());
        fleet.reads_per_s.clear();
        fleet.pass_until(k, false, 60 * SECOND).unwrap_or_else(|| panic!("{count}: it stays"));
        assert!(fleet.has_one_set());
    }
}

#[test]
fn a_holder_that_missed_is_asked_again_after_a_backoff_or_a_copy() {
    let reports: Vec<_> = (1..=12)
        .map(|o| (o, vec![ReportEntry { key: key(0, 1), reads_per_1000_s: 450_000, is_hot: false }]))
        .collect();
    let mut hot = tracker_with_reports(1, 6, &reports, false);
    let now = SECOND;
    let all = hot.copy_candidates(now, key(0, 1));
    assert_eq!((all.len(), hot.copy_candidates(now, key(0, 2)).len()), (3, 0));
    assert!(all.iter().all(|copy| now - copy.likely_position == 500_000), "an interval and a bit: {all:?}");
    let holder = all[0].server;
    hot.record_answer(now, key(0, 1), holder, None);
    assert!(
        hot.copy_candidates(now + 100_000, key(0, 1)).iter().all(|copy| copy.server != holder),
        "not tried again at once"
    );
    assert!(hot.copy_candidates(now + 300_000, key(0, 1)).iter().any(|copy| copy.server == holder));
    (0..6).for_each(|_| hot.record_answer(now, key(0, 1), holder, None));
    assert!(
        hot.copy_candidates(now + 3 * SECOND, key(0, 1)).iter().all(|copy| copy.server != holder),
        "longer with each miss"
    );
    hot.record_copy_written(now + 3 * SECOND, key(0, 1), holder);
    let again = hot.copy_candidates(now + 4 * SECOND, key(0, 1));
    assert!(again.iter().any(|copy| copy.server == holder), "a copy was written there");
    hot.record_answer(now + 4 * SECOND, key(0, 1), holder, Some(now + 4 * SECOND - 70_000));
    let seen = hot
        .copy_candidates(now + 4 * SECOND, key(0, 1))
        .into_iter()
        .find(|copy| copy.server == holder)
        .unwrap();
    assert!((70_000..500_000).contains(&(now + 4 * SECOND - seen.likely_position)));
}

#[test]
fn malformed_reports_change_nothing() {
    let mut rng = fastrand::Rng::with_seed(8);
    let entries =
        (0..16).map(|n| ReportEntry { key: key(0, n), reads_per_1000_s: 5_000, is_hot: true }).collect();
    let good = Report { secret_id: 1, set_digest: 5, entries }.encode();
    let mut hot = HotKeyTracker::new(settings(5), 1, 1, 0);
    for n in 0..50_000u64 {
        let mut bytes = good.clone();
        for _ in 0..rng.usize(1..5) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let _ = hot.receive_report(SECOND, rng.u64(..), n, 0, &bytes);
    }
    assert!(hot.table_sizes().reports <= 4_096, "{:?}", hot.table_sizes());
    let mut hot = HotKeyTracker::new(settings(5), 1, 1, 0);
    assert!(hot.receive_report(SECOND, 2, 5, 0, &good).is_ok());
    assert!(hot.receive_report(SECOND, 2, 5, 0, &good).is_err(), "twice");
    assert!(hot.receive_report(SECOND, 2, 4, 0, &good).is_err(), "overtaken");
    for cut in 0..good.len() {
        assert!(hot.receive_report(SECOND, 3, 1, 0, &good[..cut]).is_err(), "{cut} bytes of it");
    }
    let other = Report { secret_id: 2, ..Report::decode(&good).unwrap() }.encode();
    assert!(hot.receive_report(SECOND, 3, 1, 0, &other).is_err(), "under another secret");
    assert_eq!(hot.table_sizes().reports, 1);
    // Keys by the ten thousand occupy no more than the counters there are.
    (0..200_000u64).for_each(|n| hot.record_read(SECOND, key(0, n % 70_000), b"k"));
    assert!(hot.table_sizes().counters <= 256);
}

#[test]
fn copies_prove_their_position() {
    use birchreach_hot_keys::copy::{Copy, can_serve, copy_from_reads, newer_copy};
    let copy = |position| Copy { value: position, position };
    assert_eq!(copy_from_reads(None, 1, Some(5)), None, "without a position told before there is no copy");
    assert_eq!(newer_copy(Some(copy(5)), copy(3)), copy(5));
    assert_eq!(newer_copy(Some(copy(5)), copy(7)), copy(7));
    assert!(can_serve(Some(&copy(5)), 5) && !can_serve(Some(&copy(5)), 6) && !can_serve::<i64>(None, 0));
}

#[test]
fn keys_are_copied_only_where_it_is_worthwhile() {
    let s = settings(5);
    assert_eq!(s.refresh_interval(), 400_000);
    // 100 a second each: at 300 with two replicas four holders more would leave each half of itself; three are allowed.
    assert_eq!(s.cost(300.0, 2).copies, 3);
    assert_eq!(s.cost(150.0, 2).copies, 1);
    assert!(s.is_worthwhile(101.0, 2) && !s.is_worthwhile(99.0, 2));
    let dear = birchreach_hot_keys::Settings { copy_cost_reads: 60.0, ..settings(5) };
    assert!(!dear.is_worthwhile(300.0, 2), "600 reads a second for copies, to spare 180");
    assert!(dear.hot_threshold(2) > 300.0);
}
