//! What the machine is told, and what it tells: its settings, flags, and counts of what became of comparisons.

use crate::judge::Row;
use crate::{Definition, Micros};

/// What a flag is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DifferenceKind {
    Missing,
    Extra,
    Differs,
}

impl DifferenceKind {
    pub fn as_str(self) -> &'static str {
        match self {
            DifferenceKind::Missing => "missing",
            DifferenceKind::Extra => "extra",
            DifferenceKind::Differs => "differs",
        }
    }
}

/// A fault that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedDifference {
    pub kind: DifferenceKind,
    /// The class of the read, as its owner numbers it, and the child's group.
    pub class: u16,
    pub child_group: u32,
    pub key_hash: u32,
    /// Digests of the parent's and the child's row.
    pub rows: (Row, Row),
    /// The parent's row was last committed then, and the child was between these positions.
    pub since: Micros,
    pub child: (Micros, Micros),
    pub confirmed_at: Micros,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub definition: Definition,
    /// Comparisons of each range, within this time, by so many processes.
    pub min_comparisons: u32,
    pub coverage_window: Micros,
    pub min_processes: usize,
    /// A difference has to last for so long.
    pub confirmation_delay: Micros,
    /// How many there are by the options.
    pub configured_members: usize,
}

/// What became of comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub started: u64,
    pub agreed: u64,
    pub lagging: u64,
    pub inconclusive: u64,
    pub unanswered: u64,
    pub confirmed: u64,
    /// Reads that were not compared, for there was no room.
    pub rejected: u64,
}
