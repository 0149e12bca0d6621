//! Handling of client messages, depending on the state of the connection.

use super::{ClientCommand, DecodeProgress, EndReason, Frontend, Phase};
use crate::pg::codec::{ClientMessage, DecodeError, Severity, Startup};
use crate::pg::sqlstate::SqlState;
use crate::pg::statement::Statement;
use birchreach::Micros;

/// Server settings that are reported to each client when its startup message is accepted.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

impl Frontend {
    /// Handles the startup message, or a request for encryption before it.
    pub(super) fn process_startup(&mut self, now: Micros) -> Result<DecodeProgress, DecodeError> {
        let bytes_before = self.inbox.len();
        let message = self.inbox.startup()?;
        self.take_arrival_time(bytes_before, now);
        Ok(match message {
            None => DecodeProgress::NeedsInput,
            Some(Startup::EncryptionRequest) => {
                // The reply `N` tells the client that encryption is not supported.
                self.outbox.append(b"N");
                DecodeProgress::Continue
            }
            Some(Startup::CancelRequest) => {
                // The proxy issues no cancellation keys. A client cancels a request by closing its connection.
                self.phase = Phase::Closed;
                DecodeProgress::Command(ClientCommand::Close(EndReason::CancelRequest))
            }
            Some(Startup::UnsupportedVersion) => {
                self.fail(SqlState::NOT_SUPPORTED, "only version 3 of the protocol is spoken here");
                DecodeProgress::Command(ClientCommand::CloseWithError(EndReason::UnsupportedVersion))
            }
            Some(Startup::Version3 { minor, options }) => {
                self.accept_startup(minor, &options);
                DecodeProgress::Continue
            }
        })
    }

    /// Accepts a client's startup message, and writes the replies to it up to ReadyForQuery.
    fn accept_startup(&mut self, minor: u16, options: &[String]) {
        if minor > 0 || !options.is_empty() {
            self.outbox.negotiate_version(options);
        }
        self.outbox.authentication_ok();
        for (name, value) in PARAMETERS {
            self.outbox.parameter_status(name, value);
        }
        self.outbox.ready_for_query();
        self.phase = Phase::Ready;
    }

    /// Handles a message after the startup message.
    pub(super) fn process_message(&mut self, now: Micros) -> Result<DecodeProgress, DecodeError> {
        let bytes_before = self.inbox.len();
        let message = self.inbox.client_message()?;
        let arrived_at = self.take_arrival_time(bytes_before, now);
        let Some(message) = message else {
            // A message that cannot become a valid statement is rejected before it has arrived in full.
            let has_valid_prefix = self.inbox.incomplete_body().is_none_or(Statement::has_valid_prefix);
            return if has_valid_prefix { Ok(DecodeProgress::NeedsInput) } else { Err(DecodeError::TooLong) };
        };
        self.commands_received += 1;
        self.remaining_commands_in_turn -= 1;
        self.message_incomplete = false;
        Ok(match message {
            ClientMessage::Terminate => {
                self.phase = Phase::Closed;
                DecodeProgress::Command(ClientCommand::Close(EndReason::Terminate))
            }
            ClientMessage::Sync => {
                self.phase = Phase::Ready;
                self.outbox.ready_for_query();
                DecodeProgress::Continue
            }
            _ if self.phase == Phase::SkippingUntilSync => DecodeProgress::Continue,
            ClientMessage::Query(text) => self.process_query(text, arrived_at),
            ClientMessage::Flush => DecodeProgress::Continue,
            ClientMessage::Extended => {
                let message = "only simple queries are taken";
                self.outbox.error(Severity::Error, SqlState::NOT_SUPPORTED, message, None);
                self.phase = Phase::SkippingUntilSync;
                DecodeProgress::Continue
            }
            ClientMessage::FunctionCall => {
                self.reject(SqlState::NOT_SUPPORTED, "function calls are not taken");
                DecodeProgress::Continue
            }
        })
    }

    /// Parses a query. A valid statement becomes a command. An empty query and an invalid statement are answered here.
    fn process_query(&mut self, text: Vec<u8>, arrived_at: Micros) -> DecodeProgress {
        self.inbox.release_decoded_bytes();
        if text.trim_ascii().is_empty() {
            self.outbox.empty_query_response();
            self.outbox.ready_for_query();
            return DecodeProgress::Continue;
        }
        let Some(statement) = Statement::parse(text) else {
            self.reject(SqlState::SYNTAX_ERROR, "not a statement of the form that is taken here");
            return DecodeProgress::Continue;
        };
        self.phase = Phase::AnswerPending { is_write: statement.is_write };
        DecodeProgress::Command(ClientCommand::Run(statement, arrived_at))
    }
}
