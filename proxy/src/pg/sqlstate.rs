//! SQLSTATE codes.

use std::fmt;

/// A code of five letters and digits, as it stands in an error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SqlState([u8; 5]);

impl SqlState {
    /// Sent where nothing ran, or a repeat is harmless; from a database that is full.
    pub const TOO_MANY_CONNECTIONS: SqlState = SqlState(*b"53300");
    /// From a replica that was sent a write.
    pub const READ_ONLY: SqlState = SqlState(*b"25006");
    /// From a replica that has not reached the position that a read requires.
    pub const SNAPSHOT_TOO_OLD: SqlState = SqlState(*b"72000");
    /// Sent where no answer came and the statement may have run.
    pub const SYSTEM_ERROR: SqlState = SqlState(*b"58000");
    /// The statement has neither of the two forms.
    pub const SYNTAX_ERROR: SqlState = SqlState(*b"42601");
    /// A field of the statement's comment does not fit.
    pub const INVALID_VALUE: SqlState = SqlState(*b"22023");
    /// The protocol has it, the proxy does not.
    pub const NOT_SUPPORTED: SqlState = SqlState(*b"0A000");
    /// The client sent what the protocol does not allow.
    pub const PROTOCOL_VIOLATION: SqlState = SqlState(*b"08P01");
    /// A message is longer than any that is accepted.
    pub const LIMIT_EXCEEDED: SqlState = SqlState(*b"54000");

    /// Reads a code. `None`: the text is no code.
    pub fn parse(text: &[u8]) -> Option<SqlState> {
        let code = <[u8; 5]>::try_from(text).ok()?;
        code.iter().all(u8::is_ascii_alphanumeric).then_some(SqlState(code))
    }

    /// The code as it stands in a message.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{}", char::from(*byte)))
    }
}
