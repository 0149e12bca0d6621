//! Which differences are confirmed, what is covered, and the verdict; and each check finds the fault that breaks what
//! it holds.

#[path = "../common/mod.rs"]
mod common;
mod status;

use birchreach_fault_injection::ensure;
use birchreach_shard_split::faults::{Fault, with};
use birchreach_shard_split::{
    ComparisonQuery, DueQuery, ParentSample, PeerReport, PositionSample, QueryResult, RANGE_COUNT,
    RangeCoverage, RangeDifferences, Report, SplitDefinition, SplitVerifier, VerificationStatus,
};
use common::{
    ChildFault, ConfirmedKeys, Disturbances, SECOND, Simulation, definition, header, key, settings,
};
use status::check_clean_status;

type CheckResult = Result<(), String>;

const FREQUENT_DISTURBANCES: Disturbances =
    Disturbances { writes: 15.0, lag: 2 * SECOND, failovers: 0.1, restarts: 0.05, lost_answers: 0.05 };

/// Writes, lags, restarts and failovers confirm no difference.
fn check_no_false_difference() -> CheckResult {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, 3, 60, FREQUENT_DISTURBANCES);

        simulation.advance(60 * SECOND, 60.0);

        let wrong = simulation.confirmed_keys().wrong;
        ensure!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        let agreed: u64 = simulation.verifiers.iter().map(|verifier| verifier.counts().agreed).sum();
        ensure!(agreed > 300, "seed {seed}: hardly anything was compared: {agreed}");
    }
    Ok(())
}

/// Each kind of fault is confirmed, also in keys that are written all the time.
fn check_faults_are_confirmed() -> CheckResult {
    let faults = [
        (3, ChildFault::Differs),
        (17, ChildFault::Missing),
        (30, ChildFault::Extra),
        (45, ChildFault::Missing),
        (52, ChildFault::Differs),
    ];
    for seed in 0..15 {
        let mut simulation = Simulation::new(
            seed,
            3,
            60,
            Disturbances { failovers: 0.02, restarts: 0.01, ..FREQUENT_DISTURBANCES },
        );
        simulation.databases.faults.extend(faults);

        simulation.advance(150 * SECOND, 60.0);

        let ConfirmedKeys { faulty, wrong } = simulation.confirmed_keys();
        ensure!(wrong.is_empty(), "seed {seed}: {wrong:?}");
        ensure!(faulty.len() == 5, "seed {seed}: of five only {faulty:?}");
        let members = simulation.verifiers.len();
        let has_differences = |verifier: &SplitVerifier| {
            matches!(verifier.status(members), VerificationStatus::DifferencesConfirmed(_))
        };
        ensure!(
            simulation.verifiers.iter().all(has_differences),
            "seed {seed}: {:?}",
            simulation.verifiers[0].status(members)
        );
    }
    Ok(())
}

/// A report that a verifier receives.
#[derive(Clone, Copy)]
struct SentReport {
    origin: u64,
    sequence: u64,
    /// Comparisons in each range.
    comparisons: u32,
}

/// Reports count once, received in several orders, some twice.
fn check_counting() -> CheckResult {
    let encoded = |comparisons: u32| {
        let report = Report {
            definition_digest: definition().digest(),
            compared: vec![comparisons; RANGE_COUNT],
            differences: vec![],
        };
        report.encode()
    };
    let outdated = SentReport { origin: 2, sequence: 1, comparisons: 5 };
    let newest = SentReport { origin: 2, sequence: 2, comparisons: 7 };
    let of_another = SentReport { origin: 3, sequence: 1, comparisons: 1 };
    let reports = [outdated, newest, of_another, newest, of_another, outdated];
    let orders: [[usize; 6]; 3] = [[0, 1, 2, 3, 4, 5], [5, 4, 3, 2, 1, 0], [1, 0, 2, 5, 3, 4]];
    for order in orders {
        let mut split = SplitVerifier::new(settings(3), 1, 0);

        for SentReport { origin, sequence, comparisons } in order.map(|index| reports[index]) {
            let _ = split.receive_report(SECOND, header(origin, sequence), &encoded(comparisons));
        }

        ensure!(
            split.coverage(0) == RangeCoverage { comparisons: 8, processes: 2 },
            "{order:?}: {:?}",
            split.coverage(0)
        );
    }
    Ok(())
}

