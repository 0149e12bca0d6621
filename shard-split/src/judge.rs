//! When a difference between a child and the group that splits is a fault, and when it proves nothing.

use crate::Micros;
use birchreach_fault_injection::fault_injected;

/// A digest of a value, or that there is no row.
pub type Row = Option<u64>;

/// A child was read twice on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PositionSample {
    /// What the second read gave.
    pub row: Row,
    /// The position told with the first answer: the second read has all up to it.
    pub position_before: Micros,
    /// The position told with the second: the second read has nothing beyond it.
    pub position_after: Micros,
}

/// A replica of the group that splits, read twice on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ParentSample {
    pub row: Row,
    /// When that row was last committed.
    pub committed_at: Micros,
    /// The position told with the first answer, before the second read.
    pub position: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    Agrees,
    /// The child is behind the parent's row: nothing is said of it yet.
    Lagging,
    /// The row changed while it was looked at, or may have.
    Inconclusive,
    /// The parent had this row all the while in which the child can have had its own, and they are not the same.
    Differs,
}

/// A child that is to have the row.
pub fn judge(parent: ParentSample, child: PositionSample) -> Outcome {
    if parent.row == child.row {
        return Outcome::Agrees;
    }
    if child.position_before < parent.committed_at && !fault_injected!(IgnoresCommitTime) {
        // It need not have it yet; if its row is older than the parent's, that is a lag.
        return if child.position_after < parent.committed_at {
            Outcome::Lagging
        } else {
            Outcome::Inconclusive
        };
    }
    // A later commit may have reached the child before the parent was looked at.
    if child.position_after > parent.position && !fault_injected!(IgnoresLaterCommits) {
        return Outcome::Inconclusive;
    }
    Outcome::Differs
}
