//! The protocol on a connection to a database. It is fed the bytes that the database sends, and reports when the connection is
//! established and the reply to each query.

mod messages;

use super::codec::{Inbox, LongRowHeader};
use super::copies;
use super::load_report::LoadReportFormat;
use super::partial_reply::{ExpectedReply, PartialReply, ReplyStage};
use super::statement::Statement;
use crate::outbox::Outbox;
use crate::reply::Reply;
use birchreach::Micros;

/// What the connection is in use for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Startup,
    Idle,
    /// A client's statement.
    Statement,
    /// The copy of what a client's statement reads.
    CopyRead {
        required_position: Micros,
    },
    LoadReportQuery,
    /// A statement that no client sent.
    BackgroundQuery,
    /// The connection cannot be used any more.
    Closed,
}

impl Phase {
    /// The kind of reply to the query in flight, if there is one.
    fn expected_reply(self) -> Option<ExpectedReply> {
        match self {
            Phase::Startup | Phase::Idle | Phase::Closed => None,
            Phase::Statement | Phase::BackgroundQuery => Some(ExpectedReply::Value),
            Phase::CopyRead { required_position } => Some(ExpectedReply::Copy { required_position }),
            Phase::LoadReportQuery => Some(ExpectedReply::LoadReport),
        }
    }

    /// Whether a client waits for the query in flight.
    fn serves_client(self) -> bool {
        matches!(self, Phase::Statement | Phase::CopyRead { .. })
    }
}

/// An event in the bytes that a database sends.
#[derive(Debug, PartialEq)]
pub(crate) enum BackendEvent {
    /// The connection is established.
    Ready,
    /// A streamed value of this length begins. Its bytes follow in chunks, and `QueryCompleted` after them.
    ValueStarted(usize),
    /// The next bytes of a streamed value.
    ValueChunk(Vec<u8>),
    /// The reply to the query is complete.
    QueryCompleted(Reply),
    /// The database answered the startup with an error.
    Rejected(Reply),
    /// The database violated the protocol. The connection cannot be used any more.
    ProtocolError,
}

/// The state of the protocol on one connection.
pub(crate) struct Backend {
    phase: Phase,
    inbox: Inbox,
    /// Output that waits to be written.
    pub outbox: Outbox,
    partial_reply: PartialReply,
    load_report_format: LoadReportFormat,
}

impl Backend {
    /// A new connection. The startup message waits to be written.
    pub(crate) fn new(load_report_format: LoadReportFormat) -> Backend {
        let mut outbox = Outbox::default();
        outbox.startup("api", "ledger");
        Backend {
            phase: Phase::Startup,
            inbox: Inbox::default(),
            outbox,
            partial_reply: PartialReply::default(),
            load_report_format,
        }
    }

    /// Forwards a statement, unchanged except for the remaining wait.
    pub(crate) fn send_statement(&mut self, statement: &Statement, remaining_ms: u64) {
        let (head, tail) = statement.text_around_timeout();
        self.send(Phase::Statement, &[head, remaining_ms.to_string().as_bytes(), tail]);
    }

    /// Asks for the copy of what the statement reads, if it has this position.
    pub(crate) fn send_copy_read(
        &mut self,
        statement: &Statement,
        remaining_ms: u64,
        required_position: Micros,
    ) {
        let query = copies::read_copy(statement, remaining_ms, required_position);
        self.send(Phase::CopyRead { required_position }, &[&query]);
    }

    /// Sends a statement that no client sent.
    pub(crate) fn send_background_query(&mut self, text: &[u8]) {
        self.send(Phase::BackgroundQuery, &[text]);
    }

    /// Asks the database for its load report.
    pub(crate) fn send_load_report_query(&mut self) {
        self.send(Phase::LoadReportQuery, &[b"SHOW usage"]);
    }

    /// Puts a query, in parts, into the output.
    fn send(&mut self, phase: Phase, query_parts: &[&[u8]]) {
        self.outbox.query(query_parts);
        self.phase = phase;
        self.partial_reply = PartialReply::default();
    }

    /// Takes bytes that were received.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.inbox.feed(bytes);
    }

    /// The next event in the bytes received so far.
    pub(crate) fn next_event(&mut self) -> Option<BackendEvent> {
        while self.phase != Phase::Closed {
            if self.is_streaming() {
                return self.next_value_chunk();
            }
            if self.phase.serves_client() && self.partial_reply.stage == ReplyStage::Description {
                match self.inbox.take_long_row_header() {
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
                // Invalid bytes after a complete reply do not invalidate the reply, only the connection.
                Err(_) => return Some(self.connection_ended().unwrap_or(BackendEvent::ProtocolError)),
            }
        }
        None
    }

    /// A streamed value has begun, and not all of it has arrived.
    pub(crate) fn is_streaming(&self) -> bool {
        self.partial_reply.value_bytes_remaining > 0
    }

    /// No query is in flight and there is no unexpected input: another query may be sent.
    pub(crate) fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && self.inbox.len() == 0
    }

    /// The connection has ended. A reply that was complete except for the last message still counts.
    pub(crate) fn connection_ended(&mut self) -> Option<BackendEvent> {
        let phase = std::mem::replace(&mut self.phase, Phase::Closed);
        let expected = phase.expected_reply().filter(|_| self.partial_reply.stage == ReplyStage::Complete)?;
        Some(BackendEvent::QueryCompleted(self.take_reply(expected)))
    }

    /// A value begins that is too long to be buffered.
    fn start_streamed_value(&mut self, length: usize) -> BackendEvent {
        self.partial_reply.value_bytes_remaining = length;
        self.partial_reply.stage = ReplyStage::Row;
        BackendEvent::ValueStarted(length)
    }

    /// Takes what has arrived of the streamed value.
    fn next_value_chunk(&mut self) -> Option<BackendEvent> {
        let chunk = self.inbox.take_up_to(self.partial_reply.value_bytes_remaining);
        self.partial_reply.value_bytes_remaining -= chunk.len();
        (!chunk.is_empty()).then_some(BackendEvent::ValueChunk(chunk))
    }

    /// The reply from the messages so far; the next reply starts without any.
    fn take_reply(&mut self, expected: ExpectedReply) -> Reply {
        std::mem::take(&mut self.partial_reply).into_reply(expected, &self.load_report_format)
    }
}
