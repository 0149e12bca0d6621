//! The report that processes exchange: their comparisons and confirmed differences per range.

use crate::RANGE_COUNT;
use crate::difference::DifferenceKind;
use birchreach_peer_reports::{Mismatch, PeerReport};
use serde::{Deserialize, Serialize};

/// Confirmed differences of one kind in one range. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeDifferences {
    /// The number of the [`DifferenceKind`], which is its index in [`DifferenceKind::ALL`].
    pub kind: u8,
    /// The index of the range, below [`RANGE_COUNT`].
    pub range: u8,
    /// The number of differences that the process keeps.
    pub count: u32,
}

/// The report of one process. The order of the fields is part of the wire format (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The digest of the process's definition of the split.
    pub definition_digest: u64,
    /// The number of comparisons within the window for each of the [`RANGE_COUNT`] ranges.
    pub compared: Vec<u32>,
    /// The confirmed differences that the process keeps, counted by kind and range.
    pub differences: Vec<RangeDifferences>,
}

/// The rejection of a report whose process compares by a different definition than this process.
pub const DEFINITION_MISMATCH: Mismatch =
    Mismatch { name: "other-definition", description: "the report is of another definition of the split" };

impl PeerReport for Report {
    const SUBJECT: &'static str = "comparisons";

    /// Returns whether the report has a count for each range, and contains only existing ranges and kinds.
    fn is_valid(&self) -> bool {
        self.compared.len() == RANGE_COUNT
            && self.differences.len() <= DifferenceKind::ALL.len() * RANGE_COUNT
            && self.differences.iter().all(RangeDifferences::is_valid)
    }
}

impl RangeDifferences {
    /// Returns whether the range and the kind exist.
    fn is_valid(&self) -> bool {
        DifferenceKind::from_number(self.kind).is_some() && usize::from(self.range) < RANGE_COUNT
    }
}
