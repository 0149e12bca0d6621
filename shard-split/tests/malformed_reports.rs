//! Rejection of reports, with its reason, and the limit on the number of stored reports.

mod common;
use birchreach_shard_split::{PeerReport, RANGE_COUNT, RangeDifferences, Report, SplitVerifier};
use common::{SECOND, definition, header, settings};

fn entry(kind: u8, range: u8, count: u32) -> RangeDifferences {
    RangeDifferences { kind, range, count }
}

fn valid_report() -> Report {
    Report {
        definition_digest: definition().digest(),
        compared: vec![300; RANGE_COUNT],
        differences: vec![entry(1, 2, 3)],
    }
}

#[test]
fn kept_reports_are_bounded() {
    let mut rng = fastrand::Rng::with_seed(3);
    let valid = valid_report().encode();
    let mut verifier = SplitVerifier::new(settings(2), 1, 0);

    for sequence in 0..50_000u64 {
        let mut bytes = valid.clone();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let _ = verifier.receive_report(SECOND, header(rng.u64(..), sequence), &bytes);
    }

    assert!(verifier.origin_count() <= 4_096);
}

#[test]
fn malformed_reports_are_rejected() {
    let valid = valid_report().encode();

    for length in 0..valid.len() {
        assert!(Report::decode(&valid[..length]).is_err(), "{length} bytes of a report are accepted");
    }

    let is_rejected = |report: Report| Report::decode(&report.encode()).is_err();
    assert!(is_rejected(Report { compared: vec![1; RANGE_COUNT + 1], ..valid_report() }));
    assert!(is_rejected(Report { differences: vec![entry(3, 0, 1)], ..valid_report() }));
    assert!(is_rejected(Report { differences: vec![entry(0, RANGE_COUNT as u8, 1)], ..valid_report() }));
}

#[test]
fn the_error_for_a_rejected_report_has_a_label_and_a_text() {
    // Given a verifier that keeps a report of another process.
    let valid = valid_report().encode();
    let of_another_definition = Report { definition_digest: 0, ..valid_report() }.encode();
    let mut verifier = SplitVerifier::new(settings(2), 1, 0);
    assert!(verifier.receive_report(SECOND, header(2, 5), &valid).is_ok());
    let mut rejection = |origin, bytes: &[u8]| {
        let error = verifier.receive_report(SECOND, header(origin, 5), bytes).unwrap_err();
        (error.as_str(), error.to_string())
    };

    // When the verifier rejects reports for different reasons.
    let malformed = rejection(3, &[]);
    let mismatched = rejection(3, &of_another_definition);
    let outdated = rejection(2, &valid);

    // Then each reason has its label and its text.
    assert_eq!(malformed, ("form", "the report of comparisons is malformed".into()));
    assert_eq!(mismatched, ("other-definition", "the report is of another definition of the split".into()));
    assert_eq!(outdated, ("old", "a newer report of this origin was received before".into()));
}
