//! Warnings about settings that can be used but are probably not intended. An error prevents a proxy from starting; a
//! warning does not, and its text says what the proxy does with the value.

use std::fmt;

/// A key of usable settings whose value is probably not intended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsWarning {
    /// Path of the key, with the index of each list element, such as `classes[2].goal_time_ms`.
    pub key: String,
    /// Why the value is probably not intended.
    pub kind: WarningKind,
}

/// What is probably wrong with a usable value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarningKind {
    /// The platform does not document the key.
    UnknownKey,
    /// The zone of the proxy is not in the list of zones.
    ZoneNotListed,
    /// A fraction is greater than 1.
    FractionAboveOne,
    /// Rejections have a Retry-After, and its maximum is 0.
    ZeroRetryAfter,
    /// The connect timeout is missing or 0.
    NoConnectTimeout,
    /// The number of consistencies differs from the number of classes.
    ConsistencyCountMismatch,
    /// The latency objective of a class is longer than its client timeout.
    ObjectiveAfterTimeout,
    /// The maximum age of a class with bounded staleness is 0.
    ZeroMaxAge {
        /// Index of the class in [`Settings::classes`](birchreach::Settings::classes).
        class: usize,
    },
    /// A write class is configured as idempotent.
    IdempotentWrite,
    /// The log positions in load reports are needed, but load reports come from health checks, which are not allowed.
    HealthChecksNotAllowed,
    /// The log positions in load reports are needed, but load reports do not contain them.
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
            WarningKind::UnknownKey => "unknown key, ignored",
            WarningKind::ZoneNotListed => {
                "the zone is not listed in dcs; every server is treated as being in another zone"
            }
            WarningKind::FractionAboveOne => "greater than 1; 1 is used instead",
            WarningKind::ZeroRetryAfter => {
                "0 although limits.retry_after is true; rejected clients are told to retry immediately"
            }
            WarningKind::NoConnectTimeout => {
                "missing or 0; no failed connection attempt is treated as refused by the server"
            }
            WarningKind::ConsistencyCountMismatch => {
                "the number of entries differs from the number of classes; \
                 requests of a class without an entry go to the primary only"
            }
            WarningKind::ObjectiveAfterTimeout => {
                "greater than deadline_ms; clients give up before the latency objective"
            }
            WarningKind::ZeroMaxAge { class } => {
                return write!(f, "0 for the bounded class {class}; its requests go to the primary only");
            }
            WarningKind::IdempotentWrite => "free for a write class; a write may be executed more than once",
            WarningKind::HealthChecksNotAllowed => {
                "pull, but limits.may_probe is not true; log positions can be reported only in responses"
            }
            WarningKind::NoPositionInLoadReports => {
                "x0 is missing; log positions can be reported only in responses"
            }
        })
    }
}
