//! The errors of receiving a report.

use crate::RecordError;
use std::fmt;

/// A difference between the subsystem's settings at two processes. A report of one does not apply at the
/// other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// The label value in metrics.
    pub name: &'static str,
    /// The text for error messages.
    pub description: &'static str,
}

/// Why a report is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// The report cannot be decoded, or its content is not valid.
    Malformed {
        /// The [`PeerReport::SUBJECT`](crate::PeerReport::SUBJECT) of the report.
        subject: &'static str,
    },
    /// The sender has different settings, so that the report does not apply here.
    Mismatch(Mismatch),
    /// The report is valid, but was not recorded.
    NotRecorded(RecordError),
}

impl ReportError {
    /// The label value in metrics.
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
