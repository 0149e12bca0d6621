//! One client's connection: its socket, protocol state and open request, and its rank in the order in which clients are shed.

use super::super::statement_payload::StatementPayload;
use super::super::stream::StreamEnd;
use super::close_reason::ClientCloseReason;
use super::delivery::Delivery;
use super::grants::WaitingWrite;
use super::memory::InputMemory;
use crate::core::AttemptId;
use crate::pg::frontend::{EndReason, Frontend};
use birchreach::{Micros, RequestId};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// How long a new client may take to send its first request, and any client to send its next one, before it can be shed in
/// favour of a later client.
const FIRST_REQUEST_GRACE_MICROS: Micros = 300_000;

/// How long a client that was sent an error is left to read it. A close over unread input would reset the connection before.
const READ_ERROR_MICROS: Micros = 100_000;

/// A client's request that has not been answered completely.
pub(super) struct OpenRequest {
    pub id: RequestId,
    pub statement: StatementPayload,
}

/// A long value that is being forwarded to the client in chunks.
pub(super) struct StreamedValue {
    pub attempt: AttemptId,
    /// The client has not yet taken all bytes that were received of the value.
    pub chunk_unsent: bool,
}

/// The decision to close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Closing {
    pub reason: ClientCloseReason,
    pub mode: CloseMode,
}

/// How to close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    Immediate,
    /// Close after the error that states the reason is written. A close while input is unread would reset the connection before
    /// the client reads the error.
    AfterFlush,
    /// The output is written. Further input is read and dropped until this time, or until this number of bytes is reached.
    Draining {
        until: Micros,
        max_bytes: usize,
    },
    /// The output was passed to the system, which still holds some of it. Nothing more is read.
    AwaitingDelivery(Delivery),
}

/// Classes of clients, in the order in which they are shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShedClass {
    /// The error that states why the connection is closed is written, and only its input is still drained.
    Draining,
    /// The client made no request within the grace period. A flood of such clients must not displace clients that make requests.
    NoRequest,
    /// At least one request of the client has been answered, and no request is open.
    Idle,
    /// The client has taken longer than the grace period over a message that is still incomplete. It is sent an error.
    Stalled,
    /// The client was accepted within the grace period and has made no request yet.
    InGracePeriod,
    /// The client sends requests and has just been answered, or has just been sent the error that ends its connection.
    Active,
}

/// A client's rank in the order in which clients are shed. The lowest rank is shed first: the class decides, then the longest
/// idle time. Clients that were accepted in one turn are idle equally long; of these, the one accepted first is shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShedRank {
    pub class: ShedClass,
    inactive_since: Micros,
    serial: ClientSerial,
}

/// A client's number in the order of acceptance. Unlike a key, it is never reused after the client has disconnected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClientSerial(u64);

impl ClientSerial {
    /// Returns the number of the client that is accepted after this one.
    pub(super) fn next(self) -> ClientSerial {
        ClientSerial(self.0 + 1)
    }
}

/// A client's connection, from its acceptance until it is closed.
pub(super) struct Client {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    serial: ClientSerial,
    pub protocol: Frontend,
    pub open_request: Option<OpenRequest>,
    /// A write that waits until another process has granted that it begins.
    pub waiting_write: Option<WaitingWrite>,
    /// Set while the answer to the open request is being forwarded in chunks.
    pub streamed_value: Option<StreamedValue>,
    pub answered_requests: u64,
    /// The client has made no request yet. It may be a balancer that only checks whether the process accepts connections.
    pub awaits_first_request: bool,
    /// The client has closed its side of the connection. Commands that it sent before need no answer.
    pub peer_closed: bool,
    /// The client's commands wait for the next turn of the event loop.
    pub commands_held: bool,
    /// Whether the client is in a queue of those that are served again.
    pub is_queued: bool,
    /// The client's share of the memory for input.
    pub input_memory: InputMemory,
    /// The last turn reached its limits before all input was read and all output written.
    pub turn_incomplete: bool,
    /// Set once the connection is to be closed.
    pub closing: Option<Closing>,
    /// When the client last sent input or read output.
    pub last_active_at: Micros,
    /// The client was answered after the handover began. Its connection is closed once it is idle.
    pub close_when_idle: bool,
    /// When the message that is still incomplete began to arrive; before the first request, the time of acceptance. `None` if no
    /// message is incomplete.
    pub incomplete_since: Option<Micros>,
}

