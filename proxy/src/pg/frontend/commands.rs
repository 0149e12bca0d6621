//! What a client's messages mean: its greeting, and one command after the other.

use super::{ClientCommand, Frontend, Phase, Step};
use crate::pg::codec::{FromClient, Malformed, Startup};
use crate::pg::sqlstate;
use crate::pg::statement::Statement;
use birchreach::Micros;

impl Frontend {
    pub(super) fn startup(&mut self, now: Micros) -> Result<Step, Malformed> {
        let waited = self.inbox.len();
        let message = self.inbox.startup()?;
        self.arrived(waited, now);
        match message {
            None => return Ok(Step::Wait),
            Some(Startup::Encryption) => self.out.raw(b"N"),
            Some(Startup::Cancel) => {
                // Nothing to cancel by key: a client that gives up closes its connection.
                self.phase = Phase::Over;
                return Ok(Step::Command(ClientCommand::Close("cancel-request")));
            }
            Some(Startup::Unsupported { .. }) => {
                let message = "only version 3 of the protocol is spoken here";
                self.fatal(sqlstate::NOT_SUPPORTED, message);
                return Ok(Step::Command(ClientCommand::CloseWithError("version")));
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
        Ok(Step::On)
    }

    pub(super) fn command(&mut self, now: Micros) -> Result<Step, Malformed> {
        let waited = self.inbox.len();
        let message = self.inbox.client_message()?;
        let arrived = self.arrived(waited, now);
        let Some(message) = message else {
            let goes_on = self.inbox.begun().is_none_or(Statement::may_go_on);
            return if goes_on { Ok(Step::Wait) } else { Err(Malformed::TooLong) };
        };
        (self.taken, self.turn, self.waits) = (self.taken + 1, self.turn - 1, false);
        let skipping = self.phase == Phase::UntilSync;
        match message {
            FromClient::Terminate => {
                self.phase = Phase::Over;
                return Ok(Step::Command(ClientCommand::Close("terminate")));
            }
            FromClient::Sync => {
                self.phase = Phase::Ready;
                self.out.ready_for_query();
            }
            _ if skipping => {}
            FromClient::Flush => {}
            FromClient::Extended => {
                self.out.error("ERROR", sqlstate::NOT_SUPPORTED, "only simple queries are taken", None);
                self.phase = Phase::UntilSync;
            }
            FromClient::FunctionCall => self.reject(sqlstate::NOT_SUPPORTED, "function calls are not taken"),
            FromClient::Query(text) if text.trim_ascii().is_empty() => {
                self.out.empty_query_response();
                self.out.ready_for_query();
            }
            FromClient::Query(text) => match Statement::parse(text) {
                Some(statement) => {
                    self.phase = Phase::Busy { write: statement.write };
                    return Ok(Step::Command(ClientCommand::Run(statement, arrived)));
                }
                None => self.reject(sqlstate::SYNTAX_ERROR, "not a statement of the form that is taken here"),
            },
        }
        Ok(Step::On)
    }
}
