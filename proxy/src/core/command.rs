//! Values that the core, the protocol front ends and the event loop exchange. They are independent of any protocol.

use crate::reply::Value;
use birchreach::{AttemptNumber, ClassId, GroupId, Micros, RequestId, ServerId, SessionId};

/// A request in the form that its front end uses.
pub(crate) trait RequestPayload: Clone {
    /// Returns the key that the request reads or writes.
    fn key(&self) -> &[u8];
}

impl RequestPayload for () {
    fn key(&self) -> &[u8] {
        &[]
    }
}

/// The protocol-independent properties of a request, which the core uses for routing.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RoutingRequest {
    /// Class of the request, as [`super::Core::find_class`] returns it.
    pub class: ClassId,
    /// The group that holds the requested data.
    pub group: GroupId,
    /// Session of a write or of a session read; `None` for other requests.
    pub session: Option<SessionId>,
    /// Position that a session read has to see; `None` if the request does not state one.
    pub read_after_position: Option<Micros>,
    /// How long the client waits, counted from the arrival of the request.
    pub timeout: Micros,
}

/// The final answer to a request. Each request gets exactly one final answer, unless its client disconnects or its stream is
/// aborted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// The request was served with this value.
    Served(Value),
    /// The request was served, and its value was streamed completely.
    Streamed,
    /// The request was not served and is safe to retry.
    Rejected {
        /// Suggested delay before the client retries; `None` if the router suggests none.
        retry_after_ms: Option<u64>,
    },
    /// The request was not served, but may have run.
    Failed,
}

/// Identifies the client connection that sent a request, in the tables of the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ClientKey(pub usize);

/// Identifies an attempt by its request and its number within the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    pub number: AttemptNumber,
}

/// Identifies a timer of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoutingTimerId(pub u32);

/// A command for the event loop, which must execute commands in order. `client` is the key that was passed with the client's
/// request.
#[derive(Debug, PartialEq)]
pub(crate) enum Command<P> {
    /// Send an attempt to a server.
    StartAttempt {
        attempt: AttemptId,
        server: ServerId,
        payload: P,
        /// Time at which the attempt times out.
        deadline: Micros,
        /// The server belongs to another group, and the attempt reads its copy. The copy must have reached the position that
        /// [`super::Core::required_copy_position`] returns.
        from_copy: bool,
    },
    /// End an attempt without its reply. If its query was written, the database may still run it.
    CancelAttempt { attempt: AttemptId },
    /// Send a server a health check. [`super::Core::health_check_completed`] receives its result.
    HealthCheck { server: ServerId },
    /// Report to the other processes of this proxy that a write begins, of which nothing begins after this time.
    ShareRequest { payload: P, deadline: Micros },
    /// Report a committed write of a session to the other processes of this proxy.
    ShareSessionWrite { session: SessionId, position: Micros },
    /// Report the role that a server has confirmed to the other processes of this proxy.
    ShareRole { server: ServerId },
    /// Send a client its answer.
    Answer { client: ClientKey, request: RequestId, answer: Answer },
    /// Start to stream a long value. Chunks follow, and then [`Answer::Streamed`] or [`Command::AbortStream`].
    BeginStream { client: ClientKey, request: RequestId, attempt: AttemptId, length: usize },
    /// Send the next bytes of a long value.
    StreamChunk { client: ClientKey, request: RequestId, bytes: Vec<u8> },
    /// Abort a stream, because the rest of the long value will not arrive.
    AbortStream { client: ClientKey, request: RequestId },
    /// Call [`super::Core::timer_fired`] at this time.
    SetTimer { id: RoutingTimerId, at: Micros },
    /// Write one line to the log.
    Log(LogRecord),
}

/// The content of one line of the log. The event loop formats the line.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LogRecord {
    /// Free text from the router, which refers to servers by their numbers.
    RouterMessage(String),
    /// The endpoint list contains a server for the first time. The line relates the server's number to its uid and address.
    ServerListed { server: ServerId, uid: String, endpoint: String },
}
