//! Which reports count, how many are kept, and when they are due and expire.

use birchreach_peer_reports::{MAX_ORIGINS, Micros, PeerReports, RecordError, ReportHeader};

const SECOND: Micros = 1_000_000;
const OWN_ORIGIN: u64 = 1;

/// The reports that are kept, with their origins.
fn kept(reports: &PeerReports<&'static str>) -> Vec<(u64, &'static str)> {
    reports.newest().map(|received| (received.origin, received.report)).collect()
}

fn header(origin: u64, sequence: u64) -> ReportHeader {
    ReportHeader { origin, sequence, age: 0 }
}

#[test]
fn the_newest_report_of_an_origin_counts_once() {
    let mut reports = PeerReports::new(OWN_ORIGIN, 0);
    assert_eq!(reports.record(SECOND, header(2, 5), "fifth"), Ok(()));

    let same_again = reports.record(SECOND, header(2, 5), "fifth again");
    let overtaken = reports.record(SECOND, header(2, 4), "fourth");
    let of_another_origin = reports.record(SECOND, header(3, 4), "fourth of another");

    assert_eq!(same_again, Err(RecordError::Outdated));
    assert_eq!(overtaken, Err(RecordError::Outdated));
    assert_eq!(of_another_origin, Ok(()));
    assert_eq!(kept(&reports), [(2, "fifth"), (3, "fourth of another")]);

    assert_eq!(reports.record(SECOND, header(2, 6), "sixth"), Ok(()));
    assert_eq!(kept(&reports), [(2, "sixth"), (3, "fourth of another")]);
}

#[test]
fn reports_of_too_many_origins_are_not_recorded() {
    let mut reports = PeerReports::new(OWN_ORIGIN, 0);
    let origins = 2..2 + MAX_ORIGINS as u64;
    for origin in origins.clone() {
        assert_eq!(reports.record(SECOND, header(origin, 1), "first"), Ok(()));
    }

    let of_one_more = reports.record(SECOND, header(origins.end, 1), "first");
    let of_a_known_one = reports.record(SECOND, header(origins.start, 2), "second");
    reports.record_own(SECOND, "own");

    assert_eq!(of_one_more, Err(RecordError::TooManyOrigins));
    assert_eq!(of_a_known_one, Ok(()));
    assert_eq!(reports.origin_count(), MAX_ORIGINS);
    assert!(!kept(&reports).contains(&(OWN_ORIGIN, "own")));
}

#[test]
fn a_report_expires_after_its_lifetime() {
    let mut reports = PeerReports::new(OWN_ORIGIN, 0);
    reports.set_interval(2 * SECOND);
    let lifetime = reports.lifetime();
    let aged = |origin, age| ReportHeader { origin, sequence: 1, age };

    assert_eq!(reports.record(10 * SECOND, aged(2, 0), "made now"), Ok(()));
    assert_eq!(reports.record(10 * SECOND, aged(3, SECOND), "made a second ago"), Ok(()));
    assert_eq!(reports.record(10 * SECOND, aged(4, -SECOND), "made later, by its age"), Ok(()));

    reports.remove_expired(9 * SECOND + lifetime);
    assert_eq!(kept(&reports), [(2, "made now"), (4, "made later, by its age")]);

    reports.remove_expired(10 * SECOND + lifetime);
    assert_eq!(kept(&reports), []);
}

#[test]
fn a_report_is_due_once_in_each_interval() {
    let mut reports = PeerReports::new(OWN_ORIGIN, 0);
    reports.set_interval(2 * SECOND);

    assert!(!reports.is_due(2 * SECOND - 1));
    assert!(reports.is_due(2 * SECOND));
    reports.record_own(3 * SECOND, "first");

    assert_eq!(reports.next_due_at(), 5 * SECOND);
    assert!(!reports.is_due(5 * SECOND - 1));
    assert!(reports.is_due(5 * SECOND));
    reports.record_own(5 * SECOND, "second");
    assert_eq!(kept(&reports), [(OWN_ORIGIN, "second")]);
}
