//! What processes report to one another of their comparisons.

use crate::RANGES;
use crate::difference::DifferenceKind;
use birchreach_peer_reports::RecordError;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Confirmed differences of one kind in one range. The order of the fields is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDifferences {
    /// The number of the kind.
    pub kind: u8,
    /// The range, below [`RANGES`].
    pub range: u8,
    /// How many differences are kept.
    pub count: u32,
}

/// What one process reports. The order of the fields is the format on the wire (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The digest of the definition by which the process compares.
    pub definition_digest: u64,
    /// Comparisons within the window, by range.
    pub compared: Vec<u32>,
    /// Confirmed differences that the process keeps.
    pub differences: Vec<RangeDifferences>,
}

/// Why a report is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// It cannot be decoded, or names ranges or kinds that do not exist.
    Malformed,
    /// Its process compares by another definition.
    OtherDefinition,
    /// It is outdated, or there are too many.
    NotRecorded(RecordError),
}

impl ReportError {
    /// The reason as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportError::Malformed => "form",
            ReportError::OtherDefinition => "other-definition",
            ReportError::NotRecorded(error) => error.as_str(),
        }
    }
}

impl fmt::Display for ReportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::Malformed => formatter.write_str("the report of comparisons is malformed"),
            ReportError::OtherDefinition => {
                formatter.write_str("the report is of another definition of the split")
            }
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

impl Report {
    /// The bytes that are sent to other processes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a report from bytes that another process sent.
    ///
    /// # Errors
    ///
    /// [`ReportError::Malformed`] if they are no report, or name ranges or kinds that do not exist.
    pub fn decode(bytes: &[u8]) -> Result<Report, ReportError> {
        let report: Report = postcard::from_bytes(bytes).map_err(|_| ReportError::Malformed)?;
        let exists = |entry: &RangeDifferences| {
            DifferenceKind::from_number(entry.kind).is_some() && usize::from(entry.range) < RANGES
        };
        let is_valid = report.compared.len() == RANGES
            && report.differences.len() <= DifferenceKind::ALL.len() * RANGES
            && report.differences.iter().all(exists);
        if is_valid { Ok(report) } else { Err(ReportError::Malformed) }
    }
}
