//! One client: its socket, protocol state and request, and how soon it makes room for another.

use super::super::statement_payload::StatementPayload;
use super::super::stream::Ended;
use super::close_reason::ClientCloseReason;
use crate::core::AttemptId;
use crate::pg::frontend::{EndReason, Frontend};
use birchreach::{Micros, RequestId};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// The first request of a new client may take so long to arrive. Until then the client makes room for nobody who came later.
const FIRST_REQUEST_GRACE_MICROS: Micros = 300_000;

/// A request that has not been answered.
pub(super) struct OpenRequest {
    pub id: RequestId,
    pub statement: StatementPayload,
}

/// A long value that is being forwarded to the client.
pub(super) struct StreamedValue {
    pub attempt: AttemptId,
    /// The client has not taken all that has been received of it.
    pub chunk_unsent: bool,
}

/// A connection that is to be closed, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Closing {
    pub reason: ClientCloseReason,
    pub mode: CloseMode,
}

/// How a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    Immediate,
    /// The client is to read the error that says why. A close while its input is unread would break the connection before that.
    AfterFlush,
    /// All is written. Until this time, and for so many bytes, what the client goes on sending is read and dropped.
    Draining {
        until: Micros,
        max_bytes: usize,
    },
}

/// Classes of clients, in the order in which they make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShedClass {
    /// It has been told why it is closed.
    Draining,
    /// It had time for a first request and made none, for a flood of such clients would drive out those that make requests.
    NoRequest,
    Idle,
    /// It has just come.
    Newcomer,
}

/// The place in the order in which clients make room: by class, then those idle longest. Of those idle as long, for many come in one
/// turn, who came first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShedRank {
    pub class: ShedClass,
    since: Micros,
    serial: ClientSerial,
}

/// Number of a client, never used again: keys of clients that have gone are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClientSerial(u64);

impl ClientSerial {
    /// The number of the client that is accepted after this one.
    pub fn next(self) -> ClientSerial {
        ClientSerial(self.0 + 1)
    }
}

/// One client's connection.
pub(super) struct Client {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    /// Tells which clients came before it: its key does not, for keys are used again.
    serial: ClientSerial,
    pub protocol: Frontend,
    pub open_request: Option<OpenRequest>,
    /// Set while the answer to the open request is being forwarded in chunks.
    pub streamed_value: Option<StreamedValue>,
    pub answered_requests: u64,
    /// It has made no request yet: it may be a balancer that only looks whether the process lives.
    pub unclassified: bool,
    /// It has closed its connection: what it sent before is owed no answer.
    pub peer_closed: bool,
    /// There is more to read or write than one turn takes.
    pub turn_incomplete: bool,
    pub closing: Option<Closing>,
    /// When it last sent something or took something of its output.
    pub last_active_at: Micros,
    /// It was answered after the handover began: it is closed once it is idle.
    pub close_when_idle: bool,
    /// Since when a message that has begun has not arrived in full; for a first request, since the connect.
    pub incomplete_since: Option<Micros>,
}

impl Client {
    /// A client that has just been accepted.
    pub fn new(stream: TcpStream, peer: SocketAddr, serial: ClientSerial, now: Micros) -> Client {
        Client {
            stream,
            peer,
            serial,
            protocol: Frontend::default(),
            open_request: None,
            streamed_value: None,
            answered_requests: 0,
            unclassified: true,
            peer_closed: false,
            turn_incomplete: false,
            closing: None,
            last_active_at: now,
            close_when_idle: false,
            incomplete_since: Some(now),
        }
    }

    /// Nothing was asked on it that is not answered.
    pub fn can_be_shed(&self) -> bool {
        let is_idle = self.protocol.is_idle() || self.protocol.is_in_startup();
        self.is_draining() || (self.open_request.is_none() && self.closing.is_none() && is_idle)
    }

    /// It has been told why it is closed, and may go on sending for a while.
    pub fn is_draining(&self) -> bool {
        matches!(self.closing, Some(Closing { mode: CloseMode::Draining { .. }, .. }))
    }

    /// Where it stands among those that can make room.
    pub fn shed_rank(&self, now: Micros) -> ShedRank {
        let since = self.incomplete_since.unwrap_or(self.last_active_at);
        let had_time = self.protocol.has_received_command() || now - since >= FIRST_REQUEST_GRACE_MICROS;
        let class = match self.answered_requests {
            _ if self.is_draining() => ShedClass::Draining,
            0 if had_time => ShedClass::NoRequest,
            0 => ShedClass::Newcomer,
            _ => ShedClass::Idle,
        };
        ShedRank { class, since, serial: self.serial }
    }

    /// The attempt whose value may go on, if the client has taken what was received of it. Told once for each chunk.
    pub fn take_ready_for_more(&mut self) -> Option<AttemptId> {
        let output_is_empty = self.protocol.out.pending().is_empty();
        let value = self.streamed_value.as_mut().filter(|value| value.chunk_unsent && output_is_empty)?;
        value.chunk_unsent = false;
        Some(value.attempt)
    }

    /// Why it is over: what was decided before, or else this.
    pub fn close_reason_or(&self, reason: ClientCloseReason) -> ClientCloseReason {
        self.closing.map_or(reason, |closing| closing.reason)
    }

    /// Why it is over when its socket has ended so.
    pub fn reason_of_end(&self, ended: Ended) -> ClientCloseReason {
        self.close_reason_or(match ended {
            Ended::Closed if self.protocol.only_terminate_left() => {
                ClientCloseReason::Protocol(EndReason::Terminate)
            }
            Ended::Closed => ClientCloseReason::ClientClosed,
            Ended::Reset => ClientCloseReason::ClientReset,
        })
    }
}
