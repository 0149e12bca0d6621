//! The report that processes exchange: the keys with the highest read rates at the reporting process.

use crate::Key;
use birchreach_peer_reports::{Mismatch, PeerReport};
use serde::{Deserialize, Serialize};

/// The maximum number of keys in a report. A report with more keys is malformed.
pub const MAX_REPORT_ENTRIES: usize = 16;
/// One million reads per second, which is more than a process can serve. A report with a higher rate is malformed.
const MAX_READS_PER_1000_S: u32 = 1_000_000_000;

/// A key and its read rate at the reporting process. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportEntry {
    /// The key, hashed with the secret of the report.
    pub key: Key,
    /// Reads per 1,000 seconds, never more than the true rate.
    pub reads_per_1000_s: u32,
    /// Whether the key is in the reporting process's hot set.
    pub is_hot: bool,
}

/// The report of one process. The order of the fields is part of the wire format (postcard).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Identifies the secret that the keys are hashed with.
    pub secret_id: u32,
    /// A digest of the process's hot set. Equal sets have equal digests.
    pub set_digest: u64,
    /// The keys with the highest rates, at most [`MAX_REPORT_ENTRIES`], without duplicates.
    pub entries: Vec<ReportEntry>,
}

/// The rejection of a report whose keys are hashed with a different secret than this process uses. This happens while
/// the key file is being replaced.
pub const SECRET_MISMATCH: Mismatch =
    Mismatch { name: "other-secret", description: "the report's keys are hashed with another secret" };

impl PeerReport for Report {
    const SUBJECT: &'static str = "hot keys";

    /// Returns whether the number of keys and all rates are within their limits and no key occurs twice.
    fn is_valid(&self) -> bool {
        self.entries.len() <= MAX_REPORT_ENTRIES
            && self.entries.iter().all(|entry| entry.reads_per_1000_s <= MAX_READS_PER_1000_S)
            && !self.has_duplicate_key()
    }
}

impl Report {
    fn has_duplicate_key(&self) -> bool {
        let is_repeated = |(position, entry): (usize, &ReportEntry)| {
            self.entries[..position].iter().any(|earlier| earlier.key == entry.key)
        };
        self.entries.iter().enumerate().any(is_repeated)
    }
}
