//! Differences that were confirmed: a child's row is not the parent's, and it persisted.

use crate::Micros;
use crate::definition::SplitDefinition;
use crate::sample_comparison::{ParentSample, PositionSample};

/// How a child differs. The order of the variants is the number of a kind in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DifferenceKind {
    /// The owner does not have a row that the parent has.
    Missing,
    /// The other child has a row, which it must not.
    Extra,
    /// The owner has another row than the parent.
    Differs,
}

impl DifferenceKind {
    /// All kinds, in the order of their numbers in reports.
    pub const ALL: [DifferenceKind; 3] =
        [DifferenceKind::Missing, DifferenceKind::Extra, DifferenceKind::Differs];

    /// The kind as operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            DifferenceKind::Missing => "missing",
            DifferenceKind::Extra => "extra",
            DifferenceKind::Differs => "differs",
        }
    }

    /// The number of the kind in reports.
    pub(crate) fn number(self) -> u8 {
        self as u8
    }

    /// The kind of a number in reports.
    pub(crate) fn from_number(number: u8) -> Option<DifferenceKind> {
        DifferenceKind::ALL.get(usize::from(number)).copied()
    }
}

/// Confirmed differences by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DifferenceCounts {
    /// Of kind [`DifferenceKind::Missing`].
    pub missing: u32,
    /// Of kind [`DifferenceKind::Extra`].
    pub extra: u32,
    /// Of kind [`DifferenceKind::Differs`].
    pub differs: u32,
}

impl DifferenceCounts {
    /// Adds differences of one kind.
    pub(crate) fn add(&mut self, kind: DifferenceKind, count: u32) {
        let total = match kind {
            DifferenceKind::Missing => &mut self.missing,
            DifferenceKind::Extra => &mut self.extra,
            DifferenceKind::Differs => &mut self.differs,
        };
        *total = total.saturating_add(count);
    }

    /// Whether there are none.
    pub fn is_empty(self) -> bool {
        self == DifferenceCounts::default()
    }
}

/// A difference that was confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmedDifference {
    /// How the child differs.
    pub kind: DifferenceKind,
    /// The class of the read that was compared, by the caller's number.
    pub class: u16,
    /// The group of the child.
    pub child_group: u32,
    /// The hash of the key.
    pub key_hash: u32,
    /// The parent's row.
    pub parent: ParentSample,
    /// The child's row, and the positions between which it was read.
    pub child: PositionSample,
    /// When the difference was confirmed.
    pub confirmed_at: Micros,
}

impl ConfirmedDifference {
    /// The range that the key belongs to.
    pub fn range(&self) -> usize {
        SplitDefinition::range(self.key_hash)
    }
}
