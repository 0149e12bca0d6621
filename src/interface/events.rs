//! Events that the router receives and actions that it returns.

use super::{
    AttemptNumber, AttemptOutcome, AttemptResult, ClassId, GroupId, LoadReport, Micros, RequestId, ServerId,
    SessionId, Settings, TenantId, ZoneId,
};

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts work.
    Ready,
    /// The server finishes the work that it has accepted and accepts no new work.
    Draining,
    /// The server was removed.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// The group that the server belongs to.
    pub group: GroupId,
    /// The zone that the server runs in.
    pub zone: ZoneId,
    /// Whether the server accepts new work.
    pub state: EndpointState,
    /// Start time of the server's current process; `None` if the list does not state it.
    pub started_at: Option<Micros>,
    /// Capacity relative to other servers. A weight that is not finite and positive counts as 1.
    pub weight: f64,
    /// Whether the list names the server as the primary of its group.
    pub primary: bool,
}

/// A complete endpoint list, or the entries that changed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Whether the list is complete. A complete list removes every server that it does not name.
    pub complete: bool,
    /// All entries of a complete list, otherwise the entries that changed.
    pub endpoints: Vec<Endpoint>,
}

/// A server of another group that may hold a copy of the requested data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyCandidate {
    /// Id of the server, which belongs to another group than the request.
    pub server: ServerId,
    /// Log position that the copy has probably reached.
    pub likely_position: Micros,
}

/// What the router has to know about a client request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique id of the request. A request whose id is still open is ignored.
    pub id: RequestId,
    /// Class of the request. A request of an unknown class is rejected.
    pub class: ClassId,
    /// The group that holds the requested data.
    pub group: GroupId,
    /// The tenant that sent the request. The value has no meaning if no tenants are configured.
    pub tenant: TenantId,
    /// Time for which the client still waits for a response.
    pub timeout: Micros,
    /// Session of a write or of a session read.
    pub session: Option<SessionId>,
    /// Commit position of the session's last write, if requests carry it.
    pub last_write_position: Option<Micros>,
    /// Servers of other groups that may hold a copy of the data. An attempt sent to one of them has to require the
    /// position returned by [`Router::required_copy_position`](crate::Router::required_copy_position). A server whose
    /// copy has not reached this position responds with [`AttemptOutcome::Ineligible`].
    pub copy_candidates: Vec<CopyCandidate>,
}

/// What the caller reports to [`Router::handle`](crate::Router::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The settings changed. A class with open requests has to keep its index and its rules.
    Settings(Box<Settings>),
    /// The endpoint list changed.
    EndpointsChanged(EndpointList),
    /// Watching or polling the endpoint list failed.
    EndpointPollFailed,
    /// A client sent a request.
    Request(Request),
    /// The response of an attempt has begun to arrive. Nothing of it is forwarded before all of it has arrived, and the deadline of
    /// the request applies until then.
    ResponseArriving {
        /// The request whose response has begun.
        request: RequestId,
        /// The attempt that the response belongs to.
        attempt: AttemptNumber,
    },
    /// The response of an attempt has begun to stream to the client. The deadline of the request no longer applies.
    ResponseStarted {
        /// The request whose response has begun.
        request: RequestId,
        /// The attempt that the response belongs to.
        attempt: AttemptNumber,
    },
    /// An attempt ended, with or without a response.
    AttemptCompleted(AttemptResult),
    /// The client disconnected. The router finishes the request without a response.
    ClientDisconnected {
        /// The request that the client no longer waits for.
        request: RequestId,
    },
    /// A health check ended.
    HealthCheckCompleted {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: AttemptOutcome,
        /// Load report of the server, if the response contains one.
        load_report: Option<LoadReport>,
    },
    /// A timer set by [`Action::Timer`] expired.
    Timer {
        /// The `id` of the action that set the timer.
        id: u32,
    },
}

/// An output of the router. The caller carries out actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of the request.
    Send {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The server to send the attempt to.
        server: ServerId,
        /// Time after which the attempt times out.
        timeout: Micros,
    },
    /// Send the final response: the request was not served, and a retry by the client is safe.
    Reject {
        /// The request that is rejected.
        request: RequestId,
        /// Delay to suggest to the client before it retries; `None` for no suggestion.
        retry_after: Option<Micros>,
    },
    /// Send the final response: the request was not served, but it may have run.
    Fail {
        /// The request that failed.
        request: RequestId,
    },
    /// Stop waiting for an attempt. The caller still reports its result.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptNumber,
    },
    /// Check the health of a server and request its load report.
    HealthCheck {
        /// The server that the check is sent to.
        server: ServerId,
    },
    /// Send [`Event::Timer`] after a delay.
    Timer {
        /// Id to return in the event.
        id: u32,
        /// Minimum delay, counted from this action.
        delay: Micros,
    },
    /// Start to watch the endpoint list.
    WatchEndpoints,
    /// Write a log line.
    Log(String),
}
