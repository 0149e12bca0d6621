//! The verdict of one process on what all have compared.

use crate::coverage::Coverage;
use crate::difference::DifferenceCounts;
use crate::{RANGE_COUNT, Settings};
use birchreach_fault_injection::fault_injected;

/// What is missing until the verdict can be clean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IncompleteReason {
    /// Ranges with too few comparisons.
    pub ranges_lacking_comparisons: usize,
    /// Ranges that too few processes have compared.
    pub ranges_lacking_processes: usize,
    /// Configured processes from which this one receives nothing.
    pub unreachable_members: usize,
}

/// The result of all comparisons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationStatus {
    /// All ranges are covered, and no difference is confirmed.
    Clean,
    /// Differences are confirmed.
    DifferencesConfirmed(DifferenceCounts),
    /// No difference is confirmed, but not all is covered.
    Incomplete(IncompleteReason),
}

impl VerificationStatus {
    /// The verdict as operators see it.
    pub fn as_str(&self) -> &'static str {
        match self {
            VerificationStatus::Clean => "clean",
            VerificationStatus::DifferencesConfirmed(_) => "dirty",
            VerificationStatus::Incomplete(_) => "not-yet",
        }
    }
}

/// The verdict. `reachable_members` is the number of processes that this one receives from, itself included.
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
