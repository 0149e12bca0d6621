//! What cannot be read changes nothing, and what has enough is asked seldom.

mod common;
use birchreach_shard_split::{Definition, RANGES, Report, SplitVerifier};
use common::{S, Trouble, World, definition, key, settings};

#[test]
fn noise_changes_nothing() {
    let mut rng = fastrand::Rng::with_seed(3);
    let report = Report {
        definition_digest: definition().digest(),
        compared: vec![300; RANGES],
        differences: vec![(1, 2, 3)],
    };
    let good = report.encode();
    let mut split = SplitVerifier::new(settings(2), 1, 0);
    for n in 0..50_000u64 {
        let mut bytes = good.clone();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let _ = split.receive_report(S, rng.u64(..), n, 0, &bytes);
    }
    assert!(split.origin_count() <= 4_096);
    for cut in 0..good.len() {
        assert!(Report::decode(&good[..cut]).is_err(), "{cut} bytes of it");
    }
    let bad = |report: Report| Report::decode(&report.encode()).is_err();
    assert!(bad(Report { compared: vec![1; RANGES + 1], ..report.clone() }));
    assert!(bad(Report { differences: vec![(3, 0, 1)], ..report.clone() }));
    assert!(bad(Report { differences: vec![(0, RANGES as u8, 1)], ..report }));
}

#[test]
fn ranges_that_lack_coverage_are_sampled_first() {
    let mut world = World::new(4, 2, 600, Trouble::default());
    world.pass(2 * S, 200.0);
    let before = world.asked;
    world.pass(58 * S, 200.0);
    let covered = world.asked;
    world.pass(2 * S, 200.0);
    let after = world.asked - covered;
    assert!(after * 4 < before, "{before} questions in two seconds, {after} once all is covered");
    assert_eq!(Definition::range(Definition::hash(&key(0))), Definition::range(Definition::hash(b"key-0")));
}
