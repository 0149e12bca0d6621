//! The facts about one server incarnation, and how two records of them merge.

use crate::{Micros, Observation};

/// The incarnation of a server, as the endpoint list currently names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// The start time of the server process: Unix time in milliseconds, 0 if the list does not have it.
    pub started_ms: u64,
    /// The number of the server's replication group.
    pub group: u32,
}

/// The facts that this proxy knows about one incarnation of a server. The time of each observation is an
/// instant on this proxy's clock.
///
/// This type has no serialized form, because other processes cannot interpret such an instant. Proxies send
/// and store [`TransferredServer`](crate::TransferredServer) instead, which contains ages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerFacts {
    /// The start time of this incarnation: Unix time in milliseconds, 0 if the list does not have it.
    pub started_ms: u64,
    /// The number of the server's replication group.
    pub group: u32,
    /// The highest observed log position, on the scale of the servers. It is a lower bound at any later time.
    pub position: Option<Observation<Micros>>,
    /// The lag of the server's position behind the present at the last observation.
    pub lag: Option<Observation<Micros>>,
    /// The last observation of the server as primary.
    pub primary: Option<Observation<()>>,
    /// The last observation of the server as replica.
    pub replica: Option<Observation<()>>,
    /// The last observation of the server as unresponsive or failing (`true`), or as healthy (`false`).
    pub suspect: Option<Observation<bool>>,
    /// The mean response latency of the server.
    pub latency: Option<Observation<Micros>>,
    /// The remaining part of the server's slow start, in thousandths.
    pub slow_start_permille: Option<Observation<u16>>,
}

impl ServerFacts {
    /// Creates a record without facts for this incarnation.
    pub fn new(started_ms: u64, group: u32) -> ServerFacts {
        ServerFacts { started_ms, group, ..ServerFacts::default() }
    }

    /// Merges two records. Records with a different start time or group describe different servers: the
    /// result is the record with the later start time or, if that is equal, the one with the greater group
    /// number.
    pub fn merge(&self, other: &ServerFacts) -> ServerFacts {
        let own_incarnation = (self.started_ms, self.group);
        let other_incarnation = (other.started_ms, other.group);
        if own_incarnation != other_incarnation {
            return if own_incarnation > other_incarnation { self.clone() } else { other.clone() };
        }
        ServerFacts {
            started_ms: self.started_ms,
            group: self.group,
            position: merge(self.position, other.position, |own, other| {
                own.max_by_key(other, |observation| observation.value)
            }),
            lag: merge(self.lag, other.lag, Observation::latest),
            primary: merge(self.primary, other.primary, Observation::latest),
            replica: merge(self.replica, other.replica, Observation::latest),
            suspect: merge(self.suspect, other.suspect, Observation::latest),
            latency: merge(self.latency, other.latency, Observation::latest),
            slow_start_permille: merge(
                self.slow_start_permille,
                other.slow_start_permille,
                Observation::latest,
            ),
        }
    }

    /// Returns whether the record contains no fact.
    pub fn is_empty(&self) -> bool {
        *self == ServerFacts::new(self.started_ms, self.group)
    }

    /// Returns whether the facts are about this incarnation.
    pub(crate) fn belong_to(&self, incarnation: &ServerIncarnation) -> bool {
        (self.started_ms, self.group) == (incarnation.started_ms, incarnation.group)
    }
}

/// Returns the greater of two facts, or the only known one.
fn merge<T: Copy>(own: Option<T>, other: Option<T>, greater: impl Fn(&T, &T) -> T) -> Option<T> {
    match (own, other) {
        (Some(own), Some(other)) => Some(greater(&own, &other)),
        (own, other) => own.or(other),
    }
}
