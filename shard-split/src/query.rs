//! The queries that a comparison sends to databases, and their results.

use crate::Micros;
use crate::sample_comparison::{ParentSample, PositionSample, RowDigest};

/// One of the two children, by its role for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Child {
    /// The child that the key belongs to.
    Owner,
    /// The child that must not have a row of the key.
    NonOwner,
}

/// The reads that one query of a comparison runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ComparisonQuery {
    /// One read of the row at a child. If the answer is not as expected, the child is sampled.
    SingleRead(Child),
    /// Two reads of a child on one connection.
    Sample(Child),
    /// Two reads of a replica of the parent on one connection. The second read also returns the commit time of the row.
    SampleParent,
}

/// The result of a query. `process` identifies the process of the database and changes with each restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// The result of [`ComparisonQuery::SingleRead`].
    SingleRead {
        /// The row that was read.
        row: RowDigest,
        /// The position in the answer, or `None` if the answer had none.
        position: Option<Micros>,
    },
    /// The result of [`ComparisonQuery::Sample`].
    Sample {
        /// The row and the positions that the reads returned.
        sample: PositionSample,
        /// Identifies the child's process.
        process: u64,
    },
    /// The result of [`ComparisonQuery::SampleParent`].
    ParentSample {
        /// The row, its commit time and the position that the reads returned.
        sample: ParentSample,
        /// Identifies the process of the parent's replica.
        process: u64,
    },
    /// The database did not answer, or the answer lacked a required value.
    NoAnswer,
}

/// A query that is due to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueQuery {
    /// The number of the comparison, which [`SplitVerifier::record_result`](crate::SplitVerifier::record_result) needs.
    pub comparison: u64,
    /// Whether a child or the parent is read, and how many reads the query runs.
    pub query: ComparisonQuery,
    /// The key of the row to be read.
    pub key_bytes: Vec<u8>,
    /// The group whose replica is queried.
    pub group: u32,
}
