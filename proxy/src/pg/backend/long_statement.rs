//! A long statement on its way to a database. It is written from the client's text, of which there is no copy.

use super::Backend;
use crate::pg::statement::Statement;
use std::rc::Rc;

/// The parts of a statement's text and its terminator.
const PART_COUNT: usize = 4;

/// A statement of which a part has still to be written.
pub(super) struct LongStatement {
    statement: Rc<Statement>,
    /// The digits of the timeout that replaces the client's.
    timeout: String,
    /// The bytes that have been written.
    written: usize,
}

impl LongStatement {
    /// Starts to write a statement with this timeout in milliseconds.
    pub(super) fn new(statement: Rc<Statement>, timeout_ms: u64) -> LongStatement {
        LongStatement { statement, timeout: timeout_ms.to_string(), written: 0 }
    }

    /// Returns the length of the statement with its terminator, in bytes.
    pub(super) fn total_bytes(&self) -> usize {
        self.parts().iter().map(|part| part.len()).sum()
    }

    /// Returns what has still to be written.
    pub(super) fn pending(&self) -> [&[u8]; PART_COUNT] {
        let mut skipped = self.written;
        self.parts().map(|part| {
            let start = skipped.min(part.len());
            skipped -= start;
            &part[start..]
        })
    }

    /// Records that this many bytes have been written. Returns whether that was all.
    pub(super) fn advance(&mut self, bytes: usize) -> bool {
        self.written += bytes;
        self.written >= self.total_bytes()
    }

    fn parts(&self) -> [&[u8]; PART_COUNT] {
        let (head, tail) = self.statement.text_around_timeout();
        [head, self.timeout.as_bytes(), tail, b"\0"]
    }
}

impl Backend {
    /// Returns whether output has still to be written.
    pub(crate) fn has_output(&self) -> bool {
        self.long_statement.is_some() || !self.outbox.pending().is_empty()
    }

    /// Returns the output that has not been written if a part of it is a long statement. `None`: all of it is in the outbox.
    pub(crate) fn long_output(&self) -> Option<[&[u8]; PART_COUNT + 1]> {
        let [head, timeout, tail, end] = self.long_statement.as_ref()?.pending();
        Some([self.outbox.pending(), head, timeout, tail, end])
    }

    /// Records that this many bytes of the long output have been written.
    pub(crate) fn advance_long_output(&mut self, bytes: usize) {
        let from_outbox = bytes.min(self.outbox.pending().len());
        self.outbox.advance(from_outbox);
        self.long_statement.take_if(|statement| statement.advance(bytes - from_outbox));
    }
}