/// A report of another definition is rejected and counts nowhere.
fn check_definitions() -> CheckResult {
    let other = SplitDefinition { split_at: 1 << 30, ..definition() };
    let report = Report {
        definition_digest: other.digest(),
        compared: vec![9; RANGE_COUNT],
        differences: vec![RangeDifferences { kind: 0, range: 3, count: 1 }],
    };
    let mut split = SplitVerifier::new(settings(2), 1, 0);

    ensure!(split.receive_report(SECOND, header(2, 1), &report.encode()).is_err(), "it is accepted");
    ensure!(
        split.coverage(0) == RangeCoverage { comparisons: 0, processes: 0 }
            && !matches!(split.status(2), VerificationStatus::DifferencesConfirmed(_)),
        "it counts"
    );
    Ok(())
}

/// Comparisons in progress, differences and origins are bounded.
fn check_bounds() -> CheckResult {
    // Given a simulation in which every key differs.
    let mut simulation =
        Simulation::new(2, 1, 3_000, Disturbances { lost_answers: 0.0, ..Disturbances::default() });
    simulation.databases.faults.extend((0..3_000).map(|number| (number, ChildFault::Differs)));
    simulation.advance(120 * SECOND, 400.0);

    // Then comparisons and differences are bounded.
    let split = &simulation.verifiers[0];
    let differences = split.differences().count();
    ensure!(differences > 100, "it shows nothing: {differences}");
    ensure!(
        split.comparison_count() <= 64 && differences <= 4 * RANGE_COUNT,
        "{} in progress, {differences} differences",
        split.comparison_count()
    );

    // When more origins report than are kept, then their number is bounded.
    let mut flooded = SplitVerifier::new(settings(2), 1, 0);
    let report = Report {
        definition_digest: definition().digest(),
        compared: vec![1; RANGE_COUNT],
        differences: vec![],
    }
    .encode();
    for origin in 2..10_000 {
        let _ = flooded.receive_report(SECOND, header(origin, 1), &report);
    }
    ensure!(flooded.origin_count() <= 4_096, "{} origins", flooded.origin_count());
    Ok(())
}

/// A difference that is found twice is not confirmed where a restart or a failover lies in between.
fn check_processes() -> CheckResult {
    let mut split = SplitVerifier::new(settings(1), 1, 0);
    let (position_before, position_after, parent_position) = (10 * SECOND, 11 * SECOND, 12 * SECOND);
    split.record_read(0, 0, &key(1), Some(1));
    let confirmed = |split: &mut SplitVerifier, now, child, parent| {
        let mut confirmed = None;
        while let Some(DueQuery { comparison: number, query, .. }) = split.due_queries(now, 1).pop() {
            let result = match query {
                ComparisonQuery::SingleRead(_) => {
                    QueryResult::SingleRead { row: Some(2), position: Some(position_before) }
                }
                ComparisonQuery::Sample(_) => QueryResult::Sample {
                    sample: PositionSample { row: Some(2), position_before, position_after },
                    process: child,
                },
                ComparisonQuery::SampleParent => QueryResult::ParentSample {
                    sample: ParentSample { row: Some(1), committed_at: SECOND, position: parent_position },
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
    ensure!(confirmed(&mut split, 32 * SECOND, 2, 2).is_some(), "it persists, and is not confirmed");
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
fn the_status_is_clean_only_with_full_coverage() {
    check_clean_status().unwrap();
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
        (Fault::CountsReportsTwice, check_counting),
        (Fault::AcceptsOtherDefinitions, check_definitions),
        (Fault::IgnoresUnreachableMembers, check_clean_status),
        (Fault::SkipsLimits, check_bounds),
    ];
    for (fault, check) in all {
        assert!(with(fault, check).is_err(), "{fault:?} was not found");
    }
}
