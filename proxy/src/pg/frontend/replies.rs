//! Replies to a client: values as the databases sent them, and errors.

use super::{Frontend, Phase};
use crate::core::Answer;
use crate::pg::codec::Severity;
use crate::pg::sqlstate::SqlState;

/// The name of the only column in a result.
const COLUMN: &str = "blob";

impl Frontend {
    /// Answers the pending command with an error. The next command may follow.
    pub(crate) fn reject(&mut self, code: SqlState, message: &str) {
        self.outbox.error(Severity::Error, code, message, None);
        self.outbox.ready_for_query();
        self.phase = Phase::Ready;
    }

    /// Writes the row header of a value with this length in bytes. The caller appends the value to the outbox.
    pub(crate) fn start_value(&mut self, binary: bool, length: usize) {
        self.outbox.row_header(COLUMN, binary, length);
    }

    /// Writes the answer to the pending statement. For [`Answer::Streamed`] the row has already been written. Does nothing if no
    /// statement is pending.
    pub(crate) fn answer(&mut self, answer: &Answer) {
        let Phase::AnswerPending { is_write } = self.phase else { return };
        let tag = if is_write { "INSERT 0 1" } else { "SELECT 1" };
        match answer {
            Answer::Served(value) => {
                self.start_value(value.binary, value.bytes.len());
                self.outbox.append(&value.bytes);
                self.outbox.command_complete(tag);
            }
            Answer::Streamed => self.outbox.command_complete(tag),
            Answer::Rejected { retry_after_ms } => {
                let detail = retry_after_ms.map(|millis| millis.to_string());
                let message = "not now; nothing ran, or a repeat is harmless";
                let code = SqlState::TOO_MANY_CONNECTIONS;
                self.outbox.error(Severity::Error, code, message, detail.as_deref());
            }
            Answer::Failed => {
                let message = "no answer; it may have run";
                self.outbox.error(Severity::Error, SqlState::SYSTEM_ERROR, message, None);
            }
        }
        self.outbox.ready_for_query();
        self.phase = Phase::Ready;
    }
}
