//! Errors in the frames that the adapter exchanges with the simulator.

use super::events::EndpointListId;
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
    TooManyRecords { batch: u32, record_count: usize, length: usize },
    /// The clock of a batch is not a finite number.
    InvalidClock { batch: u32 },
    /// A record refers to bytes that are not all within the tail.
    OutsideTail { offset: usize, length: usize, tail_length: usize },
    /// The length of an endpoint list in bytes overflows.
    EndpointListTooLong,
    /// A record refers to an endpoint list that was never defined.
    UndefinedEndpointList(EndpointListId),
    /// The protocol defines no mode of endpoint list changes with this code.
    UnknownEndpointListMode(u8),
    /// The protocol defines no state of an endpoint with this code.
    UnknownEndpointState(u8),
    /// The protocol defines no outcome of an attempt or a health check with this code.
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
                write!(f, "input ended after {got} of the {expected} bytes of a batch header")
            }
            FrameError::ReadHeader(error) => write!(f, "cannot read a batch header: {error}"),
            FrameError::TruncatedBody { batch, got, expected } => {
                write!(f, "batch {batch}: input ended after {got} of the {expected} bytes of the body")
            }
            FrameError::ReadBody { batch, error } => {
                write!(f, "batch {batch}: cannot read the body: {error}")
            }
            FrameError::TooManyRecords { batch, record_count, length } => {
                write!(f, "batch {batch}: {record_count} records do not fit into a body of {length} bytes")
            }
            FrameError::InvalidClock { batch } => {
                write!(f, "batch {batch}: the clock is not a finite number")
            }
            FrameError::OutsideTail { offset, length, tail_length } => {
                write!(f, "{length} bytes at offset {offset} are not within the tail of {tail_length} bytes")
            }
            FrameError::EndpointListTooLong => {
                f.write_str("the length of an endpoint list in bytes overflows")
            }
            FrameError::UndefinedEndpointList(EndpointListId(list)) => {
                write!(f, "endpoint list {list} is not defined")
            }
            FrameError::UnknownEndpointListMode(mode) => write!(f, "unknown endpoint list mode {mode}"),
            FrameError::UnknownEndpointState(state) => write!(f, "unknown endpoint state {state}"),
            FrameError::UnknownOutcome(code) => write!(f, "unknown outcome code {code}"),
            FrameError::Record { batch, index, error } => {
                write!(f, "batch {batch}, record {index}: {error}")
            }
            FrameError::WriteReply(error) => write!(f, "cannot write a reply: {error}"),
        }
    }
}

impl std::error::Error for FrameError {}
