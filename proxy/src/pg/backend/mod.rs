//! Protocol state machine of a database connection. It takes the bytes that the database sends, and reports when the connection
//! is established and the reply to each query.

mod event;
mod long_statement;
mod messages;

use super::codec::{Inbox, LongRowHeader, MAX_BUFFERED_VALUE_BYTES};
use super::copies;
use super::load_report::LoadReportFormat;
use super::partial_reply::{ExpectedReply, PartialReply, ReplyStage};
use super::statement::Statement;
use crate::outbox::{BUFFER_STEP_BYTES, Outbox};
use crate::reply::Reply;
use birchreach::Micros;
pub(crate) use event::{BackendEvent, ForwardingProgress};
use long_statement::LongStatement;
use std::rc::Rc;

/// The user name in the startup message.
const DATABASE_USER: &str = "api";
/// The database name in the startup message.
const DATABASE_NAME: &str = "ledger";

/// What the connection is used for at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Startup,
    Idle,
    /// A client's statement is in flight.
    Statement,
    /// A read of a copy of the row that a client's statement reads is in flight.
    CopyRead {
        required_position: Micros,
    },
    /// A query for the load report is in flight.
    LoadReportQuery,
    /// A statement of a background task is in flight.
    BackgroundQuery,
    /// The connection can no longer be used.
    Closed,
}

impl Phase {
    /// The kind of reply that the query in flight expects. `None`: no query is in flight.
    fn expected_reply(self) -> Option<ExpectedReply> {
        match self {
            Phase::Startup | Phase::Idle | Phase::Closed => None,
            Phase::Statement | Phase::BackgroundQuery => Some(ExpectedReply::Value),
            Phase::CopyRead { required_position } => Some(ExpectedReply::Copy { required_position }),
            Phase::LoadReportQuery => Some(ExpectedReply::LoadReport),
        }
    }

    /// Whether a client is waiting for the query in flight.
    fn serves_client(self) -> bool {
        matches!(self, Phase::Statement | Phase::CopyRead { .. })
    }
}

/// The state of the protocol on one connection.
pub(crate) struct Backend {
    phase: Phase,
    inbox: Inbox,
    /// Output that has not been written to the socket.
    pub outbox: Outbox,
    /// A long statement that is written after the outbox.
    long_statement: Option<LongStatement>,
    partial_reply: PartialReply,
    load_report_format: LoadReportFormat,
}

impl Backend {
    /// Creates the state of a new connection, with the startup message in the outbox.
    pub(crate) fn new(load_report_format: LoadReportFormat) -> Backend {
        let mut outbox = Outbox::default();
        outbox.startup(DATABASE_USER, DATABASE_NAME);
        Backend {
            phase: Phase::Startup,
            inbox: Inbox::default(),
            outbox,
            long_statement: None,
            partial_reply: PartialReply::default(),
            load_report_format,
        }
    }

    /// Forwards a statement, unchanged except for the timeout, which becomes `remaining_ms`.
    pub(crate) fn send_statement(&mut self, statement: &Rc<Statement>, remaining_ms: u64) {
        if statement.text_bytes() > BUFFER_STEP_BYTES {
            let statement = LongStatement::new(Rc::clone(statement), remaining_ms);
            self.outbox.query_header(statement.total_bytes());
            self.long_statement = Some(statement);
            return self.expect_reply(Phase::Statement);
        }
        let (head, tail) = statement.text_around_timeout();
        self.send(Phase::Statement, &[head, remaining_ms.to_string().as_bytes(), tail]);
    }

    /// Sends a query for the copy of the row that the statement reads. Only a copy at `required_position` or later is returned.
    pub(crate) fn send_copy_read(
        &mut self,
        statement: &Statement,
        remaining_ms: u64,
        required_position: Micros,
    ) {
        let query = copies::read_copy(statement, remaining_ms, required_position);
        self.send(Phase::CopyRead { required_position }, &[&query]);
    }

    /// Sends a statement of a background task.
    pub(crate) fn send_background_query(&mut self, text: &[u8]) {
        self.send(Phase::BackgroundQuery, &[text]);
    }

    /// Sends a query for the database's load report.
    pub(crate) fn send_load_report_query(&mut self) {
        self.send(Phase::LoadReportQuery, &[b"SHOW usage"]);
    }

    /// Appends a query, the concatenation of `query_parts`, to the output and expects the reply to it.
    fn send(&mut self, phase: Phase, query_parts: &[&[u8]]) {
        self.outbox.query(query_parts);
        self.expect_reply(phase);
    }

    /// Enters the phase of a query that is in the output.
    fn expect_reply(&mut self, phase: Phase) {
        self.phase = phase;
        self.partial_reply = PartialReply::default();
    }

