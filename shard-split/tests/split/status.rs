//! Checks of the coverage that a clean status requires.

use crate::CheckResult;
use crate::common::{Disturbances, SECOND, Simulation, definition, header, settings};
use birchreach_fault_injection::ensure;
use birchreach_shard_split::{
    IncompleteReason, PeerReport, RANGE_COUNT, Report, SplitVerifier, VerificationStatus,
};

/// Returns a verifier in a fleet of three configured processes that requires two processes per range, and has received
/// equal reports of three origins.
fn verifier_with_reports(compared: impl Fn(usize) -> u32) -> SplitVerifier {
    let settings = birchreach_shard_split::Settings { min_processes: 2, ..settings(3) };
    let mut verifier = SplitVerifier::new(settings, 1, 0);
    let compared = (0..RANGE_COUNT).map(compared).collect();
    let report = Report { definition_digest: definition().digest(), compared, differences: vec![] }.encode();
    for origin in 2..=4 {
        let _ = verifier.receive_report(SECOND, header(origin, 1), &report);
    }
    verifier
}

pub(crate) fn check_clean_status() -> CheckResult {
    let covered = verifier_with_reports(|_| 1).status(3);
    ensure!(
        covered == VerificationStatus::Clean,
        "three processes with one comparison each do not cover the ranges: {covered:?}"
    );

    let one_uncovered = verifier_with_reports(|range| u32::from(range != 7)).status(3);
    let reason = IncompleteReason {
        ranges_lacking_comparisons: 1,
        ranges_lacking_processes: 1,
        ..IncompleteReason::default()
    };
    ensure!(
        one_uncovered == VerificationStatus::Incomplete(reason),
        "with one uncovered range: {one_uncovered:?}"
    );

    let partitioned = verifier_with_reports(|_| 9).status(2);
    let reason = IncompleteReason { unreachable_members: 1, ..IncompleteReason::default() };
    ensure!(
        partitioned == VerificationStatus::Incomplete(reason),
        "with an unreachable member: {partitioned:?}"
    );
    check_comparisons_expire()
}

/// Checks that comparisons older than the window do not count, and that a report without comparisons covers no range.
fn check_comparisons_expire() -> CheckResult {
    let mut simulation = Simulation::new(1, 1, 600, Disturbances::default());
    simulation.advance(60 * SECOND, 200.0);
    let status = simulation.verifiers[0].status(1);
    ensure!(status == VerificationStatus::Clean, "{status:?}");

    simulation.advance(700 * SECOND, 0.0);
    let status = simulation.verifiers[0].status(1);
    let is_uncovered = matches!(status, VerificationStatus::Incomplete(reason) if reason.ranges_lacking_comparisons == RANGE_COUNT);
    ensure!(is_uncovered, "{status:?}");

    let mut verifier = SplitVerifier::new(settings(1), 1, 0);
    let has_reported = verifier.report_if_due(2 * SECOND).is_some();
    ensure!(
        has_reported && matches!(verifier.status(1), VerificationStatus::Incomplete(_)),
        "the status is clean without any comparison"
    );
    Ok(())
}
