//! Invariants of confirmed differences, coverage and status. A further test injects faults, each of which breaks one
//! invariant, and verifies that the check of this invariant fails.

#[path = "../common/mod.rs"]
mod common;
mod reports;
mod status;

use birchreach_fault_injection::ensure;
use birchreach_shard_split::faults::{Fault, run_with_fault};
use birchreach_shard_split::{
    ComparisonQuery, DueQuery, ParentSample, PeerReport, PositionSample, QueryResult, RANGE_COUNT, Report,
    SplitVerifier, VerificationStatus,
};
use common::{
    ChildFault, ConfirmedKeys, Disturbances, SECOND, Simulation, definition, header, key, settings,
};
use reports::{check_counting, check_definitions};
use status::check_clean_status;

type CheckResult = Result<(), String>;

const FREQUENT_DISTURBANCES: Disturbances =
    Disturbances { writes: 15.0, lag: 2 * SECOND, failovers: 0.1, restarts: 0.05, lost_answers: 0.05 };

/// Checks that no difference is confirmed under writes, replication lag, restarts and failovers.
fn check_no_false_difference() -> CheckResult {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, 3, 60, FREQUENT_DISTURBANCES);

        simulation.advance(60 * SECOND, 60.0);

        let wrong = simulation.confirmed_keys().wrong;
        ensure!(wrong.is_empty(), "seed {seed}: wrongly confirmed: {wrong:?}");
        let agreed: u64 = simulation.verifiers.iter().map(|verifier| verifier.counts().agreed).sum();
        ensure!(agreed > 300, "seed {seed}: too few comparisons ended in agreement: {agreed}");
    }
    Ok(())
}

/// Checks that each kind of fault is confirmed, even for keys that are written frequently.
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
        ensure!(wrong.is_empty(), "seed {seed}: wrongly confirmed: {wrong:?}");
        ensure!(faulty.len() == 5, "seed {seed}: only these of five faults were confirmed: {faulty:?}");
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

/// Checks the limits on comparisons in progress, stored differences and origins.
fn check_bounds() -> CheckResult {
    // Given a simulation in which every key has a fault.
    let mut simulation =
        Simulation::new(2, 1, 3_000, Disturbances { lost_answers: 0.0, ..Disturbances::default() });
    simulation.databases.faults.extend((0..3_000).map(|number| (number, ChildFault::Differs)));
    simulation.advance(120 * SECOND, 400.0);

    // Then comparisons and differences are bounded.
    let verifier = &simulation.verifiers[0];
    let differences = verifier.differences().count();
    ensure!(differences > 100, "only {differences} differences are stored");
    ensure!(
        verifier.comparison_count() <= 64 && differences <= 4 * RANGE_COUNT,
        "{} in progress, {differences} differences",
        verifier.comparison_count()
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

/// Checks that a difference that is found twice is not confirmed if a restart or a failover occurred in between.
fn check_processes() -> CheckResult {
    let mut verifier = SplitVerifier::new(settings(1), 1, 0);
    let (position_before, position_after, parent_position) = (10 * SECOND, 11 * SECOND, 12 * SECOND);
    verifier.record_read(0, 0, &key(1), Some(1));
    let confirmed = |verifier: &mut SplitVerifier, now, child, parent| {
        let mut confirmed = None;
        while let Some(DueQuery { comparison: number, query, .. }) = verifier.due_queries(now, 1).pop() {
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
            confirmed = verifier.record_result(now, number, result);
        }
        confirmed
    };

    ensure!(confirmed(&mut verifier, 20 * SECOND, 1, 1).is_none(), "confirmed at the first sample");
    ensure!(
        confirmed(&mut verifier, 24 * SECOND, 1, 2).is_none(),
        "confirmed although the parent failed over in between"
    );
    ensure!(
        confirmed(&mut verifier, 28 * SECOND, 2, 2).is_none(),
        "confirmed although the child was restarted in between"
    );
    ensure!(
        confirmed(&mut verifier, 32 * SECOND, 2, 2).is_some(),
        "not confirmed although the difference persists"
    );
    Ok(())
}

#[test]
fn a_difference_is_confirmed_only_by_the_same_database_processes() {
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
fn each_injected_fault_fails_its_check() {
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
        assert!(run_with_fault(fault, check).is_err(), "the check passes with {fault:?} injected");
    }
}
