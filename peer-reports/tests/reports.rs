//! Recording, expiry and scheduling of reports, and the limit on origins.

use birchreach_peer_reports::{MAX_ORIGINS, Micros, PeerReports, RecordError, ReportHeader};

const SECOND: Micros = 1_000_000;
const OWN_ORIGIN: u64 = 1;

/// The recorded reports with their origins.
fn recorded(reports: &PeerReports<&'static str>) -> Vec<(u64, &'static str)> {
    reports.newest().map(|received| (received.origin, received.report)).collect()
}

fn header(origin: u64, sequence: u64) -> ReportHeader {
    ReportHeader { origin, sequence, age: 0 }
}

#[test]
fn the_newest_report_of_an_origin_counts_once() {
    let mut reports = PeerReports::new(OWN_ORIGIN, 0);
    assert_eq!(reports.record(SECOND, header(2, 5), "fifth"), Ok(()));

    let duplicate = reports.record(SECOND, header(2, 5), "fifth again");
    let delayed = reports.record(SECOND, header(2, 4), "fourth");
    let of_another_origin = reports.record(SECOND, header(3, 4), "fourth of another");

    assert_eq!(duplicate, Err(RecordError::Outdated));
    assert_eq!(delayed, Err(RecordError::Outdated));
    assert_eq!(of_another_origin, Ok(()));
    assert_eq!(recorded(&reports), [(2, "fifth"), (3, "fourth of another")]);

    assert_eq!(reports.record(SECOND, header(2, 6), "sixth"), Ok(()));
    assert_eq!(recorded(&reports), [(2, "sixth"), (3, "fourth of another")]);
}

#[test]
fn reports_of_too_many_origins_are_not_recorded() {
    let mut reports = PeerReports::new(OWN_ORIGIN, 0);
    let origins = 2..2 + MAX_ORIGINS as u64;
    for origin in origins.clone() {
        assert_eq!(reports.record(SECOND, header(origin, 1), "first"), Ok(()));
    }

    let of_new_origin = reports.record(SECOND, header(origins.end, 1), "first");
    let of_known_origin = reports.record(SECOND, header(origins.start, 2), "second");
    reports.record_own(SECOND, "own");

    assert_eq!(of_new_origin, Err(RecordError::TooManyOrigins));
    assert_eq!(of_known_origin, Ok(()));
    assert_eq!(reports.origin_count(), MAX_ORIGINS);
    assert!(!recorded(&reports).contains(&(OWN_ORIGIN, "own")));
}

#[test]
fn a_report_expires_after_its_lifetime() {
    let mut reports = PeerReports::new(OWN_ORIGIN, 0);
    reports.set_interval(2 * SECOND);
    let lifetime = reports.lifetime();
    let aged = |origin, age| ReportHeader { origin, sequence: 1, age };

    assert_eq!(reports.record(10 * SECOND, aged(2, 0), "new"), Ok(()));
    assert_eq!(reports.record(10 * SECOND, aged(3, SECOND), "one second old"), Ok(()));
    assert_eq!(reports.record(10 * SECOND, aged(4, -SECOND), "negative age"), Ok(()));

    reports.remove_expired(9 * SECOND + lifetime);
    assert_eq!(recorded(&reports), [(2, "new"), (4, "negative age")]);

    reports.remove_expired(10 * SECOND + lifetime);
    assert_eq!(recorded(&reports), []);
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
    assert_eq!(recorded(&reports), [(OWN_ORIGIN, "second")]);
}
