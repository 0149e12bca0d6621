//! Handling of database messages, depending on the state of the connection.

use super::{Backend, BackendEvent, Phase};
use crate::pg::codec::{DecodeError, MAX_SERVER_MESSAGE_BYTES, ServerMessage};
use crate::pg::load_report::{parse_position_millis, parse_role};
use crate::pg::partial_reply::{ExpectedReply, PartialReply, ReplyStage};
use crate::pg::sqlstate::SqlState;
use crate::reply::Value;

/// The limit on the total size of the messages of one reply, not counting a streamed value.
const MAX_REPLY_BYTES: usize = 2 * MAX_SERVER_MESSAGE_BYTES;

impl Backend {
    /// Handles a message whose size is `bytes`. Fails if the message is not allowed in the present state or makes the reply too
    /// long.
    pub(super) fn handle_message(
        &mut self,
        message: ServerMessage,
        bytes: usize,
    ) -> Result<Option<BackendEvent>, DecodeError> {
        self.partial_reply.bytes += bytes;
        if self.partial_reply.bytes > MAX_REPLY_BYTES {
            return Err(DecodeError::TooLong);
        }
        match message {
            ServerMessage::Skipped => Ok(None),
            ServerMessage::Authentication(0) if self.phase == Phase::Startup => Ok(None),
            ServerMessage::Authentication(_) => Err(DecodeError::PasswordRequested),
            ServerMessage::ParameterStatus { name, value } => {
                self.record_parameter(&name, &value);
                Ok(None)
            }
            ServerMessage::Error { code } => self.handle_error(code),
            ServerMessage::RowDescription { binary } => self.handle_row_description(binary),
            ServerMessage::DataRow(value) => self.handle_row(value),
            ServerMessage::CommandComplete => self.handle_command_complete(),
            ServerMessage::ReadyForQuery => self.handle_ready().map(Some),
        }
    }

    /// Records a ParameterStatus that describes the database: its role, log position or load report. Others are ignored.
    fn record_parameter(&mut self, name: &str, value: &str) {
        match name {
            "server_role" => self.partial_reply.role = parse_role(value),
            "commit_clock" => self.partial_reply.position = parse_position_millis(value),
            "usage" if self.load_report_format.in_responses => {
                self.partial_reply.load_report = self.load_report_format.parse(value.as_bytes());
            }
            _ => {}
        }
    }

    /// Handles an error, which completes the reply. An error during startup closes the connection.
    fn handle_error(&mut self, code: SqlState) -> Result<Option<BackendEvent>, DecodeError> {
        if self.phase == Phase::Startup {
            self.partial_reply.error = Some(code);
            self.phase = Phase::Closed;
            return Ok(Some(BackendEvent::Rejected(self.take_reply(ExpectedReply::Value))));
        }
        if self.phase.expected_reply().is_none() || self.partial_reply.stage == ReplyStage::Complete {
            return Err(DecodeError::UnexpectedMessage);
        }
        self.partial_reply.error = Some(code);
        self.partial_reply.stage = ReplyStage::Complete;
        Ok(None)
    }

    /// Handles the description of the result. Values for clients are forwarded unchanged, and so must be in binary format.
    fn handle_row_description(&mut self, binary: bool) -> Result<Option<BackendEvent>, DecodeError> {
        let is_expected = self.phase.expected_reply().is_some() && (binary || !self.phase.serves_client());
        if !is_expected || self.partial_reply.stage != ReplyStage::Nothing {
            return Err(DecodeError::UnexpectedMessage);
        }
        self.partial_reply.stage = ReplyStage::Description;
        Ok(None)
    }

    /// Handles the only row of the reply, which follows the description.
    fn handle_row(&mut self, bytes: Vec<u8>) -> Result<Option<BackendEvent>, DecodeError> {
        if self.partial_reply.stage != ReplyStage::Description {
            return Err(DecodeError::UnexpectedMessage);
        }
        let binary = self.phase != Phase::LoadReportQuery;
        self.partial_reply.value = Some(Value { bytes, binary });
        self.partial_reply.stage = ReplyStage::Row;
        Ok(None)
    }

    /// Handles the end of a statement's result.
    fn handle_command_complete(&mut self) -> Result<Option<BackendEvent>, DecodeError> {
        match self.partial_reply.stage {
            ReplyStage::Row => {}
            // The query found no row, or the statement returns no rows.
            ReplyStage::Nothing | ReplyStage::Description if self.phase == Phase::BackgroundQuery => {}
            _ => return Err(DecodeError::UnexpectedMessage),
        }
        self.partial_reply.stage = ReplyStage::Complete;
        Ok(None)
    }

    /// Handles ReadyForQuery, which ends the startup or a reply.
    fn handle_ready(&mut self) -> Result<BackendEvent, DecodeError> {
        if self.phase == Phase::Startup {
            self.phase = Phase::Idle;
            self.partial_reply = PartialReply::default();
            return Ok(BackendEvent::Ready);
        }
        let expected =
            self.phase.expected_reply().filter(|_| self.partial_reply.stage == ReplyStage::Complete);
        let expected = expected.ok_or(DecodeError::UnexpectedMessage)?;
        self.phase = Phase::Idle;
        Ok(BackendEvent::QueryCompleted(self.take_reply(expected)))
    }
}
