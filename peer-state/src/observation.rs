//! One observation of a server: its value, age and origin, and the order that decides between two of them.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// How the first observer got to know a fact. Declared from the least to the most reliable; merging prefers
/// the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObservationSource {
    /// The endpoint list.
    EndpointList,
    /// The server's load report.
    LoadReport,
    /// The status that the server attached to an answer.
    ServerStatus,
    /// The server executed a write.
    ServedWrite,
}

/// The role of a server in its replication group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from the primary.
    Replica,
}

/// A value as it was observed, with its age and origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation<T> {
    /// What was observed.
    pub value: T,
    /// When, on the local clock; never later than it truly was.
    pub observed_at: Micros,
    /// How many proxies have forwarded it.
    pub hop_count: u8,
    /// How the observer got to know it.
    pub source: ObservationSource,
    /// The proxy that observed it.
    pub observer: u64,
}

impl<T: Copy + Ord> Observation<T> {
    /// The later observation is the greater one; of the same instant, the one forwarded less often, then the
    /// more reliable source. Observer and value only make the order total.
    fn order(&self) -> impl Ord + use<T> {
        (self.observed_at, Reverse(self.hop_count), self.source, self.observer, self.value)
    }

    /// The greater of two by a key, ties by the order of observations.
    pub(crate) fn max_by_key<K: Ord>(
        &self,
        other: &Observation<T>,
        key: impl Fn(&Observation<T>) -> K,
    ) -> Observation<T> {
        if (key(self), self.order()) >= (key(other), other.order()) { *self } else { *other }
    }

    /// The later of two.
    pub(crate) fn latest(&self, other: &Observation<T>) -> Observation<T> {
        self.max_by_key(other, |_| ())
    }

    /// How long ago it was observed.
    pub fn age(&self, now: Micros) -> Micros {
        (now - self.observed_at).max(0)
    }
}
