//! Which differences are confirmed, what is covered, and the verdict; and each check finds the fault that breaks what it holds.

#[path = "../common/mod.rs"]
mod common;
mod verdicts;

use birchreach_fault_injection::ensure;
use birchreach_shard_split::faults::{Fault, with};
use birchreach_shard_split::{
    ComparisonQuery, Definition, DueQuery, ParentSample, PositionSample, QueryResult, RANGES, RangeCoverage,
    RangeDifferences, Report, SplitVerifier, Verdict,
};
use common::{ChildFault, Disturbances, SECOND, World, definition, key, settings};
use verdicts::check_clean_verdict;

type CheckResult = Result<(), String>;

const ROUGH_DISTURBANCES: Disturbances =
    Disturbances { writes: 15.0, lag: 2 * SECOND, failovers: 0.1, restarts: 0.05, lost: 0.05 };

fn check_no_false_difference() -> CheckResult {
    for seed in 0..40 {
        let mut world = World::new(seed, 3, 60, ROUGH_DISTURBANCES);
        world.pass(60 * SECOND, 60.0);
        let (_, wrong) = world.found();
        ensure!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        let agreed: u64 = world.all.iter().map(|s| s.counts().agreed).sum();
        ensure!(agreed > 300, "seed {seed}: hardly anything was compared: {agreed}");
    }
    Ok(())
}

fn check_faults_are_confirmed() -> CheckResult {
    for seed in 0..15 {
        let mut world =
            World::new(seed, 3, 60, Disturbances { failovers: 0.02, restarts: 0.01, ..ROUGH_DISTURBANCES });
        // Some of them in keys that are written all the time.
        for (n, fault) in [
            (3, ChildFault::Other),
            (17, ChildFault::Missing),
            (30, ChildFault::Extra),
            (45, ChildFault::Missing),
            (52, ChildFault::Other),
        ] {
            world.faults.insert(n, fault);
        }
        world.pass(150 * SECOND, 60.0);
        let (found, wrong) = world.found();
        ensure!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        ensure!(found.len() == 5, "seed {seed}: of five only {found:?}");
        let heard = world.all.len();
        let dirty = world.all.iter().all(|s| matches!(s.verdict(heard), Verdict::Dirty(_)));
        ensure!(dirty, "seed {seed}: {:?}", world.all[0].verdict(heard));
    }
    Ok(())
}

fn check_counting() -> CheckResult {
    let of = |n: u32| {
        let report = Report {
            definition_digest: definition().digest(),
            compared: vec![n; RANGES],
            differences: vec![],
        };
        report.encode()
    };
    // Origin, sequence, comparisons: received in several orders, some twice.
    let reports = [(2u64, 1u64, 5u32), (2, 2, 7), (3, 1, 1), (2, 2, 7), (3, 1, 1), (2, 1, 5)];
    let orders: [[usize; 6]; 3] = [[0, 1, 2, 3, 4, 5], [5, 4, 3, 2, 1, 0], [1, 0, 2, 5, 3, 4]];
    for order in orders {
        let mut split = SplitVerifier::new(settings(3), 1, 0);
        for (origin, number, n) in order.map(|i| reports[i]) {
            let _ = split.receive_report(SECOND, origin, number, 0, &of(n));
        }
        ensure!(
            split.coverage(0) == RangeCoverage { comparisons: 8, processes: 2 },
            "{order:?}: {:?}",
            split.coverage(0)
        );
    }
    Ok(())
}

fn check_definitions() -> CheckResult {
    let other = Definition { split_at: 1 << 30, ..definition() };
    let report = Report {
        definition_digest: other.digest(),
        compared: vec![9; RANGES],
        differences: vec![RangeDifferences { kind: 0, range: 3, count: 1 }],
    };
    let mut split = SplitVerifier::new(settings(2), 1, 0);
    ensure!(split.receive_report(SECOND, 2, 1, 0, &report.encode()).is_err(), "it is taken");
    ensure!(
        split.coverage(0) == RangeCoverage { comparisons: 0, processes: 0 }
            && !matches!(split.verdict(2), Verdict::Dirty(_)),
        "it counts"
    );
    Ok(())
}

