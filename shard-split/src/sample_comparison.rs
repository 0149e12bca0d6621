//! The rule that decides whether a difference between a child's row and the parent's row proves a fault.

use crate::Micros;
use birchreach_fault_injection::fault_injected;

/// A digest of a row's value, or `None` if the database has no such row.
pub type RowDigest = Option<u64>;

/// The result of two reads of a child on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PositionSample {
    /// The result of the second read.
    pub row: RowDigest,
    /// The position in the first answer. The second read includes all commits up to this position.
    pub position_before: Micros,
    /// The position in the second answer. The second read includes no commits beyond this position.
    pub position_after: Micros,
}

/// The result of two reads of a replica of the parent on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ParentSample {
    /// The result of the second read.
    pub row: RowDigest,
    /// When the row was last committed.
    pub committed_at: Micros,
    /// The position in the first answer, which was taken before the second read.
    pub position: Micros,
}

/// What the samples of the parent and of the owner prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ComparisonOutcome {
    /// The rows are the same.
    Agrees,
    /// The child has not yet reached the commit of the parent's row.
    Lagging,
    /// The row changed or may have changed between the samples.
    Inconclusive,
    /// The rows differ, although the parent had its row at every position at which the child may have been read.
    Differs,
}

/// Compares the samples of the parent and of the child that owns the key.
pub fn compare_samples(parent: ParentSample, child: PositionSample) -> ComparisonOutcome {
    if parent.row == child.row {
        return ComparisonOutcome::Agrees;
    }
    if child.position_before < parent.committed_at && !fault_injected!(IgnoresCommitTime) {
        // The child need not have the parent's row yet. It lags if it cannot have the row.
        let cannot_have_row = child.position_after < parent.committed_at;
        return if cannot_have_row { ComparisonOutcome::Lagging } else { ComparisonOutcome::Inconclusive };
    }
    // The child may include a commit beyond the position that the parent's sample is known to include.
    if child.position_after > parent.position && !fault_injected!(IgnoresLaterCommits) {
        return ComparisonOutcome::Inconclusive;
    }
    ComparisonOutcome::Differs
}
