//! What a client's messages mean: its greeting, and one command after the other.

use super::{ClientCommand, Frontend, Phase, Progress};
use crate::pg::codec::{ClientMessage, DecodeError, Startup};
use crate::pg::sqlstate;
use crate::pg::statement::Statement;
use birchreach::Micros;

impl Frontend {
    pub(super) fn process_startup(&mut self, now: Micros) -> Result<Progress, DecodeError> {
        let waited = self.inbox.len();
        let message = self.inbox.startup()?;
        self.take_arrival_time(waited, now);
        match message {
            None => return Ok(Progress::NeedsInput),
            Some(Startup::Encryption) => self.out.raw(b"N"),
            Some(Startup::Cancel) => {
                // Nothing to cancel by key: a client that gives up closes its connection.
                self.phase = Phase::Over;
                return Ok(Progress::Command(ClientCommand::Close("cancel-request")));
            }
            Some(Startup::Unsupported { .. }) => {
                let message = "only version 3 of the protocol is spoken here";
                self.fail(sqlstate::NOT_SUPPORTED, message);
                return Ok(Progress::Command(ClientCommand::CloseWithError("version")));
            }
            Some(Startup::Version3 { minor, options }) => {
                if minor > 0 || !options.is_empty() {
                    self.out.negotiate_version(&options);
                }
                self.out.authentication_ok();
                for (name, value) in [
                    ("server_version", "16.0"),
                    ("server_encoding", "UTF8"),
                    ("client_encoding", "UTF8"),
                    ("DateStyle", "ISO, MDY"),
                    ("integer_datetimes", "on"),
                    ("standard_conforming_strings", "on"),
                ] {
                    self.out.parameter_status(name, value);
                }
                self.out.ready_for_query();
                self.phase = Phase::Ready;
            }
        }
        Ok(Progress::Continue)
    }

    pub(super) fn process_message(&mut self, now: Micros) -> Result<Progress, DecodeError> {
        let waited = self.inbox.len();
        let message = self.inbox.client_message()?;
        let arrived = self.take_arrival_time(waited, now);
        let Some(message) = message else {
            let goes_on = self.inbox.incomplete_body().is_none_or(Statement::may_become_valid);
            return if goes_on { Ok(Progress::NeedsInput) } else { Err(DecodeError::TooLong) };
        };
        (self.commands_received, self.commands_left_in_turn, self.awaiting_rest_of_message) =
            (self.commands_received + 1, self.commands_left_in_turn - 1, false);
        let skipping = self.phase == Phase::UntilSync;
        match message {
            ClientMessage::Terminate => {
                self.phase = Phase::Over;
                return Ok(Progress::Command(ClientCommand::Close("terminate")));
            }
            ClientMessage::Sync => {
                self.phase = Phase::Ready;
                self.out.ready_for_query();
            }
            _ if skipping => {}
            ClientMessage::Flush => {}
            ClientMessage::Extended => {
                self.out.error("ERROR", sqlstate::NOT_SUPPORTED, "only simple queries are taken", None);
                self.phase = Phase::UntilSync;
            }
            ClientMessage::FunctionCall => {
                self.reject(sqlstate::NOT_SUPPORTED, "function calls are not taken")
            }
            ClientMessage::Query(text) if text.trim_ascii().is_empty() => {
                self.out.empty_query_response();
                self.out.ready_for_query();
            }
            ClientMessage::Query(text) => match Statement::parse(text) {
                Some(statement) => {
                    self.phase = Phase::Busy { write: statement.is_write };
                    return Ok(Progress::Command(ClientCommand::Run(statement, arrived)));
                }
                None => self.reject(sqlstate::SYNTAX_ERROR, "not a statement of the form that is taken here"),
            },
        }
        Ok(Progress::Continue)
    }
}