fn check_bounds() -> CheckResult {
    let mut world = World::new(2, 1, 3_000, Disturbances { lost: 0.0, ..Disturbances::default() });
    world.faults.extend((0..3_000).map(|n| (n, ChildFault::Other)));
    world.pass(120 * SECOND, 400.0);
    let split = &world.all[0];
    let flags = split.differences().count();
    ensure!(flags > 100, "it shows nothing: {flags}");
    ensure!(
        split.comparison_count() <= 64 && flags <= 4 * RANGES,
        "{} in progress, {flags} differences",
        split.comparison_count()
    );
    let mut flooded = SplitVerifier::new(settings(2), 1, 0);
    let report =
        Report { definition_digest: definition().digest(), compared: vec![1; RANGES], differences: vec![] }
            .encode();
    (2..10_000).for_each(|origin| {
        let _ = flooded.receive_report(SECOND, origin, 1, 0, &report);
    });
    ensure!(flooded.origin_count() <= 4_096, "{} origins", flooded.origin_count());
    Ok(())
}

/// A difference that is found twice is not confirmed where a restart or a failover lies in between.
fn check_processes() -> CheckResult {
    let mut split = SplitVerifier::new(settings(1), 1, 0);
    let (low, high, seen) = (10 * SECOND, 11 * SECOND, 12 * SECOND);
    split.record_read(0, 0, &key(1), Some(1));
    let confirmed = |split: &mut SplitVerifier, now, child, parent| {
        let mut confirmed = None;
        while let Some(DueQuery { comparison: number, query, .. }) = split.due_queries(now, 1).pop() {
            let result = match query {
                ComparisonQuery::SingleRead(_) => {
                    QueryResult::SingleRead { row: Some(2), position: Some(low) }
                }
                ComparisonQuery::Sample(_) => QueryResult::Sample {
                    sample: PositionSample { row: Some(2), position_before: low, position_after: high },
                    process: child,
                },
                ComparisonQuery::SampleParent => QueryResult::ParentSample {
                    sample: ParentSample { row: Some(1), committed_at: SECOND, position: seen },
                    process: parent,
                },
            };
            confirmed = split.record_result(now, number, result);
        }
        confirmed
    };
    ensure!(confirmed(&mut split, 20 * SECOND, 1, 1).is_none(), "at once");
    ensure!(confirmed(&mut split, 24 * SECOND, 1, 2).is_none(), "the parent failed over in between");
    ensure!(confirmed(&mut split, 28 * SECOND, 2, 2).is_none(), "the child was restarted in between");
    ensure!(confirmed(&mut split, 32 * SECOND, 2, 2).is_some(), "it lasts, and is not found");
    Ok(())
}

#[test]
fn a_difference_is_confirmed_by_the_same_processes_only() {
    check_processes().unwrap();
}

#[test]
fn only_faults_are_confirmed() {
    check_no_false_difference().unwrap();
}

#[test]
fn persistent_faults_are_confirmed() {
    check_faults_are_confirmed().unwrap();
}

#[test]
fn reports_count_once_in_any_order() {
    check_counting().unwrap();
}

#[test]
fn reports_of_another_definition_do_not_count() {
    check_definitions().unwrap();
}

#[test]
fn the_verdict_is_clean_only_for_full_coverage() {
    check_clean_verdict().unwrap();
}

#[test]
fn tables_are_bounded() {
    check_bounds().unwrap();
}

#[test]
fn each_injected_fault_is_found() {
    let all: [(Fault, fn() -> CheckResult); 8] = [
        (Fault::IgnoresCommitTime, check_no_false_difference),
        (Fault::SkipsConfirmation, check_no_false_difference),
        (Fault::IgnoresRestarts, check_processes),
        (Fault::NeverConfirms, check_faults_are_confirmed),
        (Fault::CountsTwice, check_counting),
        (Fault::MixesDefinitions, check_definitions),
        (Fault::CleanWhileMembersMissing, check_clean_verdict),
        (Fault::KeepsEverything, check_bounds),
    ];
    for (fault, check) in all {
        assert!(with(fault, check).is_err(), "{fault:?} was not found");
    }
}
