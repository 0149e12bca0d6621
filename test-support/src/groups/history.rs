//! What a group's history consists of: commits, and statements that its members received.

/// What a commit changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A row's value, in hexadecimal digits.
    Row {
        /// The row's key.
        key: String,
        /// Its new value.
        value: String,
    },
    /// A copy of another group's row.
    Copy {
        /// The other group.
        home: u32,
        /// The row's key.
        key: String,
        /// The position in the other group up to which the copy is complete.
        position_ms: i64,
        /// The row's value there.
        value: String,
    },
}

/// A commit in a group's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When it was committed; times grow strictly along a log.
    pub committed_at_ms: i64,
    /// The id of the request; empty for what no client wrote.
    pub id: String,
    /// What it changed.
    pub change: Change,
}

/// A difference between a child of a split and its parent, which the child has from its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlantedDifference {
    /// The child lacks the row.
    Missing,
    /// The child has the row although it belongs to the other child.
    Extra,
    /// The child has this value.
    OtherValue(String),
}

/// The kind of a statement that a member received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// A client's write, with its request's id.
    Write {
        /// The request's id.
        id: String,
    },
    /// A read of a row.
    Read {
        /// Whether a proxy sent it on its own account.
        background: bool,
    },
    /// A read of a copy of another group's row.
    CopyRead {
        /// Whether there was a copy that was new enough.
        served: bool,
    },
    /// A write of such a copy.
    CopyWrite,
    /// A read of a row with the time of its last commit.
    PositionRead,
    /// A health check.
    HealthCheck,
}

/// A statement that a member received.
#[derive(Clone, Debug)]
pub struct Record {
    /// When.
    pub received_at_ms: i64,
    /// The member's index.
    pub member: usize,
    /// The kind of statement.
    pub statement: StatementKind,
    /// Whether the member was in its slow start and proxies could know that.
    pub warming_up: bool,
}

/// What a group recorded up to a moment.
#[derive(Clone, Debug)]
pub struct GroupHistory {
    /// The statements that its members received.
    pub records: Vec<Record>,
    /// Its commits, in the order of their times.
    pub log: Vec<Entry>,
    /// Commits that failovers have lost.
    pub lost_commits: Vec<Entry>,
}
