//! An observation of a server: its value, time and origin, and the order that decides which of two is kept.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// The source from which the first observer learned a fact. The variants are declared in ascending order of
/// reliability. Of two observations with the same time and number of hops, a merge prefers the more reliable
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObservationSource {
    /// The server's entry in the endpoint list.
    EndpointList,
    /// A load report of the server.
    LoadReport,
    /// The status that the server attached to a response.
    ServerStatus,
    /// A write that the server executed.
    ServedWrite,
}

/// The role of a server in its replication group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// The server accepts writes.
    Primary,
    /// The server replicates from the primary.
    Replica,
}

/// An observed value with its time and origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Observation<T> {
    /// The observed value. Its unit depends on the fact.
    pub value: T,
    /// The time of the observation on the local clock. After a transfer it may be too early, but never too
    /// late.
    pub observed_at: Micros,
    /// The number of proxies that have forwarded the observation.
    pub hop_count: u8,
    /// The source from which the observer learned the value.
    pub source: ObservationSource,
    /// The identity of the proxy that made the observation.
    pub observer: u64,
}

impl<T: Copy + Ord> Observation<T> {
    /// The sort key of an observation. The later observation is greater. At the same time, the one with fewer
    /// hops is greater, and then the one from the more reliable source. Observer and value only make the
    /// order total.
    fn order(&self) -> impl Ord + use<T> {
        (self.observed_at, Reverse(self.hop_count), self.source, self.observer, self.value)
    }

    /// Returns the observation with the greater key. The order of observations breaks ties.
    pub(crate) fn max_by_key<K: Ord>(
        &self,
        other: &Observation<T>,
        key: impl Fn(&Observation<T>) -> K,
    ) -> Observation<T> {
        if (key(self), self.order()) >= (key(other), other.order()) { *self } else { *other }
    }

    /// Returns the greater of two observations: the later one.
    pub(crate) fn latest(&self, other: &Observation<T>) -> Observation<T> {
        self.max_by_key(other, |_| ())
    }

    /// The time since the observation, at least 0.
    pub fn age(&self, now: Micros) -> Micros {
        (now - self.observed_at).max(0)
    }
}
