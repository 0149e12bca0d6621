//! What passes between the core, the fronts and the loop: small values of no protocol.

use crate::reply::Value;
use birchreach::*;

/// A front's own form of a request.
pub trait RequestPayload: Clone {
    /// The key that a read asks for.
    fn key(&self) -> &[u8];
}

impl RequestPayload for () {
    fn key(&self) -> &[u8] {
        &[]
    }
}

/// A request as any front may bring it.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingRequest {
    pub class: ClassId,
    pub group: GroupId,
    pub session: Option<u64>,
    /// The position that a session read must see.
    pub read_after_position: Option<Micros>,
    /// How long from now the client still waits.
    pub timeout: Micros,
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Value),
    /// Served: its value went on in pieces, and is whole now.
    Streamed,
    /// Not served and never run, or harmless to repeat.
    Rejected {
        retry_after_ms: Option<u64>,
    },
    /// Not served; it may have run.
    Failed,
}

/// Identifies an attempt: its request and its number within the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: AttemptNo,
}

/// What the loop is to do, in this order.
#[derive(Debug, PartialEq)]
pub enum Command<W> {
    StartAttempt {
        attempt: AttemptId,
        server: ServerId,
        payload: W,
        deadline: Micros,
        /// The server is of another group: its copy is asked for, with the position of [`super::Core::required_copy_position`].
        from_copy: bool,
    },
    CancelAttempt {
        attempt: AttemptId,
    },
    HealthCheck {
        server: ServerId,
    },
    Answer {
        client: usize,
        request: RequestId,
        answer: Answer,
    },
    /// A long value begins; its pieces follow, and then `Answer::Passed`, or the break.
    BeginStream {
        client: usize,
        request: RequestId,
        attempt: AttemptId,
        length: usize,
    },
    StreamChunk {
        client: usize,
        request: RequestId,
        bytes: Vec<u8>,
    },
    AbortStream {
        client: usize,
        request: RequestId,
    },
    SetTimer {
        id: u32,
        at: Micros,
    },
    Log(LogRecord),
}

/// Something to be told in the log.
#[derive(Debug, PartialEq, Eq)]
pub enum LogRecord {
    /// A note of the decision module.
    RoutingNote(String),
    /// The list names a server for the first time; the module's notes call it by its number.
    ServerListed { number: u32, uid: String, endpoint: String },
}
