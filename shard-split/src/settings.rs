//! The settings of the verifier, and the counts of ended comparisons.

use crate::{Micros, SplitDefinition};

/// The settings of the verifier: the split, and the conditions for coverage and confirmation.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The group that is split, and its children.
    pub definition: SplitDefinition,
    /// The number of comparisons that each range needs within the window.
    pub min_comparisons: u32,
    /// The number of processes that must have compared rows of each range within the window.
    pub min_processes: usize,
    /// The length of the window, which is the time for which a comparison counts.
    pub coverage_window: Micros,
    /// The time for which a difference must persist before it is confirmed.
    pub confirmation_delay: Micros,
    /// The number of processes that the options name.
    pub configured_members: usize,
}

/// The number of this process's comparisons, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ComparisonCounts {
    /// Comparisons that were started.
    pub started: u64,
    /// Comparisons that found no difference.
    pub agreed: u64,
    /// Comparisons that ended after the last retry because the child had not reached the commit of the parent's row.
    pub lagging: u64,
    /// Comparisons that ended after the last retry because the row changed or may have changed, or a difference could
    /// not be confirmed.
    pub inconclusive: u64,
    /// Comparisons that ended because a required answer was missing.
    pub unanswered: u64,
    /// Comparisons that confirmed a difference.
    pub confirmed: u64,
    /// Comparisons that were not started because too many were in progress.
    pub rejected: u64,
}
