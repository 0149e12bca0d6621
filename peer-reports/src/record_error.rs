//! Why a report is not recorded.

use std::fmt;

/// Why a report is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// A newer report of its origin, or the same one, was recorded before.
    Outdated,
    /// Reports of as many origins as possible are kept already.
    TooManyOrigins,
}

impl RecordError {
    /// The reason as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            RecordError::Outdated => "old",
            RecordError::TooManyOrigins => "too-many",
        }
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RecordError::Outdated => "a newer report of this origin was received before",
            RecordError::TooManyOrigins => "reports of too many origins are kept",
        })
    }
}

impl std::error::Error for RecordError {}