impl Client {
    /// Creates the state of a client that was accepted at `now`.
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, serial: ClientSerial, now: Micros) -> Client {
        Client {
            stream,
            peer,
            serial,
            protocol: Frontend::default(),
            open_request: None,
            waiting_write: None,
            streamed_value: None,
            answered_requests: 0,
            awaits_first_request: true,
            peer_closed: false,
            commands_held: false,
            is_queued: false,
            input_memory: InputMemory::default(),
            turn_incomplete: false,
            closing: None,
            last_active_at: now,
            close_when_idle: false,
            incomplete_since: Some(now),
        }
    }

    /// Returns whether the connection can be closed without loss of a request: it is draining, or it has no open request and is
    /// idle or in its startup.
    pub(super) fn can_be_shed(&self) -> bool {
        let is_idle = self.protocol.is_idle() || self.protocol.is_in_startup();
        self.is_draining()
            || (self.open_request.is_none()
                && self.closing.is_none()
                && (is_idle || self.is_reading_message()))
    }

    /// Returns whether a part of a message has arrived, all earlier ones are answered, and all output is written.
    fn is_reading_message(&self) -> bool {
        self.incomplete_since.is_some()
            && self.protocol.has_incomplete_message()
            && self.protocol.outbox.pending().is_empty()
    }

    /// Returns whether the error that states the reason for the close is written, and further input is read and dropped.
    pub(super) fn is_draining(&self) -> bool {
        matches!(self.closing, Some(Closing { mode: CloseMode::Draining { .. }, .. }))
    }

    /// Returns the client's rank in the order in which clients are shed. Meaningful only if `can_be_shed` returns true.
    pub(super) fn shed_rank(&self, now: Micros) -> ShedRank {
        let inactive_since = self.incomplete_since.unwrap_or(self.last_active_at);
        let grace_expired =
            self.protocol.has_received_command() || now - inactive_since >= FIRST_REQUEST_GRACE_MICROS;
        let is_idle = self.protocol.is_idle() || self.protocol.is_in_startup();
        let is_recent = now - inactive_since < FIRST_REQUEST_GRACE_MICROS;
        let class = match self.answered_requests {
            _ if self.is_draining() && now - self.last_active_at < READ_ERROR_MICROS => ShedClass::Active,
            _ if self.is_draining() => ShedClass::Draining,
            _ if !is_idle && !is_recent => ShedClass::Stalled,
            0 if is_idle && grace_expired => ShedClass::NoRequest,
            0 => ShedClass::InGracePeriod,
            _ if is_recent => ShedClass::Active,
            _ => ShedClass::Idle,
        };
        ShedRank { class, inactive_since, serial: self.serial }
    }

    /// Returns the attempt that can continue to read the streamed value, if all bytes that it has read were written to the
    /// client's socket. Returns the attempt once for each chunk.
    pub(super) fn take_attempt_to_resume(&mut self) -> Option<AttemptId> {
        let output_is_empty = self.protocol.outbox.pending().is_empty();
        let value = self.streamed_value.as_mut().filter(|value| value.chunk_unsent && output_is_empty)?;
        value.chunk_unsent = false;
        Some(value.attempt)
    }

    /// Returns the reason that was already decided for the close, or else `reason`.
    pub(super) fn close_reason_or(&self, reason: ClientCloseReason) -> ClientCloseReason {
        self.closing.map_or(reason, |closing| closing.reason)
    }

    /// Returns the reason for the close of a connection whose socket ended in this way.
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
