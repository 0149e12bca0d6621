//! Why a statement of a valid form is not accepted.

use crate::pg::sqlstate::SqlState;
use std::error::Error;
use std::fmt;

/// Why a statement is answered with an error and does not become a request. Clients receive its text as the error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementError {
    /// The settings have no class of its name.
    UnknownClass,
    /// Its class is for reads and it writes, or the other way round.
    ClassMismatch,
    /// No group has its number.
    UnknownGroup,
    /// Another open request has its id.
    DuplicateId,
}

impl StatementError {
    /// The code of the error message.
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
