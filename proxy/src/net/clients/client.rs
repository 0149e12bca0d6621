//! One client: its socket, protocol state and request, and its rank among the clients that can be shed.

use super::super::statement_payload::StatementPayload;
use super::super::stream::StreamEnd;
use super::close_reason::ClientCloseReason;
use crate::core::AttemptId;
use crate::pg::frontend::{EndReason, Frontend};
use birchreach::{Micros, RequestId};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// The first request of a new client may take this long to arrive. Until then the client is not shed for a later one.
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
    /// After the error is written that says why. A close while input is unread would reset the connection before the client reads
    /// it.
    AfterFlush,
    /// The output is written. Until this time, and up to this number of bytes, further input is read and dropped.
    Draining {
        until: Micros,
        max_bytes: usize,
    },
}

/// Classes of clients, in the order in which they are shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShedClass {
    /// The error that says why it is closed is written.
    Draining,
    /// It made no request within the grace period. A flood of such clients must not displace those that make requests.
    NoRequest,
    /// It has been answered, and has no open request.
    Idle,
    /// It was accepted within the grace period, and has made no request yet.
    InGracePeriod,
}

/// The rank in the order in which clients are shed: by class, then the longest idle. Of clients idle equally long, as many are that
/// were accepted in one turn, the first accepted is shed first.
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
    pub(super) fn next(self) -> ClientSerial {
        ClientSerial(self.0 + 1)
    }
}

/// One client's connection.
pub(super) struct Client {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    /// Its place in the order in which clients were accepted.
    serial: ClientSerial,
    pub protocol: Frontend,
    pub open_request: Option<OpenRequest>,
    /// Set while the answer to the open request is being forwarded in chunks.
    pub streamed_value: Option<StreamedValue>,
    pub answered_requests: u64,
    /// It has made no request yet: it may be a balancer that only checks whether the process accepts connections.
    pub unclassified: bool,
    /// It has closed its connection: what it sent before needs no answer.
    pub peer_closed: bool,
    /// There is more to read or write than one turn allows.
    pub turn_incomplete: bool,
    pub closing: Option<Closing>,
    /// When it last sent input or read output.
    pub last_active_at: Micros,
    /// It was answered after the handover began: it is closed once it is idle.
    pub close_when_idle: bool,
    /// Since when a message that has begun has not arrived in full; for a first request, since the connect.
    pub incomplete_since: Option<Micros>,
}

impl Client {
    /// A client that has just been accepted.
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, serial: ClientSerial, now: Micros) -> Client {
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

    /// It has no unanswered request.
    pub(super) fn can_be_shed(&self) -> bool {
        let is_idle = self.protocol.is_idle() || self.protocol.is_in_startup();
        self.is_draining() || (self.open_request.is_none() && self.closing.is_none() && is_idle)
    }

    /// The error that says why it is closed is written, and further input is dropped for a while.
    pub(super) fn is_draining(&self) -> bool {
        matches!(self.closing, Some(Closing { mode: CloseMode::Draining { .. }, .. }))
    }

    /// Its rank among the clients that can be shed.
    pub(super) fn shed_rank(&self, now: Micros) -> ShedRank {
        let since = self.incomplete_since.unwrap_or(self.last_active_at);
        let grace_expired = self.protocol.has_received_command() || now - since >= FIRST_REQUEST_GRACE_MICROS;
        let class = match self.answered_requests {
            _ if self.is_draining() => ShedClass::Draining,
            0 if grace_expired => ShedClass::NoRequest,
            0 => ShedClass::InGracePeriod,
            _ => ShedClass::Idle,
        };
        ShedRank { class, since, serial: self.serial }
    }

    /// The attempt whose value can be read on, if the client has taken what was received of it. Returned once for each chunk.
    pub(super) fn take_attempt_to_resume(&mut self) -> Option<AttemptId> {
        let output_is_empty = self.protocol.outbox.pending().is_empty();
        let value = self.streamed_value.as_mut().filter(|value| value.chunk_unsent && output_is_empty)?;
        value.chunk_unsent = false;
        Some(value.attempt)
    }

    /// Why the connection ends: the reason decided before, or else this one.
    pub(super) fn close_reason_or(&self, reason: ClientCloseReason) -> ClientCloseReason {
        self.closing.map_or(reason, |closing| closing.reason)
    }

    /// Why the connection ends after its socket ended in this way.
    pub(super) fn close_reason_for(&self, end: StreamEnd) -> ClientCloseReason {
        self.close_reason_or(match end {
            StreamEnd::Closed if self.protocol.only_terminate_unprocessed() => {
                ClientCloseReason::Protocol(EndReason::Terminate)
            }
            StreamEnd::Closed => ClientCloseReason::ClientClosed,
            StreamEnd::Reset => ClientCloseReason::ClientReset,
        })
    }
}
