//! A connection to a database: fed what the database sends, it tells when the connection is up and
//! what each query came to.

use super::answer::{PartialReply, ReplyStage};
use super::codec::{DecodeError, Inbox, LongRowHeader, MAX_SERVER_MESSAGE_BYTES, ServerMessage};
use super::copies;
use super::statement::Statement;
use crate::outbox::Outbox;
use crate::pg::report::{LoadReportFormat, parse_position_millis, parse_role};
use crate::reply::{Reply, Value};
use birchreach::Micros;
use std::mem::take;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Startup,
    Idle,
    Query,
    LoadReportQuery,
    /// A statement that no client sent.
    BackgroundQuery,
    Over,
}

/// What the database's bytes came to.
#[derive(Debug, PartialEq)]
pub enum BackendEvent {
    /// The connection is up.
    Ready,
    /// A long value begins, of so many bytes; they follow in pieces, and its end with `Done`.
    ValueStarted(usize),
    ValueChunk(Vec<u8>),
    /// The query is over.
    QueryCompleted(Reply),
    /// It turned the connection away before anything could be asked.
    Rejected(Reply),
    /// What it says makes no sense; the connection is of no use.
    ProtocolError,
}

pub struct Backend {
    phase: Phase,
    inbox: Inbox,
    pub out: Outbox,
    partial_reply: PartialReply,
    report_form: LoadReportFormat,
    /// A copy is asked for, which must have this position.
    required_copy_position: Option<Micros>,
}

impl Backend {
    /// A new connection; the startup message waits to be written.
    pub fn new(form: LoadReportFormat) -> Backend {
        let mut out = Outbox::default();
        out.startup("api", "ledger");
        Backend {
            phase: Phase::Startup,
            inbox: Inbox::default(),
            out,
            partial_reply: PartialReply::default(),
            report_form: form,
            required_copy_position: None,
        }
    }

    /// Sends the statement on, unchanged but for the wait that is left.
    pub fn send_statement(&mut self, statement: &Statement, left_ms: u64) {
        let (head, tail) = statement.text_around_deadline();
        self.out.query(&[head, left_ms.to_string().as_bytes(), tail]);
        (self.phase, self.partial_reply, self.required_copy_position) =
            (Phase::Query, PartialReply::default(), None);
    }

    /// Asks for the copy of what the statement reads, if it has this position.
    pub fn send_copy_read(&mut self, statement: &Statement, left_ms: u64, position: Micros) {
        self.out.query(&[&copies::read_copy(statement, left_ms, position)]);
        (self.phase, self.partial_reply, self.required_copy_position) =
            (Phase::Query, PartialReply::default(), Some(position));
    }

    /// Sends a statement of our own.
    pub fn send_background_query(&mut self, text: &[u8]) {
        self.out.query(&[text]);
        (self.phase, self.partial_reply, self.required_copy_position) =
            (Phase::BackgroundQuery, PartialReply::default(), None);
    }

    /// Asks the database for its report.
    pub fn send_load_report_query(&mut self) {
        self.out.query(&[b"SHOW usage"]);
        (self.phase, self.partial_reply, self.required_copy_position) =
            (Phase::LoadReportQuery, PartialReply::default(), None);
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.inbox.feed(bytes);
    }

    pub fn next_event(&mut self) -> Option<BackendEvent> {
        while self.phase != Phase::Over {
            if self.partial_reply.value_bytes_remaining > 0 {
                let piece = self.inbox.take_up_to(self.partial_reply.value_bytes_remaining);
                self.partial_reply.value_bytes_remaining -= piece.len();
                return (!piece.is_empty()).then_some(BackendEvent::ValueChunk(piece));
            }
            if (self.phase, self.partial_reply.stage) == (Phase::Query, ReplyStage::Description) {
                match self.inbox.take_long_row_header() {
                    LongRowHeader::Absent => {}
                    LongRowHeader::Incomplete => return None,
                    LongRowHeader::Present(length) => {
                        (self.partial_reply.value_bytes_remaining, self.partial_reply.stage) =
                            (length, ReplyStage::Row);
                        return Some(BackendEvent::ValueStarted(length));
                    }
                }
            }
            let heard = match self.inbox.server_message() {
                Ok(None) => {
                    self.inbox.release_empty_buffer();
                    return None;
                }
                Ok(Some((message, bytes))) => self.handle_message(message, bytes),
                Err(e) => Err(e),
            };
            match heard {
                Ok(None) => {}
                Ok(Some(heard)) => return Some(heard),
                // Noise right behind a whole answer does not spoil it, only the connection.
                Err(_) => return Some(self.connection_ended().unwrap_or(BackendEvent::ProtocolError)),
            }
        }
        None
    }

