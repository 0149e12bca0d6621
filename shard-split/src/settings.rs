//! The verifier's settings, and its counts of how comparisons ended.

use crate::{Micros, SplitDefinition};

/// What is compared, and when a range is covered.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The group that splits, and its children.
    pub definition: SplitDefinition,
    /// Comparisons that each range needs within the window.
    pub min_comparisons: u32,
    /// Processes that have to compare in each range within the window.
    pub min_processes: usize,
    /// How long a comparison counts.
    pub coverage_window: Micros,
    /// How long a difference has to persist until it is confirmed.
    pub confirmation_delay: Micros,
    /// How many processes the options name.
    pub configured_members: usize,
}

/// How comparisons of this process ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ComparisonCounts {
    /// Were started.
    pub started: u64,
    /// Found no difference.
    pub agreed: u64,
    /// Ended as the child was behind the parent's row each time.
    pub lagging: u64,
    /// Ended as the row changed each time, or may have.
    pub inconclusive: u64,
    /// Ended without the answers that they needed.
    pub unanswered: u64,
    /// Confirmed a difference.
    pub confirmed: u64,
    /// Were not started, as too many were in progress.
    pub rejected: u64,
}
