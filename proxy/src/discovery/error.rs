//! Why a call to discovery came to nothing.

use std::fmt::{self, Display};

/// The reason for which a call failed. The connection it was made on is not used again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The system had no socket for a connection.
    NoSocket,
    /// The connection was refused.
    Connect,
    /// The connection did not come up in time.
    ConnectTimeout,
    /// No whole answer came in time.
    Silent,
    /// The connection was closed before an answer, or by its side after one.
    Closed,
    /// The connection was reset. An answer without a length is not whole then.
    Reset,
    /// Discovery had no room for the call (503).
    NoRoom,
    /// Another status than 200.
    Status(u16),
    /// The answer ended before it was whole.
    CutShort,
    /// The head, the body or the answer as a whole is longer than is held.
    TooLong,
    /// Not HTTP.
    Http(&'static str),
    /// Not a list; with the place of the fault.
    List(String),
}

impl Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NoSocket => f.write_str("no-socket"),
            CallError::Connect => f.write_str("refused"),
            CallError::ConnectTimeout => f.write_str("connect-timeout"),
            CallError::Silent => f.write_str("unresponsive"),
            CallError::Closed => f.write_str("closed"),
            CallError::Reset => f.write_str("reset"),
            CallError::NoRoom => f.write_str("status 503"),
            CallError::Status(code) => write!(f, "status {code}"),
            CallError::CutShort => f.write_str("response truncated"),
            CallError::TooLong => f.write_str("response too long"),
            CallError::Http(fault) => write!(f, "invalid HTTP: {fault}"),
            CallError::List(fault) => write!(f, "invalid list: {fault}"),
        }
    }
}
