//! The labels of counters: what is counted, and what became of it.

use birchreach_hot_keys::ReportError;
use prometheus_client::encoding::EncodeLabelSet;

/// What became of a copy of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyOutcome {
    /// It was written to its holder.
    Written,
    /// The write to its holder failed.
    WriteFailed,
    /// The row's value is longer than a copy may be.
    TooLong,
    /// The database answered the read of the row with an error.
    ReadFailed,
    /// The read of the row gave no value, or no position of a replica.
    ReadIncomplete,
}

impl CopyOutcome {
    /// Its value as a label.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            CopyOutcome::Written => "written",
            CopyOutcome::WriteFailed => "unwritten",
            CopyOutcome::TooLong => "long",
            CopyOutcome::ReadFailed => "unreadable",
            CopyOutcome::ReadIncomplete => "unread",
        }
    }
}

/// A report of another member that was rejected, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectedReport {
    /// A report on hot keys.
    HotKeys(ReportError),
    /// A report on a split.
    Split(ReportError),
    /// The subsystem of its channel is switched off here or unknown.
    SubsystemDisabled,
}

impl RejectedReport {
    /// The subsystem that it is for, as a label.
    pub(super) fn subsystem(self) -> &'static str {
        match self {
            RejectedReport::HotKeys(_) => "hot",
            RejectedReport::Split(_) => "split",
            RejectedReport::SubsystemDisabled => "other",
        }
    }

    /// Why it was rejected, as a label.
    pub(super) fn reason(self) -> &'static str {
        match self {
            RejectedReport::HotKeys(error) => error.as_str(),
            RejectedReport::Split(error) => error.as_str(),
            RejectedReport::SubsystemDisabled => "off",
        }
    }
}

/// The labels of counters: what is counted, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CounterLabels {
    /// What is counted.
    pub kind: &'static str,
    /// What became of it.
    pub end: &'static str,
}
