//! Why a link to another proxy ends or is not opened, as the log says it.

use birchreach_membership::PayloadError;
use birchreach_peer_state::frame::FrameError;
use std::fmt;

/// Whether a link stays open after a step of its protocol.
pub(super) enum LinkStep {
    /// The link stays open.
    Continue,
    /// The link ends.
    Close(CloseReason),
}

/// Why a link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// This proxy has sent all it had to send.
    Sent,
    /// This proxy has received a complete answer.
    Received,
    /// The other side closed the connection.
    Closed,
    /// The link timed out.
    Unresponsive,
    /// The other side violated the protocol, or has no common key.
    Frame(FrameError),
    /// The other side's members were rejected.
    Members(PayloadError),
}

impl CloseReason {
    /// The link has served its purpose.
    pub(super) fn is_complete(self) -> bool {
        matches!(self, CloseReason::Sent | CloseReason::Received)
    }

    /// What was received was rejected.
    pub(super) fn is_rejection(self) -> bool {
        matches!(self, CloseReason::Frame(_) | CloseReason::Members(_))
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CloseReason::Sent => f.write_str("sent"),
            CloseReason::Received => f.write_str("received"),
            CloseReason::Closed => f.write_str("closed"),
            CloseReason::Unresponsive => f.write_str("unresponsive"),
            CloseReason::Frame(error) => error.fmt(f),
            CloseReason::Members(error) => f.write_str(error.as_str()),
        }
    }
}

/// Why a link is not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkError {
    /// The limit on links is reached.
    ConnectionLimit,
    /// A provider's name is not an address and port.
    InvalidAddress,
    /// The other side refused the connection.
    Refused,
    /// The system had no socket.
    NoSocket,
    /// The system had no random numbers.
    NoRandomNumbers,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            LinkError::ConnectionLimit => "connection-limit",
            LinkError::InvalidAddress => "invalid-address",
            LinkError::Refused => "refused",
            LinkError::NoSocket => "no-socket",
            LinkError::NoRandomNumbers => "no-random-numbers",
        })
    }
}

impl std::error::Error for LinkError {}
