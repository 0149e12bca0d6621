//! SQLSTATE codes.

use std::fmt;

/// A code of five letters and digits, as it stands in an error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SqlState([u8; 5]);

impl SqlState {
    pub const TOO_MANY_CONNECTIONS: SqlState = SqlState(*b"53300");
    pub const READ_ONLY: SqlState = SqlState(*b"25006");
    pub const SNAPSHOT_TOO_OLD: SqlState = SqlState(*b"72000");
    pub const SYSTEM_ERROR: SqlState = SqlState(*b"58000");
    pub const SYNTAX_ERROR: SqlState = SqlState(*b"42601");
    pub const INVALID_VALUE: SqlState = SqlState(*b"22023");
    pub const NOT_SUPPORTED: SqlState = SqlState(*b"0A000");
    pub const PROTOCOL_VIOLATION: SqlState = SqlState(*b"08P01");
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
