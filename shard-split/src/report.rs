//! What processes report to one another of their comparisons.

use crate::RANGE_COUNT;
use crate::difference::DifferenceKind;
use birchreach_peer_reports::{Mismatch, PeerReport};
use serde::{Deserialize, Serialize};

/// Confirmed differences of one kind in one range. The order of the fields is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDifferences {
    /// The number of the kind.
    pub kind: u8,
    /// The range, below [`RANGE_COUNT`].
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

/// A report's process compares by another definition than this one.
pub const DEFINITION_MISMATCH: Mismatch =
    Mismatch { name: "other-definition", description: "the report is of another definition of the split" };

impl PeerReport for Report {
    const SUBJECT: &'static str = "comparisons";

    /// It counts each range, and names only ranges and kinds that exist.
    fn is_valid(&self) -> bool {
        self.compared.len() == RANGE_COUNT
            && self.differences.len() <= DifferenceKind::ALL.len() * RANGE_COUNT
            && self.differences.iter().all(RangeDifferences::exists)
    }
}

impl RangeDifferences {
    /// Whether its range and its kind exist.
    fn exists(&self) -> bool {
        DifferenceKind::from_number(self.kind).is_some() && usize::from(self.range) < RANGE_COUNT
    }
}
