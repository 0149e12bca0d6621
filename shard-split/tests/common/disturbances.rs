//! What goes wrong with the databases of a simulated split.

use birchreach_shard_split::Micros;

/// A fault of one key in a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChildFault {
    /// The owner lacks the row.
    Missing,
    /// The other child has the row too.
    Extra,
    /// The owner has another row.
    Differs,
}

/// What event_occurs to the databases.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Disturbances {
    /// Writes in a second, to a few of the keys.
    pub writes: f64,
    /// Replication lags change at random, up to this.
    pub lag: Micros,
    /// Failovers of the parent in a second. Each loses its last writes, which children have for another second.
    pub failovers: f64,
    /// Restarts of a child from an older state, in a second.
    pub restarts: f64,
    /// The fraction of answers that are lost.
    pub lost_answers: f64,
}
