//! Behaviour of the tracker: agreement of a fleet on its hot keys, estimates of copy ages, rejection of reports, limits
//! of tables, and the decision whether copying is worthwhile.

mod common;
use birchreach_hot_keys::{Database, HotKeyTracker, Key, Micros, PeerReport, Report, ReportEntry, Settings};
use common::{Fleet, SECOND, header, key, settings, tracker_with_reports};
use std::collections::BTreeSet;

/// Returns a fleet in which one key is hot at all processes. Its total rate is above the threshold, its rate at each
/// process is below it, and fifty other keys are read rarely.
fn fleet_with_hot_key(count: usize, seed: u64, hot_key: Key) -> Fleet {
    let mut fleet = Fleet::new(count, seed);
    let other_keys = (100..150).map(|number| (key(2, number), 4.0));
    fleet.reads_per_s = other_keys.chain([(hot_key, 300.0)]).collect();
    let took = fleet
        .advance_until(hot_key, true, 30 * SECOND)
        .unwrap_or_else(|| panic!("{count} processes: the key did not become hot"));
    assert!(took < 15.0, "{count} processes: the key became hot everywhere after {took} s");
    fleet.advance(3 * SECOND);
    fleet
}

/// Returns the distinct lists of copy holders over all hot keys and processes.
fn copy_holders(fleet: &Fleet) -> BTreeSet<Vec<Database>> {
    let hot_keys = fleet.trackers.iter().flat_map(|tracker| tracker.hot_keys());
    hot_keys.map(|hot_key| hot_key.copy_holders.clone()).collect()
}

#[test]
fn a_key_that_is_hot_only_in_total_becomes_hot_at_all_processes() {
    for (count, seed) in [(5, 6), (40, 7)] {
        let hot_key = key(2, 1);

        let mut fleet = fleet_with_hot_key(count, seed, hot_key);

        assert!(fleet.sets_agree() && fleet.processes_with_hot_key(key(2, 100)) == 0, "{count} processes");

        fleet.reads_per_s.clear();
        fleet
            .advance_until(hot_key, false, 60 * SECOND)
            .unwrap_or_else(|| panic!("{count} processes: the key is still hot after 60 s"));

        assert!(fleet.sets_agree());
    }
}

/// During the partition each side counts half of the reads. Where the key is still hot, its holders are the previous
/// ones or the first of them.
#[test]
fn partitions_select_the_same_copy_holders_and_agree_on_one_set_after_healing() {
    for (count, seed) in [(5, 6), (40, 7)] {
        let hot_key = key(2, 1);
        let mut fleet = fleet_with_hot_key(count, seed, hot_key);
        let before = copy_holders(&fleet);
        let half = count / 2;

        fleet.is_partitioned = Box::new(move |from, to| (from < half) != (to < half));
        fleet.advance(30 * SECOND);
        fleet.is_partitioned = Box::new(|_, _| false);

        let of_partitions = copy_holders(&fleet).into_iter().chain(before);
        let first_holders: BTreeSet<_> =
            of_partitions.filter_map(|holders| holders.first().copied()).collect();
        assert!(first_holders.len() <= 1, "{first_holders:?}");

        let found = fleet.advance_until(hot_key, true, 30 * SECOND);
        found.unwrap_or_else(|| panic!("{count} processes: the key is not hot after the partition"));
        fleet.advance(5 * SECOND);

        assert!(fleet.sets_agree());

        fleet.reads_per_s.clear();
        fleet
            .advance_until(hot_key, false, 60 * SECOND)
            .unwrap_or_else(|| panic!("{count} processes: the key is still hot after 60 s"));

        assert!(fleet.sets_agree());
    }
}

/// Returns whether a server is a candidate for a copy of the key.
fn is_candidate(tracker: &HotKeyTracker, now: Micros, key: Key, server: u32) -> bool {
    tracker.copy_candidates(now, key).iter().any(|copy| copy.server == server)
}

#[test]
fn a_holder_that_missed_is_queried_again_after_a_backoff_or_a_written_copy() {
    // Given a hot key with three copy holders.
    let (hot_key, now) = (key(0, 1), SECOND);
    let entry = ReportEntry { key: hot_key, reads_per_1000_s: 450_000, is_hot: false };
    let reports: Vec<_> = (1..=12).map(|origin| (origin, vec![entry])).collect();
    let mut tracker = tracker_with_reports(1, 6, &reports, false);
    let all = tracker.copy_candidates(now, hot_key);
    assert_eq!((all.len(), tracker.copy_candidates(now, key(0, 2)).len()), (3, 0));
    assert!(
        all.iter().all(|copy| now - copy.likely_position == 500_000),
        "the refresh interval and the transit time: {all:?}"
    );
    let holder = all[0].server;

    // When a holder misses, then it is not queried during a backoff, which grows with each miss.
    tracker.record_answer(now, hot_key, holder, None);
    assert!(
        !is_candidate(&tracker, now + 100_000, hot_key, holder),
        "queried again within the initial backoff"
    );
    assert!(is_candidate(&tracker, now + 300_000, hot_key, holder));
    (0..6).for_each(|_| tracker.record_answer(now, hot_key, holder, None));
    assert!(
        !is_candidate(&tracker, now + 3 * SECOND, hot_key, holder),
        "the backoff does not grow with each miss"
    );

    // When a copy is written to the holder, then the holder is queried again soon.
    tracker.record_copy_written(now + 3 * SECOND, hot_key, holder);
    let now = now + 4 * SECOND;
    assert!(is_candidate(&tracker, now, hot_key, holder), "not queried after a copy was written");

    // When the holder answers from a copy, then the age of this copy is used.
    tracker.record_answer(now, hot_key, holder, Some(now - 70_000));
    let candidates = tracker.copy_candidates(now, hot_key);
    let seen = candidates.into_iter().find(|copy| copy.server == holder).unwrap();
    assert!((70_000..500_000).contains(&(now - seen.likely_position)));
}

