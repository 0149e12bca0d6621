//! The verdict of one process on what all have compared.

use crate::RANGES;
use crate::coverage::Coverage;
use birchreach_fault_injection::fault_injected;

/// What is missing before it can be clean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteReason {
    /// Ranges with too few comparisons, and with too few processes that made them.
    pub ranges_below_comparisons: usize,
    pub ranges_below_processes: usize,
    /// Processes that are named and not heard.
    pub silent_members: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Clean,
    /// Flags by sort: missing, extra, differs.
    Dirty([u32; 3]),
    Incomplete(IncompleteReason),
}

impl Verdict {
    pub fn as_str(&self) -> &'static str {
        match self {
            Verdict::Clean => "clean",
            Verdict::Dirty(_) => "dirty",
            Verdict::Incomplete(_) => "not-yet",
        }
    }
}

/// `heard`: processes that this one hears, itself too, of so many that are named.
pub fn verdict(coverage: &Coverage, least: u32, processes: usize, heard: usize, named: usize) -> Verdict {
    let flags = coverage.difference_counts();
    if flags.iter().any(|n| *n > 0) {
        return Verdict::Dirty(flags);
    }
    let of = (0..RANGES).map(|range| coverage.range_coverage(range));
    let lacks = IncompleteReason {
        ranges_below_comparisons: of.clone().filter(|(compared, _)| *compared < least).count(),
        ranges_below_processes: of.filter(|(_, seen_by)| *seen_by < processes).count(),
        silent_members: if fault_injected!(CleanWhileMembersMissing) {
            0
        } else {
            named.saturating_sub(heard)
        },
    };
    if lacks
        == (IncompleteReason { ranges_below_comparisons: 0, ranges_below_processes: 0, silent_members: 0 })
    {
        Verdict::Clean
    } else {
        Verdict::Incomplete(lacks)
    }
}
