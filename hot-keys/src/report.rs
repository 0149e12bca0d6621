//! What processes report to one another: the highest read rates of each.

use crate::Key;
use birchreach_peer_reports::RecordError;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Keys in one report.
pub const MAX_REPORT_ENTRIES: usize = 16;
/// A million reads a second, which is more than a process serves; a report of more is malformed.
const MAX_READS_PER_1000_S: u32 = 1_000_000_000;

/// A key and its rate at one process. The order of the fields is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportEntry {
    /// The key.
    pub key: Key,
    /// Reads in a thousand seconds.
    pub reads_per_1000_s: u32,
    /// Whether the reporting process has the key in its hot set.
    pub is_hot: bool,
}

/// What one process reports. The order of the fields is the format on the wire (postcard).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the secret that the hashes of keys are made with.
    pub secret_id: u32,
    /// A digest of the process's hot set; equal sets have equal digests.
    pub set_digest: u64,
    /// The keys with the highest rates.
    pub entries: Vec<ReportEntry>,
}

/// Why a report is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// It cannot be decoded, or holds more than a report may.
    Malformed,
    /// Its hashes are made with another secret: the key file is being changed.
    OtherSecret,
    /// It is outdated, or there are too many.
    NotRecorded(RecordError),
}

impl ReportError {
    /// The reason as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportError::Malformed => "form",
            ReportError::OtherSecret => "other-secret",
            ReportError::NotRecorded(error) => error.as_str(),
        }
    }
}

impl fmt::Display for ReportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::Malformed => formatter.write_str("the report of hot keys is malformed"),
            ReportError::OtherSecret => {
                formatter.write_str("the report's keys are hashed with another secret")
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
    /// [`ReportError::Malformed`] if they are no report, or hold a key twice, too many keys or too high a rate.
    pub fn decode(bytes: &[u8]) -> Result<Report, ReportError> {
        let report: Report = postcard::from_bytes(bytes).map_err(|_| ReportError::Malformed)?;
        let is_valid = report.entries.len() <= MAX_REPORT_ENTRIES
            && report.entries.iter().all(|entry| entry.reads_per_1000_s <= MAX_READS_PER_1000_S)
            && !report.has_a_key_twice();
        if is_valid { Ok(report) } else { Err(ReportError::Malformed) }
    }

    fn has_a_key_twice(&self) -> bool {
        let is_repeated = |(position, entry): (usize, &ReportEntry)| {
            self.entries[..position].iter().any(|earlier| earlier.key == entry.key)
        };
        self.entries.iter().enumerate().any(is_repeated)
    }
}
