//! Confirmed differences: rows of a child that persistently differ from those of the parent.

use crate::Micros;
use crate::definition::SplitDefinition;
use crate::sample_comparison::{ParentSample, PositionSample};

/// How a child differs from the parent. The index of a variant is the number of the kind in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DifferenceKind {
    /// The owner does not have a row that the parent has.
    Missing,
    /// The non-owner has a row, although it must not have one.
    Extra,
    /// The owner has a different row than the parent.
    Differs,
}

impl DifferenceKind {
    /// All kinds, ordered by their number in reports.
    pub const ALL: [DifferenceKind; 3] =
        [DifferenceKind::Missing, DifferenceKind::Extra, DifferenceKind::Differs];

    /// Returns the name of the kind in the log and in the admin reply.
    pub fn as_str(self) -> &'static str {
        match self {
            DifferenceKind::Missing => "missing",
            DifferenceKind::Extra => "extra",
            DifferenceKind::Differs => "differs",
        }
    }

    /// Returns the number of the kind in reports.
    pub(crate) fn number(self) -> u8 {
        self as u8
    }

    /// Returns the kind with this number in reports, or `None` if there is no such kind.
    pub(crate) fn from_number(number: u8) -> Option<DifferenceKind> {
        DifferenceKind::ALL.get(usize::from(number)).copied()
    }
}

/// The number of confirmed differences of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DifferenceCounts {
    /// Differences of kind [`DifferenceKind::Missing`].
    pub missing: u32,
    /// Differences of kind [`DifferenceKind::Extra`].
    pub extra: u32,
    /// Differences of kind [`DifferenceKind::Differs`].
    pub differs: u32,
}

impl DifferenceCounts {
    pub(crate) fn add(&mut self, kind: DifferenceKind, count: u32) {
        let total = match kind {
            DifferenceKind::Missing => &mut self.missing,
            DifferenceKind::Extra => &mut self.extra,
            DifferenceKind::Differs => &mut self.differs,
        };
        *total = total.saturating_add(count);
    }

    /// Returns whether all counts are zero.
    pub fn is_empty(self) -> bool {
        self == DifferenceCounts::default()
    }
}

/// A difference that persisted for the confirmation delay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedDifference {
    /// How the child differs from the parent.
    pub kind: DifferenceKind,
    /// The caller's number for the class of the read that was compared.
    pub class: u16,
    /// The group of the child that differs.
    pub child_group: u32,
    /// The hash of the key, by [`SplitDefinition::hash`].
    pub key_hash: u32,
    /// The parent's sample.
    pub parent: ParentSample,
    /// The child's sample, with the positions between which the row was read.
    pub child: PositionSample,
    /// When this process confirmed the difference.
    pub confirmed_at: Micros,
}

impl ConfirmedDifference {
    /// Returns the index of the range that the key belongs to.
    pub fn range(&self) -> usize {
        SplitDefinition::range(self.key_hash)
    }
}
