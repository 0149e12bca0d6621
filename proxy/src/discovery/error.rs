//! Why a poll of discovery failed.

use std::error::Error;
use std::fmt::{self, Display};

/// The reason for which a poll failed. The connection it was made on is not used again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollError {
    /// The system had no socket for a connection.
    NoSocket,
    /// The connection was refused.
    ConnectionRefused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// No complete response came in time.
    Unresponsive,
    /// The connection was closed before a response, or by its other side after one.
    Closed,
    /// The connection was reset. A response without a length is not complete then.
    Reset,
    /// Discovery had no capacity for the request (503).
    Overloaded,
    /// Another status than 200.
    Status(u16),
    /// The response ended before it was complete.
    Truncated,
    /// The head, the body or the response as a whole is longer than what is buffered.
    TooLong,
    /// The response is not HTTP/1.1.
    InvalidHttp(HttpFault),
    /// The body is no endpoint list; with the place of the fault.
    InvalidList(String),
}

/// What of a response is not HTTP/1.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpFault {
    /// Its head.
    Head,
    /// Its `Content-Length`.
    ContentLength,
    /// The size of one of its chunks.
    ChunkSize,
}

impl Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PollError::NoSocket => f.write_str("no-socket"),
            PollError::ConnectionRefused => f.write_str("refused"),
            PollError::ConnectTimeout => f.write_str("connect-timeout"),
            PollError::Unresponsive => f.write_str("unresponsive"),
            PollError::Closed => f.write_str("closed"),
            PollError::Reset => f.write_str("reset"),
            PollError::Overloaded => f.write_str("status 503"),
            PollError::Status(code) => write!(f, "status {code}"),
            PollError::Truncated => f.write_str("response truncated"),
            PollError::TooLong => f.write_str("response too long"),
            PollError::InvalidHttp(fault) => write!(f, "invalid HTTP: {fault}"),
            PollError::InvalidList(fault) => write!(f, "invalid list: {fault}"),
        }
    }
}

impl Display for HttpFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpFault::Head => "no head of an answer",
            HttpFault::ContentLength => "a length that is no number",
            HttpFault::ChunkSize => "a chunk without a size",
        })
    }
}

impl Error for PollError {}
