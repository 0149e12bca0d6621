//! Warnings about usable settings. An error keeps a proxy from starting; a warning says what is done instead.

use std::fmt;

/// What the settings probably do not mean.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsWarning {
    /// Path of the key, with the index of each list element: `classes[2].goal_time_ms`.
    pub key: String,
    /// What is wrong with it.
    pub kind: WarningKind,
}

/// What is wrong with a key of usable settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarningKind {
    /// The platform documents no such key.
    UnknownKey,
    /// The proxy's zone is not on the list of zones.
    ZoneNotListed,
    /// A fraction is more than 1.
    FractionAboveOne,
    /// Rejections have a Retry-After, which is at most 0.
    ZeroRetryAfter,
    /// There is no connect timeout, or it is 0.
    NoConnectTimeout,
    /// The list of consistencies has not one for each class.
    ConsistencyCountMismatch,
    /// The latency objective of a class is longer than its client timeout.
    ObjectiveAfterTimeout,
    /// A class with bounded staleness allows none.
    ZeroMaxAge {
        /// Index of the class.
        class: usize,
    },
    /// A write is called idempotent.
    IdempotentWrite,
    /// Load reports come from health checks, which are not allowed, and positions from them are needed.
    HealthChecksNotAllowed,
    /// Load reports have no position, and positions from them are needed.
    NoPositionInLoadReports,
}

impl fmt::Display for SettingsWarning {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "settings: {}: {}", self.key, self.kind)
    }
}

impl fmt::Display for WarningKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            WarningKind::UnknownKey => "unknown, and skipped",
            WarningKind::ZoneNotListed => "names no place in dcs; every server counts as elsewhere",
            WarningKind::FractionAboveOne => "more than 1; counts as 1",
            WarningKind::ZeroRetryAfter => {
                "0, though limits.retry_after is true: refusals advise to return at once"
            }
            WarningKind::NoConnectTimeout => {
                "absent or 0; no failed connection counts as turned down at once"
            }
            WarningKind::ConsistencyCountMismatch => {
                "not one for each class; a class without goes to the primary alone"
            }
            WarningKind::ObjectiveAfterTimeout => "later than deadline_ms, when clients have left",
            WarningKind::ZeroMaxAge { class } => {
                return write!(f, "0 for the bounded class {class}, which goes to the primary alone");
            }
            WarningKind::IdempotentWrite => "free for a write, which may run more than once then",
            WarningKind::HealthChecksNotAllowed => {
                "pull, but limits.may_probe is not true: only answers may tell of positions"
            }
            WarningKind::NoPositionInLoadReports => "without x0: only answers may tell of positions",
        })
    }
}
