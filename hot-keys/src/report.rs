//! What processes report to one another: the highest read rates of each.

use crate::Key;
use birchreach_peer_reports::{Mismatch, PeerReport};
use serde::{Deserialize, Serialize};

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

/// A report's keys are hashed with another secret than this process's: the key file is being changed.
pub const SECRET_MISMATCH: Mismatch =
    Mismatch { name: "other-secret", description: "the report's keys are hashed with another secret" };

impl PeerReport for Report {
    const SUBJECT: &'static str = "hot keys";

    /// It holds no key twice, not too many keys and no rate that is too high.
    fn is_valid(&self) -> bool {
        self.entries.len() <= MAX_REPORT_ENTRIES
            && self.entries.iter().all(|entry| entry.reads_per_1000_s <= MAX_READS_PER_1000_S)
            && !self.has_a_key_twice()
    }
}

impl Report {
    fn has_a_key_twice(&self) -> bool {
        let is_repeated = |(position, entry): (usize, &ReportEntry)| {
            self.entries[..position].iter().any(|earlier| earlier.key == entry.key)
        };
        self.entries.iter().enumerate().any(is_repeated)
    }
}
