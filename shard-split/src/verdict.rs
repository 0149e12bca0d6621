//! The verdict of one process on what all have compared.

use crate::RANGES;
use crate::coverage::Coverage;

/// What is missing before it can be clean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lacks {
    /// Ranges with too few comparisons, and with too few processes that made them.
    pub compared: usize,
    pub seen_by: usize,
    /// Processes that are named and not heard.
    pub unheard: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Clean,
    /// Flags by sort: missing, extra, differs.
    Dirty([u32; 3]),
    NotYet(Lacks),
}

impl Verdict {
    pub fn word(&self) -> &'static str {
        match self {
            Verdict::Clean => "clean",
            Verdict::Dirty(_) => "dirty",
            Verdict::NotYet(_) => "not-yet",
        }
    }
}

/// `heard`: processes that this one hears, itself too, of so many that are named.
pub fn verdict(coverage: &Coverage, least: u32, processes: usize, heard: usize, named: usize) -> Verdict {
    let flags = coverage.flags();
    if flags.iter().any(|n| *n > 0) {
        return Verdict::Dirty(flags);
    }
    let of = (0..RANGES).map(|range| coverage.of(range));
    let lacks = Lacks {
        compared: of.clone().filter(|(compared, _)| *compared < least).count(),
        seen_by: of.filter(|(_, seen_by)| *seen_by < processes).count(),
        unheard: if crate::faulty!(CleanWhileCutOff) { 0 } else { named.saturating_sub(heard) },
    };
    if lacks == (Lacks { compared: 0, seen_by: 0, unheard: 0 }) {
        Verdict::Clean
    } else {
        Verdict::NotYet(lacks)
    }
}
