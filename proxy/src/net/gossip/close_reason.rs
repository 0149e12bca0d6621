//! Why a link to another proxy ends or is not opened, as the log says it.

use birchreach_membership::PayloadError;
use birchreach_peer_state::frame::FrameError;
use std::fmt;

/// Whether a link stays open after a step of its protocol.
pub(super) enum LinkProgress {
    /// The link stays open.
    Continue,
    /// The link ends.
    Close(LinkCloseReason),
}

/// Why a link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkCloseReason {
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

impl LinkCloseReason {
    /// The link has served its purpose.
    pub(super) fn is_complete(self) -> bool {
        matches!(self, LinkCloseReason::Sent | LinkCloseReason::Received)
    }

    /// What was received was rejected.
    pub(super) fn is_rejection(self) -> bool {
        matches!(self, LinkCloseReason::Frame(_) | LinkCloseReason::Members(_))
    }
}

impl fmt::Display for LinkCloseReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LinkCloseReason::Sent => f.write_str("sent"),
            LinkCloseReason::Received => f.write_str("received"),
            LinkCloseReason::Closed => f.write_str("closed"),
            LinkCloseReason::Unresponsive => f.write_str("unresponsive"),
            LinkCloseReason::Frame(error) => error.fmt(f),
            LinkCloseReason::Members(error) => f.write_str(error.as_str()),
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
