//! The queries of a comparison to the databases, and their results.

use crate::Micros;
use crate::sample_comparison::{ParentSample, PositionSample, RowDigest};

/// One of the two children, as a key sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Child {
    /// The child that the key goes to.
    Owner,
    /// The child that must not have it.
    NonOwner,
}

/// The next query of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ComparisonQuery {
    /// One read of a child.
    SingleRead(Child),
    /// Two reads of a child on one connection.
    Sample(Child),
    /// Two reads of a replica of the parent on one connection, the second one with the time of the row's commit.
    SampleParent,
}

/// What a query resulted in. `process` identifies the process of the database: it changes with each restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// Of [`ComparisonQuery::SingleRead`].
    SingleRead {
        /// What the read gave.
        row: RowDigest,
        /// The position that came with it, if any.
        position: Option<Micros>,
    },
    /// Of [`ComparisonQuery::Sample`].
    Sample {
        /// What the reads gave.
        sample: PositionSample,
        /// The child's process.
        process: u64,
    },
    /// Of [`ComparisonQuery::SampleParent`].
    ParentSample {
        /// What the reads gave.
        sample: ParentSample,
        /// The parent's process.
        process: u64,
    },
    /// No answer, or one that lacks what is needed.
    NoAnswer,
}

/// A query that is to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueQuery {
    /// The number of the comparison, by which the result is recorded.
    pub comparison: u64,
    /// What is to be read.
    pub query: ComparisonQuery,
    /// The key to be read.
    pub key_bytes: Vec<u8>,
    /// The group to be queried.
    pub group: u32,
}
