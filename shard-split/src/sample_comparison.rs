//! When a row of a child that differs from the parent's is a fault, and when it proves nothing.

use crate::Micros;
use birchreach_fault_injection::fault_injected;

/// A digest of a row's value; none where there is no row.
pub type RowDigest = Option<u64>;

/// A child that was read twice on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PositionSample {
    /// What the second read gave.
    pub row: RowDigest,
    /// The position that came with the first answer: the second read includes all commits up to it.
    pub position_before: Micros,
    /// The position that came with the second answer: the second read includes nothing beyond it.
    pub position_after: Micros,
}

/// A replica of the parent that was read twice on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ParentSample {
    /// What the second read gave.
    pub row: RowDigest,
    /// When that row was last committed.
    pub committed_at: Micros,
    /// The position that came with the first answer, before the second read.
    pub position: Micros,
}

/// What two samples prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The rows are the same.
    Agrees,
    /// The child has not reached the commit of the parent's row yet.
    Lagging,
    /// The row changed between the samples, or may have.
    Inconclusive,
    /// The parent had its row for as long as the child may have had its own, and they are not the same.
    Differs,
}

/// Compares a child that must have the row with the parent.
pub fn compare_samples(parent: ParentSample, child: PositionSample) -> Outcome {
    if parent.row == child.row {
        return Outcome::Agrees;
    }
    if child.position_before < parent.committed_at && !fault_injected!(IgnoresCommitTime) {
        // The child need not have the parent's row yet; if it cannot have it, that is a lag.
        let cannot_have_it = child.position_after < parent.committed_at;
        return if cannot_have_it { Outcome::Lagging } else { Outcome::Inconclusive };
    }
    // A later commit may have reached the child before the parent was read.
    if child.position_after > parent.position && !fault_injected!(IgnoresLaterCommits) {
        return Outcome::Inconclusive;
    }
    Outcome::Differs
}
