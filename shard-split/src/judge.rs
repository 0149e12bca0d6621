//! When a difference between a child and the group that splits is a fault, and when it proves nothing.

use crate::Micros;

/// A digest of a value, or that there is no row.
pub type Row = Option<u64>;

/// A child was read twice on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Look {
    /// What the second read gave.
    pub row: Row,
    /// The position told with the first answer: the second read has all up to it.
    pub low: Micros,
    /// The position told with the second: the second read has nothing beyond it.
    pub high: Micros,
}

/// A replica of the group that splits, read twice on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Parent {
    pub row: Row,
    /// When that row was last committed.
    pub since: Micros,
    /// The position told with the first answer, before the second read.
    pub seen: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    Agrees,
    /// The child is behind the parent's row: nothing is said of it yet.
    Late,
    /// The row changed while it was looked at, or may have.
    Unsure,
    /// The parent had this row all the while in which the child can have had its own, and they are not the same.
    Differs,
}

/// A child that is to have the row.
pub fn outcome(parent: Parent, child: Look) -> Outcome {
    if parent.row == child.row {
        return Outcome::Agrees;
    }
    if child.low < parent.since && !crate::faulty!(IgnoresChanges) {
        // It need not have it yet; if its row is older than the parent's, that is a lag.
        return if child.high < parent.since { Outcome::Late } else { Outcome::Unsure };
    }
    // A later commit may have reached the child before the parent was looked at.
    if child.high > parent.seen && !crate::faulty!(IgnoresAhead) {
        return Outcome::Unsure;
    }
    Outcome::Differs
}
