//! What the machine is told, and what it tells: its settings, flags, and counts of what became of comparisons.

use crate::judge::Row;
use crate::{Definition, Micros};

/// What a flag is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sort {
    Missing,
    Extra,
    Differs,
}

impl Sort {
    pub fn word(self) -> &'static str {
        match self {
            Sort::Missing => "missing",
            Sort::Extra => "extra",
            Sort::Differs => "differs",
        }
    }
}

/// A fault that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flag {
    pub sort: Sort,
    /// The class of the read, as its owner numbers it, and the child's group.
    pub class: u16,
    pub group: u32,
    pub hash: u32,
    /// Digests of the parent's and the child's row.
    pub rows: (Row, Row),
    /// The parent's row was last committed then, and the child was between these positions.
    pub since: Micros,
    pub child: (Micros, Micros),
    pub at: Micros,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub definition: Definition,
    /// Comparisons of each range, within this time, by so many processes.
    pub least: u32,
    pub within: Micros,
    pub processes: usize,
    /// A difference has to last for so long.
    pub confirm: Micros,
    /// How many there are by the options.
    pub named: usize,
}

/// What became of comparisons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub begun: u64,
    pub agreed: u64,
    pub late: u64,
    pub unsure: u64,
    pub silent: u64,
    pub flagged: u64,
    /// Reads that were not compared, for there was no room.
    pub crowded: u64,
}
