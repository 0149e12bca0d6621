//! Malformed reports change nothing, and ranges that are covered are seldom queried.

mod common;
use birchreach_shard_split::{Definition, RANGES, RangeDifferences, Report, SplitVerifier};
use common::{Disturbances, SECOND, World, definition, header, key, settings};

fn entry(kind: u8, range: u8, count: u32) -> RangeDifferences {
    RangeDifferences { kind, range, count }
}

#[test]
fn malformed_reports_change_nothing() {
    let mut rng = fastrand::Rng::with_seed(3);
    let report = Report {
        definition_digest: definition().digest(),
        compared: vec![300; RANGES],
        differences: vec![entry(1, 2, 3)],
    };
    let valid = report.encode();
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
    for cut in 0..valid.len() {
        assert!(Report::decode(&valid[..cut]).is_err(), "{cut} bytes of it");
    }
    let is_rejected = |report: Report| Report::decode(&report.encode()).is_err();
    assert!(is_rejected(Report { compared: vec![1; RANGES + 1], ..report.clone() }));
    assert!(is_rejected(Report { differences: vec![entry(3, 0, 1)], ..report.clone() }));
    assert!(is_rejected(Report { differences: vec![entry(0, RANGES as u8, 1)], ..report }));
}

#[test]
fn covered_ranges_are_queried_less() {
    let mut world = World::new(4, 2, 600, Disturbances::default());
    world.pass(2 * SECOND, 200.0);
    let before = world.queries;
    world.pass(58 * SECOND, 200.0);
    let covered = world.queries;
    world.pass(2 * SECOND, 200.0);
    let after = world.queries - covered;
    assert!(after * 4 < before, "{before} queries in two seconds, {after} once all is covered");
    assert_eq!(Definition::range(Definition::hash(&key(0))), Definition::range(Definition::hash(b"key-0")));
}
