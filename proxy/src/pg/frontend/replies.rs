//! What a client is told: values as they came, refusals, failures, errors.

use super::{Frontend, Phase};
use crate::core::Answer;
use crate::pg::sqlstate;

impl Frontend {
    /// Answers the command with an error, and is ready for the next.
    pub fn reject(&mut self, code: &str, message: &str) {
        self.out.error("ERROR", code, message, None);
        self.out.ready_for_query();
        self.phase = Phase::Ready;
    }

    /// A value of this length begins.
    pub fn start_value(&mut self, binary: bool, length: usize) {
        self.out.row_head("blob", binary, length);
    }

    /// The final answer to the statement that was handed out.
    pub fn answer(&mut self, answer: &Answer) {
        let Phase::Busy { write } = self.phase else { return };
        let tag = if write { "INSERT 0 1" } else { "SELECT 1" };
        match answer {
            Answer::Served(value) => {
                self.start_value(value.binary, value.bytes.len());
                self.out.raw(&value.bytes);
                self.out.command_complete(tag);
            }
            Answer::Streamed => self.out.command_complete(tag),
            Answer::Rejected { retry_after_ms: come_back_ms } => {
                let detail = come_back_ms.map(|ms| ms.to_string());
                let message = "not now; nothing ran, or a repeat is harmless";
                self.out.error("ERROR", sqlstate::TOO_MANY_CONNECTIONS, message, detail.as_deref());
            }
            Answer::Failed => {
                self.out.error("ERROR", sqlstate::SYSTEM_ERROR, "no answer; it may have run", None);
            }
        }
        self.out.ready_for_query();
        self.phase = Phase::Ready;
    }
}
