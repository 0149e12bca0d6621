//! Errors on the simulator's wire.

use super::events::ListId;
use std::fmt;
use std::io;

/// A frame that cannot be read or written, or a record that cannot be decoded.
#[derive(Debug)]
pub(crate) enum FrameError {
    /// The input ended within a header.
    TruncatedHeader { got: usize, expected: usize },
    /// Reading a header failed.
    ReadHeader(io::Error),
    /// The input ended within the body of a batch.
    TruncatedBody { batch: u32, got: usize, expected: usize },
    /// Reading the body of a batch failed.
    ReadBody { batch: u32, error: io::Error },
    /// The body is too short for the number of records in the header.
    TooManyRecords { batch: u32, records: usize, length: usize },
    /// The clock of a batch is not a finite number.
    InvalidClock { batch: u32 },
    /// A record refers to bytes outside the tail.
    OutsideTail { start: usize, length: usize, tail: usize },
    /// The length of an endpoint list overflows.
    ListTooLong,
    /// A record refers to an endpoint list that was never defined.
    UndefinedList(ListId),
    /// The mode of a list record is unknown.
    UnknownListMode(u8),
    /// The state of an endpoint is unknown.
    UnknownEndpointState(u8),
    /// The outcome of an attempt or a health check is unknown.
    UnknownOutcome(u8),
    /// An error in a record of a batch.
    Record { batch: u32, index: usize, error: Box<FrameError> },
    /// Writing a reply failed.
    WriteReply(io::Error),
}

impl FrameError {
    /// Adds the batch and the index of the record in which the error occurred.
    pub(crate) fn in_record(self, batch: u32, index: usize) -> FrameError {
        FrameError::Record { batch, index, error: Box::new(self) }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FrameError::TruncatedHeader { got, expected } => {
                write!(f, "input ends {got} bytes into a header of {expected}")
            }
            FrameError::ReadHeader(error) => write!(f, "reading a header: {error}"),
            FrameError::TruncatedBody { batch, got, expected } => {
                write!(f, "batch {batch}: input ends after {got} of {expected} bytes")
            }
            FrameError::ReadBody { batch, error } => write!(f, "batch {batch}: {error}"),
            FrameError::TooManyRecords { batch, records, length } => {
                write!(f, "batch {batch}: {records} records do not fit into {length} bytes")
            }
            FrameError::InvalidClock { batch } => write!(f, "batch {batch}: the clock is not a number"),
            FrameError::OutsideTail { start, length, tail } => {
                write!(f, "tail reference {start}+{length} lies outside a tail of {tail}")
            }
            FrameError::ListTooLong => f.write_str("the length of a list overflows"),
            FrameError::UndefinedList(ListId(list)) => write!(f, "list {list} was never defined"),
            FrameError::UnknownListMode(mode) => write!(f, "unknown mode {mode} of a list"),
            FrameError::UnknownEndpointState(mode) => write!(f, "unknown mode {mode} of a list entry"),
            FrameError::UnknownOutcome(code) => write!(f, "unknown completion code {code}"),
            FrameError::Record { batch, index, error } => {
                write!(f, "batch {batch}, record {index}: {error}")
            }
            FrameError::WriteReply(error) => write!(f, "writing a reply: {error}"),
        }
    }
}

impl std::error::Error for FrameError {}
