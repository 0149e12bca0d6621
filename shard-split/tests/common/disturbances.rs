//! Faults and disturbances of the databases of a simulated split.

use birchreach_shard_split::Micros;

/// A fault of the rows of one key in the children.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChildFault {
    /// The owner does not have the row.
    Missing,
    /// The non-owner has the row too.
    Extra,
    /// The owner has a different row.
    Differs,
}

/// Normal events at the databases, which must not be confirmed as differences.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Disturbances {
    /// Writes per second to a few of the keys.
    pub writes: f64,
    /// The maximum replication lag. Lags change at random.
    pub lag: Micros,
    /// Failovers of the parent per second. Each failover loses the last writes, which the children keep for another
    /// second.
    pub failovers: f64,
    /// Restarts of a child from an older state, per second.
    pub restarts: f64,
    /// The fraction of answers that are lost.
    pub lost_answers: f64,
}
