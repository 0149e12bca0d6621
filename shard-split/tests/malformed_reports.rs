//! Malformed reports are rejected, and what is kept of all that is received is bounded.

mod common;
use birchreach_shard_split::{RANGES, RangeDifferences, Report, SplitVerifier};
use common::{SECOND, definition, header, settings};

fn entry(kind: u8, range: u8, count: u32) -> RangeDifferences {
    RangeDifferences { kind, range, count }
}

fn valid_report() -> Report {
    Report {
        definition_digest: definition().digest(),
        compared: vec![300; RANGES],
        differences: vec![entry(1, 2, 3)],
    }
}

#[test]
fn kept_reports_are_bounded_whatever_is_received() {
    let mut rng = fastrand::Rng::with_seed(3);
    let valid = valid_report().encode();
    let mut split = SplitVerifier::new(settings(2), 1, 0);

    for sequence in 0..50_000u64 {
        let mut bytes = valid.clone();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let _ = split.receive_report(SECOND, header(rng.u64(..), sequence), &bytes);
    }

    assert!(split.origin_count() <= 4_096);
}

#[test]
fn malformed_reports_are_rejected() {
    let valid = valid_report().encode();
    for length in 0..valid.len() {
        assert!(Report::decode(&valid[..length]).is_err(), "{length} bytes of it");
    }

    let is_rejected = |report: Report| Report::decode(&report.encode()).is_err();
    assert!(is_rejected(Report { compared: vec![1; RANGES + 1], ..valid_report() }));
    assert!(is_rejected(Report { differences: vec![entry(3, 0, 1)], ..valid_report() }));
    assert!(is_rejected(Report { differences: vec![entry(0, RANGES as u8, 1)], ..valid_report() }));
}
