//! Checks of which received reports count.

use crate::CheckResult;
use crate::common::{SECOND, definition, header, settings};
use birchreach_fault_injection::ensure;
use birchreach_shard_split::{
    PeerReport, RANGE_COUNT, RangeCoverage, RangeDifferences, Report, SplitDefinition, SplitVerifier,
    VerificationStatus,
};

/// The parts of a report that distinguish it from the others in a test.
#[derive(Clone, Copy)]
struct SentReport {
    origin: u64,
    sequence: u64,
    /// The number of comparisons in each range.
    comparisons: u32,
}

/// Checks that each report counts once if reports arrive in different orders and some arrive twice.
pub(crate) fn check_counting() -> CheckResult {
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
    let of_another_origin = SentReport { origin: 3, sequence: 1, comparisons: 1 };
    let reports = [outdated, newest, of_another_origin, newest, of_another_origin, outdated];
    let orders: [[usize; 6]; 3] = [[0, 1, 2, 3, 4, 5], [5, 4, 3, 2, 1, 0], [1, 0, 2, 5, 3, 4]];
    for order in orders {
        let mut verifier = SplitVerifier::new(settings(3), 1, 0);

        for SentReport { origin, sequence, comparisons } in order.map(|index| reports[index]) {
            let _ = verifier.receive_report(SECOND, header(origin, sequence), &encoded(comparisons));
        }

        ensure!(
            verifier.coverage(0) == RangeCoverage { comparisons: 8, processes: 2 },
            "{order:?}: {:?}",
            verifier.coverage(0)
        );
    }
    Ok(())
}

/// Checks that a report of another definition is rejected and does not count.
pub(crate) fn check_definitions() -> CheckResult {
    let other = SplitDefinition { split_at: 1 << 30, ..definition() };
    let report = Report {
        definition_digest: other.digest(),
        compared: vec![9; RANGE_COUNT],
        differences: vec![RangeDifferences { kind: 0, range: 3, count: 1 }],
    };
    let mut verifier = SplitVerifier::new(settings(2), 1, 0);

    ensure!(
        verifier.receive_report(SECOND, header(2, 1), &report.encode()).is_err(),
        "the report is accepted"
    );
    ensure!(
        verifier.coverage(0) == RangeCoverage { comparisons: 0, processes: 0 }
            && !matches!(verifier.status(2), VerificationStatus::DifferencesConfirmed(_)),
        "the rejected report counts"
    );
    Ok(())
}
