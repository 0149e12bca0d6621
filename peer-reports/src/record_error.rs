//! The errors of recording a report.

use std::fmt;

/// Why a report is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The same report or a newer one of its origin was already recorded.
    Outdated,
    /// The origin is new, and reports of [`MAX_ORIGINS`](crate::MAX_ORIGINS) origins are already kept.
    TooManyOrigins,
}

impl RecordError {
    /// The label value in metrics.
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
