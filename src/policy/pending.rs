//! Requests without a final response and attempts without a result.

use super::queue::QueuePosition;
use crate::interface::{
    AttemptNumber, ClassId, CopyCandidate, GroupId, Micros, RequestId, ServerId, SessionId,
};

/// An attempt whose server may have run the request. Ordered by the time of sending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PossibleExecution {
    pub sent_at: Micros,
    pub server: ServerId,
}

/// A request without a final response.
pub(super) struct PendingRequest {
    pub class: ClassId,
    pub group: GroupId,
    /// The session of a write or of a session read.
    pub session: Option<SessionId>,
    /// Log position that a session read has to see, if there is one.
    pub required_session_position: Option<Micros>,
    pub copy_candidates: Vec<CopyCandidate>,
    /// Time after which a response has no value. It is at the latest the time at which the client stops
    /// waiting for the response.
    pub deadline: Micros,
    /// Whether no server can have received the complete request.
    pub is_undelivered: bool,
    /// Shortly before half of the client's timeout. A request that is still undelivered then is rejected, so
    /// that the client has time to retry elsewhere.
    pub delivery_deadline: Micros,
    pub queue_position: QueuePosition,
    /// Number of attempts that were sent; also the number of the next attempt.
    pub attempts_sent: u16,
    pub max_attempts: u16,
    pub in_flight_attempts: Vec<AttemptNumber>,
    /// Servers that were sent an attempt since the request was last queued.
    pub tried_servers: Vec<ServerId>,
    /// Replicas whose position was queried for this read.
    pub queried_servers: Vec<ServerId>,
    /// Time until which the read waits for the position of the last of these replicas.
    pub query_until: Option<Micros>,
    /// Uniform random number in [0, 1). The request is admitted if it is below the admitted fraction.
    pub admission_draw: f64,
    /// The completed attempt that was sent first among those that may have run.
    pub possible_execution: Option<PossibleExecution>,
    pub next_wakeup: Micros,
}

/// Identifies an attempt among the attempts of all requests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// An attempt without a result.
pub(super) struct InFlightAttempt {
    pub server: ServerId,
    pub sent_at: Micros,
    pub class: ClassId,
    pub session: Option<SessionId>,
    /// Whether the attempt no longer counts against the concurrency limit of its server because it was
    /// presumed lost or its response has started.
    pub released: bool,
    /// When the first bytes of the response arrived, if that was reported. They may not be forwarded yet.
    pub response_arriving_at: Option<Micros>,
    pub response_started_at: Option<Micros>,
}

impl InFlightAttempt {
    /// Time from sending to the start of the response, or to `now` if no response has started.
    pub(super) fn latency(&self, now: Micros) -> Micros {
        self.response_started_at.unwrap_or(now) - self.sent_at
    }

    /// Time from sending to the first bytes of the response, or to `now` if none are known to have arrived.
    /// The transfer of a long response is not a sign of load.
    pub(super) fn time_to_first_bytes(&self, now: Micros) -> Micros {
        self.response_arriving_at.unwrap_or(now) - self.sent_at
    }
}
