//! The status of the verification at one process, based on the comparisons of all processes.

use crate::coverage::Coverage;
use crate::difference::DifferenceCounts;
use crate::{RANGE_COUNT, Settings};
use birchreach_fault_injection::fault_injected;

/// The conditions that are not yet met for the status to be clean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IncompleteReason {
    /// The number of ranges with too few comparisons.
    pub ranges_lacking_comparisons: usize,
    /// The number of ranges in which too few processes have compared rows.
    pub ranges_lacking_processes: usize,
    /// The number of configured processes from which this process receives no reports.
    pub unreachable_members: usize,
}

/// The status of the verification over all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationStatus {
    /// All ranges are covered, reports of all configured processes are received, and no difference is confirmed.
    Clean,
    /// At least one process has confirmed a difference.
    DifferencesConfirmed(DifferenceCounts),
    /// No difference is confirmed, but a range is not covered or a configured process is unreachable.
    Incomplete(IncompleteReason),
}

impl VerificationStatus {
    /// Returns the name of the status in the log and in the admin reply.
    pub fn as_str(&self) -> &'static str {
        match self {
            VerificationStatus::Clean => "clean",
            VerificationStatus::DifferencesConfirmed(_) => "dirty",
            VerificationStatus::Incomplete(_) => "not-yet",
        }
    }
}

/// Returns the status. `reachable_members` is the number of processes that this process receives reports from,
/// including itself.
pub(crate) fn verification_status(
    coverage: &Coverage,
    settings: &Settings,
    reachable_members: usize,
) -> VerificationStatus {
    let differences = coverage.difference_counts();
    if !differences.is_empty() {
        return VerificationStatus::DifferencesConfirmed(differences);
    }
    let mut reason = IncompleteReason::default();
    for range in (0..RANGE_COUNT).map(|range| coverage.of_range(range)) {
        reason.ranges_lacking_comparisons += usize::from(range.comparisons < settings.min_comparisons);
        reason.ranges_lacking_processes += usize::from(range.processes < settings.min_processes);
    }
    if !fault_injected!(IgnoresUnreachableMembers) {
        reason.unreachable_members = settings.configured_members.saturating_sub(reachable_members);
    }
    if reason == IncompleteReason::default() {
        VerificationStatus::Clean
    } else {
        VerificationStatus::Incomplete(reason)
    }
}
