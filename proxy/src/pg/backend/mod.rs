//! A connection to a database: is fed what the database sends, and says when the connection is established and what each query came
//! to.

mod messages;

use super::codec::{Inbox, LongRowHeader};
use super::copies;
use super::load_report::LoadReportFormat;
use super::partial_reply::{ExpectedReply, PartialReply, ReplyStage};
use super::statement::Statement;
use crate::outbox::Outbox;
use crate::reply::Reply;
use birchreach::Micros;

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
    Over,
}

impl Phase {
    /// What the query asked for, where one is in flight.
    fn expected_reply(self) -> Option<ExpectedReply> {
        match self {
            Phase::Startup | Phase::Idle | Phase::Over => None,
            Phase::Statement | Phase::BackgroundQuery => Some(ExpectedReply::Value),
            Phase::CopyRead { required_position } => Some(ExpectedReply::Copy { required_position }),
            Phase::LoadReportQuery => Some(ExpectedReply::LoadReport),
        }
    }

    fn serves_client(self) -> bool {
        matches!(self, Phase::Statement | Phase::CopyRead { .. })
    }
}

/// What the database's bytes amount to.
#[derive(Debug, PartialEq)]
pub enum BackendEvent {
    /// The connection is established.
    Ready,
    /// A streamed value of so many bytes begins. They follow in chunks, and its end with `QueryCompleted`.
    ValueStarted(usize),
    ValueChunk(Vec<u8>),
    QueryCompleted(Reply),
    /// The database sent an error in place of a startup.
    Rejected(Reply),
    /// The database sent what the protocol does not allow. The connection is of no more use.
    ProtocolError,
}

/// The state of the protocol on one connection.
pub struct Backend {
    phase: Phase,
    inbox: Inbox,
    /// What waits to be written.
    pub out: Outbox,
    partial_reply: PartialReply,
    load_report_format: LoadReportFormat,
}

impl Backend {
    /// A new connection. The startup message waits to be written.
    pub fn new(load_report_format: LoadReportFormat) -> Backend {
        let mut out = Outbox::default();
        out.startup("api", "ledger");
        Backend {
            phase: Phase::Startup,
            inbox: Inbox::default(),
            out,
            partial_reply: PartialReply::default(),
            load_report_format,
        }
    }

    /// Forwards a statement, unchanged except for the wait that is left.
    pub fn send_statement(&mut self, statement: &Statement, left_ms: u64) {
        let (head, tail) = statement.text_around_deadline();
        self.send(Phase::Statement, &[head, left_ms.to_string().as_bytes(), tail]);
    }

    /// Asks for the copy of what the statement reads, if it has this position.
    pub fn send_copy_read(&mut self, statement: &Statement, left_ms: u64, required_position: Micros) {
        let query = copies::read_copy(statement, left_ms, required_position);
        self.send(Phase::CopyRead { required_position }, &[&query]);
    }

    /// Sends a statement that no client sent.
    pub fn send_background_query(&mut self, text: &[u8]) {
        self.send(Phase::BackgroundQuery, &[text]);
    }

    /// Asks the database for its load report.
    pub fn send_load_report_query(&mut self) {
        self.send(Phase::LoadReportQuery, &[b"SHOW usage"]);
    }

    fn send(&mut self, phase: Phase, query_parts: &[&[u8]]) {
        self.out.query(query_parts);
        self.phase = phase;
        self.partial_reply = PartialReply::default();
    }

    /// Takes bytes that were received.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.inbox.feed(bytes);
    }

    /// What the bytes received so far amount to next.
    pub fn next_event(&mut self) -> Option<BackendEvent> {
        while self.phase != Phase::Over {
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
                // Invalid bytes right behind a complete reply do not invalidate it, only the connection.
                Err(_) => return Some(self.connection_ended().unwrap_or(BackendEvent::ProtocolError)),
            }
        }
        None
    }

    /// A streamed value has begun, and not all of it has arrived.
    pub fn is_streaming(&self) -> bool {
        self.partial_reply.value_bytes_remaining > 0
    }

    /// No query is in flight, and nothing arrived that was not asked for: the connection may carry another query.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && self.inbox.len() == 0
    }

    /// The connection is over. A reply that was complete except for the last message still counts.
    pub fn connection_ended(&mut self) -> Option<BackendEvent> {
        let phase = std::mem::replace(&mut self.phase, Phase::Over);
        let expected = phase.expected_reply().filter(|_| self.partial_reply.stage == ReplyStage::Complete)?;
        Some(BackendEvent::QueryCompleted(self.take_reply(expected)))
    }

    fn start_streamed_value(&mut self, length: usize) -> BackendEvent {
        self.partial_reply.value_bytes_remaining = length;
        self.partial_reply.stage = ReplyStage::Row;
        BackendEvent::ValueStarted(length)
    }

    fn next_value_chunk(&mut self) -> Option<BackendEvent> {
        let chunk = self.inbox.take_up_to(self.partial_reply.value_bytes_remaining);
        self.partial_reply.value_bytes_remaining -= chunk.len();
        (!chunk.is_empty()).then_some(BackendEvent::ValueChunk(chunk))
    }

    fn take_reply(&mut self, expected: ExpectedReply) -> Reply {
        std::mem::take(&mut self.partial_reply).into_reply(expected, &self.load_report_format)
    }
}