    /// Returns the number of bytes that are held for the input.
    pub(crate) fn input_bytes(&self) -> usize {
        self.inbox.held_bytes()
    }

    /// Returns the number of received bytes that are not decoded yet.
    pub(crate) fn unread_bytes(&self) -> usize {
        self.inbox.len()
    }

    /// Returns how many bytes of the next row have not been received, if the row has begun to arrive, answers a client's statement, and
    /// is forwarded only as a whole. Otherwise zero.
    pub(crate) fn missing_row_bytes(&self) -> usize {
        let awaits_row =
            self.phase == Phase::Statement && self.partial_reply.stage == ReplyStage::Description;
        if awaits_row { self.inbox.missing_row_bytes() } else { 0 }
    }

    /// Streams the next row, however short it is. The caller has to know that the rest of the reply will follow: a value of which a part
    /// was forwarded cannot be replaced by an error.
    pub(crate) fn stream_next_row(&mut self) {
        self.partial_reply.streams_short_value = true;
    }

    /// Appends received bytes to the input.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.inbox.feed(bytes);
    }

    /// Decodes the next event from the bytes received so far. `None`: more bytes are needed, or the connection can no longer be
    /// used.
    pub(crate) fn next_event(&mut self) -> Option<BackendEvent> {
        while self.phase != Phase::Closed {
            if self.forwarding_progress() == ForwardingProgress::InValue {
                return self.next_value_chunk();
            }
            if self.phase == Phase::Statement && self.partial_reply.stage == ReplyStage::Description {
                match self.inbox.take_long_row_header(self.longest_buffered_value()) {
                    LongRowHeader::Absent => {}
                    LongRowHeader::Incomplete => return None,
                    LongRowHeader::Present(length) => return Some(self.start_streamed_value(length)),
                }
            }
            let handled = match self.inbox.server_message() {
                Ok(None) => {
                    self.inbox.release_empty_buffer();
                    return None;
                }
                Ok(Some(received)) => self.handle_message(received.message, received.bytes),
                Err(error) => Err(error),
            };
            match handled {
                Ok(None) => {}
                Ok(Some(event)) => return Some(event),
                // Invalid bytes after a complete reply make the connection unusable, but the reply remains valid.
                Err(_) => return Some(self.connection_ended().unwrap_or(BackendEvent::ProtocolError)),
            }
        }
        None
    }

    /// Returns the length of the longest value that is held as a whole before it is forwarded.
    fn longest_buffered_value(&self) -> usize {
        if self.partial_reply.streams_short_value { 0 } else { MAX_BUFFERED_VALUE_BYTES }
    }

    /// Returns how much of the reply in flight has been forwarded.
    pub(crate) fn forwarding_progress(&self) -> ForwardingProgress {
        match (self.partial_reply.value_streamed, self.partial_reply.value_bytes_remaining) {
            (false, _) => ForwardingProgress::NotStarted,
            (true, 0) => ForwardingProgress::AwaitingEnd,
            (true, _) => ForwardingProgress::InValue,
        }
    }

    /// Whether the next query may be sent: no query is in flight, and no unexpected input has arrived.
    pub(crate) fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && self.inbox.len() == 0
    }

    /// Handles the end of the connection. A reply of which only ReadyForQuery is missing is still returned.
    pub(crate) fn connection_ended(&mut self) -> Option<BackendEvent> {
        let phase = std::mem::replace(&mut self.phase, Phase::Closed);
        let expected = phase.expected_reply().filter(|_| self.partial_reply.stage == ReplyStage::Complete)?;
        Some(BackendEvent::QueryCompleted(self.take_reply(expected)))
    }

    /// Starts streaming a value that is too long to be buffered.
    fn start_streamed_value(&mut self, length: usize) -> BackendEvent {
        self.partial_reply.value_streamed = true;
        self.partial_reply.value_bytes_remaining = length;
        self.partial_reply.stage = ReplyStage::Row;
        BackendEvent::ValueStarted(length)
    }

    /// Removes and returns the next received bytes of the streamed value. `None`: no more have arrived.
    fn next_value_chunk(&mut self) -> Option<BackendEvent> {
        let chunk = self.inbox.take_up_to(self.partial_reply.value_bytes_remaining);
        self.partial_reply.value_bytes_remaining -= chunk.len();
        (!chunk.is_empty()).then_some(BackendEvent::ValueChunk(chunk))
    }

    /// Builds the reply from the messages that have arrived, and resets the state for the next reply.
    fn take_reply(&mut self, expected: ExpectedReply) -> Reply {
        std::mem::take(&mut self.partial_reply).into_reply(expected, &self.load_report_format)
    }
}
