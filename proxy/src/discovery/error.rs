//! Errors of polls of discovery.

use std::error::Error;
use std::fmt::{self, Display};

/// The longest parser message that is kept in full. The parser quotes the value that it rejects, which may be as long as the
/// list.
const MAX_PARSER_MESSAGE_BYTES: usize = 200;

/// Why a poll failed. The connection is not reused. The `Display` text is the `reason` in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PollError {
    /// The operating system provided no socket for the connection.
    NoSocket,
    /// The connection was refused.
    ConnectionRefused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The response did not arrive in full before the timeout.
    Unresponsive,
    /// Discovery closed the connection when no response was in progress.
    Closed,
    /// The connection was reset. A reset does not complete a response without a length.
    Reset,
    /// Discovery rejected the request for lack of capacity (status 503).
    Overloaded,
    /// The status code is neither 200 nor 503.
    Status(u16),
    /// The connection was closed before the response was complete.
    Truncated,
    /// The head, the body or the complete response exceeds the size limit.
    TooLong,
    /// The response is not valid HTTP/1.1.
    InvalidHttp(HttpFault),
    /// The body is not a valid endpoint list. The text is the parser's message, with the line and column of the error.
    InvalidList(String),
}

impl PollError {
    /// Converts the parser's error. A long message is shortened, but keeps the line and column of the error.
    pub(super) fn invalid_list(error: &serde_json::Error) -> PollError {
        let text = error.to_string();
        if text.len() <= MAX_PARSER_MESSAGE_BYTES {
            return PollError::InvalidList(text);
        }
        let start = &text[..text.floor_char_boundary(MAX_PARSER_MESSAGE_BYTES)];
        let (line, column) = (error.line(), error.column());
        PollError::InvalidList(format!("{start}... at line {line} column {column}"))
    }
}

/// The part of a response that is not valid HTTP/1.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HttpFault {
    /// The status line or the headers.
    Head,
    /// The value of `Content-Length`, which must be a number.
    ContentLength,
    /// The hexadecimal size at the start of a chunk.
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
            HttpFault::Head => "malformed status line or headers",
            HttpFault::ContentLength => "Content-Length is not a number",
            HttpFault::ChunkSize => "malformed chunk size",
        })
    }
}

impl Error for PollError {}
