//! The history of a group: its commits, and the statements that its members received.

/// The change that a commit makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new value of a row.
    Row {
        /// The row's key.
        key: String,
        /// The row's new value, in hexadecimal digits.
        value: String,
    },
    /// A new version of the copy of another group's row.
    Copy {
        /// The number of the other group.
        home: u32,
        /// The row's key.
        key: String,
        /// The log position of the other group up to which the copy is complete.
        position_ms: i64,
        /// The row's value in the other group, in hexadecimal digits.
        value: String,
    },
}

/// A commit in a group's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The commit time in milliseconds, which is also the log position of the commit. Commit times increase strictly
    /// along a log.
    pub committed_at_ms: i64,
    /// The id of the client's request; empty if no client wrote the change.
    pub id: String,
    /// What the commit wrote: a row of this group or its copy of another group's row.
    pub change: Change,
}

/// A difference between a child of a shard split and its parent. Tests inject it; the child has it from its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InjectedDifference {
    /// The child lacks the row.
    Missing,
    /// The child has the row although it belongs to the other child.
    Extra,
    /// The child has this value instead of the parent's, in hexadecimal digits.
    OtherValue(String),
}

/// The kind of statement that a member received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// A write by a client. It is recorded even if the member rejects it because another member is the primary.
    Write {
        /// The id of the client's request.
        id: String,
    },
    /// A read of a row of this group, without the time of its last commit.
    Read {
        /// Whether it is a background read that a proxy sent without a client's request.
        background: bool,
    },
    /// A read of a copy of another group's row.
    CopyRead {
        /// Whether the member had a copy that was new enough.
        served: bool,
    },
    /// A write of a copy of another group's row. Like a client's write, it is recorded even if the member rejects it.
    CopyWrite,
    /// A read of a row together with the time of its last commit.
    PositionRead,
    /// A health check that reads the usage figures.
    HealthCheck,
}

/// A statement that a member received.
#[derive(Clone, Debug)]
pub struct StatementRecord {
    /// When the member received it, in milliseconds of Unix time.
    pub received_at_ms: i64,
    /// The member's index.
    pub member: usize,
    /// What kind of statement it was.
    pub statement: StatementKind,
    /// Whether the member was in slow start and had restarted long enough ago for proxies to know it.
    pub in_slow_start: bool,
}

/// A snapshot of what a group has recorded.
#[derive(Clone, Debug)]
pub struct GroupHistory {
    /// The statements that its members received, in order.
    pub records: Vec<StatementRecord>,
    /// Its commits, ordered by commit time.
    pub log: Vec<LogEntry>,
    /// The commits that failovers lost.
    pub lost_commits: Vec<LogEntry>,
}
