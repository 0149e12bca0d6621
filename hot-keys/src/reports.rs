//! What processes report to one another: the highest read rates of each. The newest report of each origin is kept, and counts less as
//! it ages.

use crate::{Key, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Keys in one report.
pub const MAX_REPORT_ENTRIES: usize = 16;
/// Origins whose reports are kept.
const MAX_ORIGINS: usize = 4_096;
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
    /// A newer report of its origin, or the same one, was received before.
    Outdated,
    /// Reports of as many origins as possible are kept already.
    TooManyOrigins,
}

impl ReportError {
    /// The reason as metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportError::Malformed => "form",
            ReportError::OtherSecret => "other-secret",
            ReportError::Outdated => "old",
            ReportError::TooManyOrigins => "too-many",
        }
    }
}

impl fmt::Display for ReportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ReportError::Malformed => "the report of hot keys is malformed",
            ReportError::OtherSecret => "the report's keys are hashed with another secret",
            ReportError::Outdated => "a newer report of this origin was received before",
            ReportError::TooManyOrigins => "reports of too many origins are kept",
        })
    }
}

impl std::error::Error for ReportError {}

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

/// A report as it was received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedReport {
    /// Increases with each report of an origin.
    pub(crate) sequence: u64,
    /// When it was made, on this process's clock.
    pub(crate) made_at: Micros,
    pub(crate) report: Report,
}

/// The newest report of each origin.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports {
    by_origin: BTreeMap<u64, ReceivedReport>,
}

impl Reports {
    pub(crate) fn record(&mut self, origin: u64, received: ReceivedReport) -> Result<(), ReportError> {
        match self.by_origin.get(&origin) {
            Some(newest) if newest.sequence >= received.sequence => return Err(ReportError::Outdated),
            None if self.by_origin.len() >= MAX_ORIGINS => return Err(ReportError::TooManyOrigins),
            _ => {}
        }
        self.by_origin.insert(origin, received);
        Ok(())
    }

    /// Removes reports whose lifetime is over.
    pub(crate) fn remove_expired(&mut self, now: Micros, lifetime: Micros) {
        self.by_origin.retain(|_, received| now - received.made_at < lifetime);
    }

    /// The newest report of each origin, in the order of origins.
    pub(crate) fn newest(&self) -> impl Iterator<Item = (u64, &ReceivedReport)> {
        self.by_origin.iter().map(|(origin, received)| (*origin, received))
    }

    pub(crate) fn len(&self) -> usize {
        self.by_origin.len()
    }

    /// Origins that report a key, in their order.
    pub(crate) fn reporters(&self, key: Key) -> impl Iterator<Item = u64> {
        let reports_key =
            move |received: &ReceivedReport| received.report.entries.iter().any(|entry| entry.key == key);
        self.by_origin.iter().filter(move |(_, received)| reports_key(received)).map(|(origin, _)| *origin)
    }
}

/// How much a report of this age counts: fully for the first half of its lifetime, in which the next one arrives, then less and less.
pub(crate) fn weight(age: Micros, lifetime: Micros) -> f64 {
    let remaining = (lifetime - age) as f64 / lifetime.max(1) as f64;
    (remaining * 2.0).clamp(0.0, 1.0)
}
