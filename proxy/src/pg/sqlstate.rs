//! SQLSTATE codes.

use std::fmt;

/// A code of five letters and digits, as an error message has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SqlState([u8; 5]);

impl SqlState {
    /// Sent to clients if nothing has run or a retry is safe. From a database: it is overloaded.
    pub(crate) const TOO_MANY_CONNECTIONS: SqlState = SqlState(*b"53300");
    /// From a replica that was sent a write.
    pub(crate) const READ_ONLY: SqlState = SqlState(*b"25006");
    /// From a replica that has not reached the position that a read requires.
    pub(crate) const SNAPSHOT_TOO_OLD: SqlState = SqlState(*b"72000");
    /// Sent to clients if there is no answer and the statement may have run.
    pub(crate) const SYSTEM_ERROR: SqlState = SqlState(*b"58000");
    /// The statement has neither of the two forms.
    pub(crate) const SYNTAX_ERROR: SqlState = SqlState(*b"42601");
    /// A field of the statement's comment does not fit.
    pub(crate) const INVALID_VALUE: SqlState = SqlState(*b"22023");
    /// A part of the protocol that the proxy does not support.
    pub(crate) const NOT_SUPPORTED: SqlState = SqlState(*b"0A000");
    /// The client violated the protocol.
    pub(crate) const PROTOCOL_VIOLATION: SqlState = SqlState(*b"08P01");
    /// A message is longer than any that is accepted.
    pub(crate) const LIMIT_EXCEEDED: SqlState = SqlState(*b"54000");

    /// Parses a code. `None`: the text is not a code.
    pub(crate) fn parse(text: &[u8]) -> Option<SqlState> {
        let code = <[u8; 5]>::try_from(text).ok()?;
        code.iter().all(u8::is_ascii_alphanumeric).then_some(SqlState(code))
    }

    /// The code as a message has it.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{}", char::from(*byte)))
    }
}