/// Returns a report with the maximum number of keys.
fn full_report() -> Report {
    let entry = |number| ReportEntry { key: key(0, number), reads_per_1000_s: 5_000, is_hot: true };
    Report { secret_id: 1, set_digest: 5, entries: (0..16).map(entry).collect() }
}

#[test]
fn kept_reports_are_bounded() {
    let mut rng = fastrand::Rng::with_seed(8);
    let valid = full_report().encode();
    let mut tracker = HotKeyTracker::new(settings(5), 1, 1, 0);

    for sequence in 0..50_000u64 {
        let mut bytes = valid.clone();
        for _ in 0..rng.usize(1..5) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let _ = tracker.receive_report(SECOND, header(rng.u64(..), sequence), &bytes);
    }

    assert!(tracker.table_sizes().reports <= 4_096, "{:?}", tracker.table_sizes());
}

#[test]
fn rejected_reports_change_nothing() {
    let valid = full_report().encode();
    let mut tracker = HotKeyTracker::new(settings(5), 1, 1, 0);
    assert!(tracker.receive_report(SECOND, header(2, 5), &valid).is_ok());

    assert!(tracker.receive_report(SECOND, header(2, 5), &valid).is_err(), "a duplicate is accepted");
    assert!(tracker.receive_report(SECOND, header(2, 4), &valid).is_err(), "an older report is accepted");

    for length in 0..valid.len() {
        let truncated = &valid[..length];
        assert!(
            tracker.receive_report(SECOND, header(3, 1), truncated).is_err(),
            "{length} bytes of a report are accepted"
        );
    }

    let of_another_secret = Report { secret_id: 2, ..full_report() }.encode();
    let rejected = tracker.receive_report(SECOND, header(3, 1), &of_another_secret);
    assert!(rejected.is_err(), "a report with another secret is accepted");

    assert_eq!(tracker.table_sizes().reports, 1);
}

#[test]
fn the_error_for_a_rejected_report_has_a_label_and_a_text() {
    // Given a tracker that keeps a report of another process.
    let valid = full_report().encode();
    let of_another_secret = Report { secret_id: 2, ..full_report() }.encode();
    let mut tracker = HotKeyTracker::new(settings(5), 1, 1, 0);
    assert!(tracker.receive_report(SECOND, header(2, 5), &valid).is_ok());
    let mut rejection = |origin, bytes: &[u8]| {
        let error = tracker.receive_report(SECOND, header(origin, 5), bytes).unwrap_err();
        (error.as_str(), error.to_string())
    };

    // When the tracker rejects reports for different reasons.
    let malformed = rejection(3, &[]);
    let mismatched = rejection(3, &of_another_secret);
    let outdated = rejection(2, &valid);

    // Then each reason has its label and its text.
    assert_eq!(malformed, ("form", "the report of hot keys is malformed".into()));
    assert_eq!(mismatched, ("other-secret", "the report's keys are hashed with another secret".into()));
    assert_eq!(outdated, ("old", "a newer report of this origin was received before".into()));
}

#[test]
fn counters_are_bounded() {
    let mut tracker = HotKeyTracker::new(settings(5), 1, 1, 0);

    (0..200_000u64).for_each(|read| tracker.record_read(SECOND, key(0, read % 70_000), b"k"));

    assert!(tracker.table_sizes().counters <= 256);
}

#[test]
fn a_copy_serves_only_reads_that_need_no_newer_position() {
    use birchreach_hot_keys::copy::{Copy, can_serve, copy_from_reads, newer_copy};

    let copy = |position| Copy { value: position, position };

    assert_eq!(copy_from_reads(None, 1, Some(5)), None, "a copy was made without a position before its read");

    assert_eq!(newer_copy(Some(copy(5)), copy(3)), copy(5));
    assert_eq!(newer_copy(Some(copy(5)), copy(7)), copy(7));

    assert!(can_serve(Some(&copy(5)), 5) && !can_serve(Some(&copy(5)), 6) && !can_serve::<i64>(None, 0));
}

#[test]
fn keys_are_copied_only_if_copying_is_worthwhile() {
    let settings = settings(5);

    assert_eq!(settings.refresh_interval(), 400_000);

    // A database serves 100 reads per second. At 300 reads per second and two replicas, four further holders would
    // leave half of the capacity of each database free, but only three copies are allowed.
    assert_eq!(settings.cost(300.0, 2).copies, 3);
    assert_eq!(settings.cost(150.0, 2).copies, 1);

    assert!(settings.is_worthwhile(101.0, 2) && !settings.is_worthwhile(99.0, 2));

    let expensive_copies = Settings { copy_cost_reads: 60.0, ..settings };
    assert!(!expensive_copies.is_worthwhile(300.0, 2), "copies cost 600 reads per second and save 180");
    assert!(expensive_copies.hot_threshold(2) > 300.0);
}
