//! SQLSTATE codes that the proxy sends or interprets.

use std::fmt;

/// A SQLSTATE code, which consists of five ASCII letters and digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SqlState([u8; 5]);

impl SqlState {
    /// To a client: nothing has run, or a retry is safe. From a database: the database is overloaded.
    pub(crate) const TOO_MANY_CONNECTIONS: SqlState = SqlState(*b"53300");
    /// From a replica: it was sent a write.
    pub(crate) const READ_ONLY: SqlState = SqlState(*b"25006");
    /// From a replica: it has not reached the position that a read requires.
    pub(crate) const SNAPSHOT_TOO_OLD: SqlState = SqlState(*b"72000");
    /// To a client: there is no response from a database, and the statement may have run.
    pub(crate) const SYSTEM_ERROR: SqlState = SqlState(*b"58000");
    /// To a client: the statement has neither of the two accepted forms.
    pub(crate) const SYNTAX_ERROR: SqlState = SqlState(*b"42601");
    /// To a client: a field of the statement's comment has an invalid value.
    pub(crate) const INVALID_VALUE: SqlState = SqlState(*b"22023");
    /// To a client: the proxy does not support this part of the protocol.
    pub(crate) const NOT_SUPPORTED: SqlState = SqlState(*b"0A000");
    /// To a client: the client violated the protocol.
    pub(crate) const PROTOCOL_VIOLATION: SqlState = SqlState(*b"08P01");
    /// To a client: a message exceeds the size limit.
    pub(crate) const LIMIT_EXCEEDED: SqlState = SqlState(*b"54000");

    /// Parses a code. `None`: the text is not a code.
    pub(crate) fn parse(text: &[u8]) -> Option<SqlState> {
        let code = <[u8; 5]>::try_from(text).ok()?;
        code.iter().all(u8::is_ascii_alphanumeric).then_some(SqlState(code))
    }

    /// Returns the code as it is sent in an error message.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{}", char::from(*byte)))
    }
}
