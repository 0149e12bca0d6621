//! Why a report is rejected.

use crate::RecordError;
use std::fmt;

/// Why a report does not apply at this process: the two processes have different settings of the subsystem.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// The reason as metrics name it.
    pub name: &'static str,
    /// The reason as a sentence.
    pub description: &'static str,
}

/// Why a report is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// It cannot be decoded, or its content is not valid.
    Malformed {
        /// What the report is on.
        subject: &'static str,
    },
    /// It does not apply at this process.
    Mismatch(Mismatch),
    /// It is outdated, or there are too many.
    NotRecorded(RecordError),
}

impl ReportError {
    /// The reason as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportError::Malformed { .. } => "form",
            ReportError::Mismatch(mismatch) => mismatch.name,
            ReportError::NotRecorded(error) => error.as_str(),
        }
    }
}

impl fmt::Display for ReportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::Malformed { subject } => write!(formatter, "the report of {subject} is malformed"),
            ReportError::Mismatch(mismatch) => formatter.write_str(mismatch.description),
            ReportError::NotRecorded(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for ReportError {}

impl From<RecordError> for ReportError {
    fn from(error: RecordError) -> ReportError {
        ReportError::NotRecorded(error)
    }
}