    /// A long value has begun, and not all of it has come.
    pub fn is_streaming(&self) -> bool {
        self.partial_reply.value_bytes_remaining > 0
    }

    /// Nothing has come that was not asked for: the connection may carry another query.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && self.inbox.len() == 0
    }

    /// The connection is over. An answer that was whole but for the last message still counts.
    pub fn connection_ended(&mut self) -> Option<BackendEvent> {
        let whole = self.partial_reply.stage == ReplyStage::Complete;
        match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Query if whole => Some(BackendEvent::QueryCompleted(self.take_reply(false))),
            Phase::BackgroundQuery if whole => Some(BackendEvent::QueryCompleted(self.take_reply(false))),
            Phase::LoadReportQuery if whole => Some(BackendEvent::QueryCompleted(self.take_reply(true))),
            _ => None,
        }
    }

    fn handle_message(
        &mut self,
        message: ServerMessage,
        bytes: usize,
    ) -> Result<Option<BackendEvent>, DecodeError> {
        let asked = matches!(self.phase, Phase::Query | Phase::LoadReportQuery | Phase::BackgroundQuery);
        self.partial_reply.bytes += bytes;
        if self.partial_reply.bytes > 2 * MAX_SERVER_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        let part = self.partial_reply.stage;
        match message {
            ServerMessage::Skipped => {}
            ServerMessage::Authentication(0) if self.phase == Phase::Startup => {}
            ServerMessage::Authentication(_) => return Err(DecodeError::Malformed("a password is wanted")),
            ServerMessage::ParameterStatus { name, value } => match name.as_str() {
                "server_role" => self.partial_reply.role = parse_role(&value),
                "commit_clock" => self.partial_reply.position = parse_position_millis(&value),
                "usage" if self.report_form.in_responses => {
                    self.partial_reply.load_report = self.report_form.parse(value.as_bytes())
                }
                _ => {}
            },
            ServerMessage::Error { code } if self.phase == Phase::Startup => {
                self.partial_reply.error = Some(code);
                self.phase = Phase::Over;
                return Ok(Some(BackendEvent::Rejected(self.take_reply(false))));
            }
            ServerMessage::Error { code } if asked && part != ReplyStage::Complete => {
                (self.partial_reply.error, self.partial_reply.stage) = (Some(code), ReplyStage::Complete);
            }
            // Values come in binary form.
            ServerMessage::RowDescription { binary }
                if part == ReplyStage::Nothing && asked && (binary || self.phase != Phase::Query) =>
            {
                self.partial_reply.stage = ReplyStage::Description;
            }
            ServerMessage::DataRow(bytes) if part == ReplyStage::Description => {
                let binary = self.phase != Phase::LoadReportQuery;
                (self.partial_reply.value, self.partial_reply.stage) =
                    (Some(Value { bytes, binary }), ReplyStage::Row);
            }
            ServerMessage::CommandComplete if part == ReplyStage::Row => {
                self.partial_reply.stage = ReplyStage::Complete
            }
            // No row, or a statement that has none.
            ServerMessage::CommandComplete
                if self.phase == Phase::BackgroundQuery && part != ReplyStage::Complete =>
            {
                self.partial_reply.stage = ReplyStage::Complete;
            }
            ServerMessage::ReadyForQuery if self.phase == Phase::Startup => {
                (self.phase, self.partial_reply) = (Phase::Idle, PartialReply::default());
                return Ok(Some(BackendEvent::Ready));
            }
            ServerMessage::ReadyForQuery if part == ReplyStage::Complete => {
                let probe = std::mem::replace(&mut self.phase, Phase::Idle) == Phase::LoadReportQuery;
                return Ok(Some(BackendEvent::QueryCompleted(self.take_reply(probe))));
            }
            _ => return Err(DecodeError::Malformed("a message out of place")),
        }
        Ok(None)
    }

    fn take_reply(&mut self, probe: bool) -> Reply {
        take(&mut self.partial_reply).into_reply(probe, self.required_copy_position.take(), &self.report_form)
    }
}
