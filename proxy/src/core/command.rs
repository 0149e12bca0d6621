//! The values exchanged between the core, the protocol front ends and the event loop. They belong to no protocol.

use crate::reply::Value;
use birchreach::{AttemptNumber, ClassId, GroupId, Micros, RequestId, ServerId, SessionId};

/// A front end's own form of a request.
pub(crate) trait RequestPayload: Clone {
    /// The key that is read or written.
    fn key(&self) -> &[u8];
}

impl RequestPayload for () {
    fn key(&self) -> &[u8] {
        &[]
    }
}

/// A request in the form that all front ends use.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RoutingRequest {
    /// Its class.
    pub class: ClassId,
    /// The group that it addresses.
    pub group: GroupId,
    /// Its session.
    pub session: Option<SessionId>,
    /// The position that a session read has to see.
    pub read_after_position: Option<Micros>,
    /// How long the client waits from now on.
    pub timeout: Micros,
}

/// The final answer to a request. Each request has exactly one, unless its client disconnects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// Served, with this value.
    Served(Value),
    /// Served; the value was streamed and is complete.
    Streamed,
    /// Not served, and safe to retry.
    Rejected {
        /// Suggested delay before the client retries.
        retry_after_ms: Option<u64>,
    },
    /// Not served; it may have run.
    Failed,
}

/// The key of the client connection that a request came from, in the tables of the front end.
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

/// A command for the event loop, to be carried out in order. `client` is the key that the client's request came with.
#[derive(Debug, PartialEq)]
pub(crate) enum Command<P> {
    /// Send an attempt to a server.
    StartAttempt {
        attempt: AttemptId,
        server: ServerId,
        payload: P,
        /// The attempt times out at this time.
        deadline: Micros,
        /// The server belongs to another group: its copy is read, with the position of [`super::Core::required_copy_position`].
        from_copy: bool,
    },
    /// Cancel an attempt.
    CancelAttempt { attempt: AttemptId },
    /// Check the health of a server.
    HealthCheck { server: ServerId },
    /// Send a client its answer.
    Answer { client: ClientKey, request: RequestId, answer: Answer },
    /// A long value begins. Chunks follow, then [`Answer::Streamed`] or [`Command::AbortStream`].
    BeginStream { client: ClientKey, request: RequestId, attempt: AttemptId, length: usize },
    /// The next bytes of a long value.
    StreamChunk { client: ClientKey, request: RequestId, bytes: Vec<u8> },
    /// The rest of a long value will not arrive.
    AbortStream { client: ClientKey, request: RequestId },
    /// Call [`super::Core::timer_fired`] at this time.
    SetTimer { id: RoutingTimerId, at: Micros },
    /// Write a line to the log.
    Log(LogRecord),
}

/// A line for the log.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LogRecord {
    /// A message of the router.
    RouterMessage(String),
    /// The endpoint list names a server for the first time; messages of the router refer to it by its number.
    ServerListed { server: ServerId, uid: String, endpoint: String },
}
