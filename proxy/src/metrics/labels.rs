//! The labels of counters: what is counted, and the outcome.

use birchreach_hot_keys::ReportError;
use prometheus_client::encoding::EncodeLabelSet;

/// The outcome of a copy of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyOutcome {
    /// The copy was written to its holder.
    Written,
    /// The write of the copy to its holder failed.
    WriteFailed,
    /// The value of the row is longer than a copy may be.
    TooLong,
    /// The database answered the read of the row with an error.
    ReadFailed,
    /// The read of the row returned no value, or no position of a replica.
    ReadIncomplete,
}

impl CopyOutcome {
    /// Returns the value of the label.
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

/// A report of another member that was rejected, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectedReport {
    /// The report concerned hot keys, and was rejected with this error.
    HotKeys(ReportError),
    /// The report concerned the comparison of a split, and was rejected with this error.
    Split(ReportError),
    /// The subsystem of the report's channel is disabled in this process or unknown.
    SubsystemDisabled,
}

impl RejectedReport {
    /// Returns the value of the label for the subsystem of the report.
    pub(super) fn subsystem(self) -> &'static str {
        match self {
            RejectedReport::HotKeys(_) => "hot",
            RejectedReport::Split(_) => "split",
            RejectedReport::SubsystemDisabled => "other",
        }
    }

    /// Returns the value of the label for the reason.
    pub(super) fn reason(self) -> &'static str {
        match self {
            RejectedReport::HotKeys(error) => error.as_str(),
            RejectedReport::Split(error) => error.as_str(),
            RejectedReport::SubsystemDisabled => "off",
        }
    }
}

/// The labels of a counter. The names of the fields are the names of the labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CounterLabels {
    /// What the counter counts: the reports of a subsystem, the tasks of a kind, or an operation such as `copy`.
    pub kind: &'static str,
    /// The outcome, or the reason for a rejection.
    pub end: &'static str,
}
