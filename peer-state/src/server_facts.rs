//! What is known of one server incarnation, and how two such records merge.

use crate::{Micros, Observation};

/// The identity of a server as the endpoint list has it now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// When the server process started: Unix time in milliseconds, 0 where the list does not name it.
    pub started_ms: u64,
    /// Its replication group.
    pub group: u32,
}

/// What is known of one incarnation of one server, as this proxy keeps it: the time of each observation is an
/// instant on its own clock.
///
/// It has no serialized form, because no other process can read such an instant:
/// [`TransferredServer`](crate::TransferredServer) is what proxies send one another and store, with ages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerFacts {
    /// When this incarnation started: Unix time in milliseconds, 0 where the list does not name it.
    pub started_ms: u64,
    /// Its replication group.
    pub group: u32,
    /// The highest log position observed, on the servers' own scale: a lower bound at any later time.
    pub position: Option<Observation<Micros>>,
    /// How far its position was behind the present at the last observation.
    pub lag: Option<Observation<Micros>>,
    /// The last observation of it as primary.
    pub primary: Option<Observation<()>>,
    /// The last observation of it as replica.
    pub replica: Option<Observation<()>>,
    /// It was found unresponsive or failing (true), or healthy (false).
    pub suspect: Option<Observation<bool>>,
    /// Mean latency of its answers.
    pub latency: Option<Observation<Micros>>,
    /// What remains of its slow start, in thousandths.
    pub slow_start_permille: Option<Observation<u16>>,
}

impl ServerFacts {
    /// The record of a server of which nothing is known yet.
    pub fn new(started_ms: u64, group: u32) -> ServerFacts {
        ServerFacts { started_ms, group, ..ServerFacts::default() }
    }

    /// Merges two records. A later incarnation, or another group with the same start time, is another server:
    /// the facts of the earlier one are discarded.
    pub fn merge(&self, other: &ServerFacts) -> ServerFacts {
        let (own, others) = ((self.started_ms, self.group), (other.started_ms, other.group));
        if own != others {
            return if own > others { self.clone() } else { other.clone() };
        }
        ServerFacts {
            started_ms: self.started_ms,
            group: self.group,
            position: merge(self.position, other.position, |own, other| {
                own.max_by_key(other, |seen| seen.value)
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

    /// Whether no fact is known.
    pub fn is_empty(&self) -> bool {
        *self == ServerFacts::new(self.started_ms, self.group)
    }

    /// Whether these facts are of that incarnation.
    pub(crate) fn belong_to(&self, incarnation: &ServerIncarnation) -> bool {
        (self.started_ms, self.group) == (incarnation.started_ms, incarnation.group)
    }
}

/// The greater of two facts, or the only one.
fn merge<T: Copy>(own: Option<T>, other: Option<T>, greater: impl Fn(&T, &T) -> T) -> Option<T> {
    match (own, other) {
        (Some(own), Some(other)) => Some(greater(&own, &other)),
        (own, other) => own.or(other),
    }
}
