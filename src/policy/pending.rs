//! A request without a final answer, and an attempt without an outcome.

use super::queue::QueuePosition;
use crate::interface::{AttemptNo, ClassId, CopyCandidate, GroupId, Micros, RequestId, ServerId, SessionId};

/// An attempt that may have run at its server, sent at this time. Ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PossibleExecution {
    pub sent_at: Micros,
    pub server: ServerId,
}

/// A request without a final answer.
pub(super) struct PendingRequest {
    pub class: ClassId,
    pub group: GroupId,
    /// The session of a write or of a session read.
    pub session: Option<SessionId>,
    /// The position that a session read has to see.
    pub required_session_position: Option<Micros>,
    pub copy_candidates: Vec<CopyCandidate>,
    /// The last moment at which an answer has any value; never after the client gives up.
    pub useful_until: Micros,
    /// No server has received the complete request.
    pub reached_no_server: bool,
    /// Shortly before half of the client's timeout. A request that has reached no server by then is rejected,
    /// so that the client has time to retry elsewhere.
    pub unsent_until: Micros,
    pub queue_position: QueuePosition,
    /// Number of attempts sent; also the number of the next attempt.
    pub attempts_sent: u16,
    pub max_attempts: u16,
    pub in_flight_attempts: Vec<AttemptNo>,
    /// Servers that were sent an attempt since the request was last queued.
    pub tried_servers: Vec<ServerId>,
    /// Replicas whose position was queried for this read.
    pub queried_servers: Vec<ServerId>,
    /// How long it waits for the position of the last of them.
    pub query_until: Option<Micros>,
    /// Uniform random number from 0 to 1: the request is admitted while this is below the admitted fraction.
    pub admission_draw: f64,
    /// The first completed attempt that may have run.
    pub possible_execution: Option<PossibleExecution>,
    pub next_wake: Micros,
}

/// Identifies an attempt among those of all requests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNo,
}

/// An attempt without an outcome.
pub(super) struct InFlightAttempt {
    pub server: ServerId,
    pub sent_at: Micros,
    pub class: ClassId,
    pub session: Option<SessionId>,
    /// It no longer counts as in flight at its server: it was presumed lost, or its response has started.
    pub released: bool,
    pub response_started_at: Option<Micros>,
}

impl InFlightAttempt {
    /// Time from sending to the start of the response, or until now.
    pub(super) fn latency(&self, now: Micros) -> Micros {
        self.response_started_at.unwrap_or(now) - self.sent_at
    }
}
