//! Errors in statements that are syntactically valid.

use crate::pg::sqlstate::SqlState;
use std::error::Error;
use std::fmt;

/// Why a valid statement is rejected instead of becoming a request. Clients receive the `Display` text as the error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementError {
    /// The settings have no request class with the name in the statement.
    UnknownClass,
    /// The statement is a write and its request class is for reads, or the reverse.
    ClassMismatch,
    /// No group has the number in the statement.
    UnknownGroup,
    /// Another open request has the same ID.
    DuplicateId,
}

impl StatementError {
    /// Returns the SQLSTATE code of the error message.
    pub(crate) fn sqlstate(self) -> SqlState {
        match self {
            StatementError::UnknownClass
            | StatementError::ClassMismatch
            | StatementError::UnknownGroup
            | StatementError::DuplicateId => SqlState::INVALID_VALUE,
        }
    }
}

impl fmt::Display for StatementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StatementError::UnknownClass => "c names no class",
            StatementError::ClassMismatch => "the class does not go with this form of statement",
            StatementError::UnknownGroup => "cluster names no group",
            StatementError::DuplicateId => "id is that of an open request",
        })
    }
}

impl Error for StatementError {}
