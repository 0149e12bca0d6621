//! What processes tell one another of their reads: the top of each one's rates, the newest of each origin, fading as it ages.

use crate::{Key, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Keys in one report.
pub const MAX_REPORT_ENTRIES: usize = 16;
/// Origins whose reports are kept.
const MAX_ORIGINS: usize = 4_096;
/// No process serves more.
const MAX_READS_PER_1000_S: u32 = 1_000_000_000;

/// A key, and how much of it one process is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportEntry {
    pub key: Key,
    /// Reads in a thousand seconds.
    pub reads_per_1000_s: u32,
    /// It holds the key for hot.
    pub is_hot: bool,
}

/// What one process tells. `secret`: the number of the secret that its hashes are under.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub secret_id: u32,
    /// Equal at all that hold the same keys for hot.
    pub set_digest: u64,
    pub entries: Vec<ReportEntry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// It cannot be read, or holds more than a report may.
    Malformed,
    /// Its hashes are under another secret: keys are being changed.
    OtherSecret,
    /// Something newer of its origin was heard.
    Outdated,
    /// More origins than are kept.
    TooManyOrigins,
}

impl ReportError {
    pub fn as_str(self) -> &'static str {
        match self {
            ReportError::Malformed => "form",
            ReportError::OtherSecret => "other-secret",
            ReportError::Outdated => "old",
            ReportError::TooManyOrigins => "too-many",
        }
    }
}

impl Report {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Result<Report, ReportError> {
        let report: Report = postcard::from_bytes(bytes).map_err(|_| ReportError::Malformed)?;
        let twice = report.entries.iter().enumerate().any(|(n, e)| {
            report.entries[..n].iter().any(|other| other.key == e.key)
                || e.reads_per_1000_s > MAX_READS_PER_1000_S
        });
        if twice || report.entries.len() > MAX_REPORT_ENTRIES {
            Err(ReportError::Malformed)
        } else {
            Ok(report)
        }
    }
}

/// The newest report of an origin, and when it was made, on this process's clock.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    pub sequence: u64,
    pub made_at: Micros,
    pub report: Report,
}

#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_origin: BTreeMap<u64, ReceivedReport>,
}

impl Reports {
    pub fn record(&mut self, origin: u64, told: ReceivedReport) -> Result<(), ReportError> {
        match self.by_origin.get(&origin) {
            Some(known) if known.sequence >= told.sequence => return Err(ReportError::Outdated),
            None if self.by_origin.len() >= MAX_ORIGINS => return Err(ReportError::TooManyOrigins),
            _ => {}
        }
        self.by_origin.insert(origin, told);
        Ok(())
    }

    /// Drops what has faded away.
    pub fn remove_expired(&mut self, now: Micros, life: Micros) {
        self.by_origin.retain(|_, told| now - told.made_at < life);
    }

    pub fn newest(&self) -> impl Iterator<Item = (u64, &ReceivedReport)> {
        self.by_origin.iter().map(|(origin, told)| (*origin, told))
    }

    pub fn len(&self) -> usize {
        self.by_origin.len()
    }

    /// Origins that report a key, in their order.
    pub fn reporters(&self, key: Key) -> impl Iterator<Item = u64> {
        let has = move |told: &ReceivedReport| told.report.entries.iter().any(|e| e.key == key);
        self.by_origin.iter().filter(move |(_, told)| has(told)).map(|(origin, _)| *origin)
    }
}

/// How much of an age a report still counts: whole for half of its life, in which the next one comes, and then less and less.
pub fn weight(age: Micros, life: Micros) -> f64 {
    let left = (life - age) as f64 / life.max(1) as f64;
    (left * 2.0).clamp(0.0, 1.0)
}
