//! Reasons for closing a link to another proxy or for not opening it, with their words in the log.

use birchreach_membership::PayloadError;
use birchreach_peer_state::frame::FrameError;
use std::fmt;

/// Whether a link stays open after a step of its protocol.
pub(super) enum LinkProgress {
    Continue,
    Close(LinkCloseReason),
}

/// Why a link is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkCloseReason {
    /// This proxy has sent everything that it had to send.
    Sent,
    /// This proxy has received a complete answer.
    Received,
    /// The connection has failed, or the other side has closed it.
    Closed,
    /// The link was still open at its timeout.
    Unresponsive,
    /// The other side has violated the protocol, or shares no key with this proxy.
    Frame(FrameError),
    /// The members that the other side has sent were rejected.
    Members(PayloadError),
}

impl LinkCloseReason {
    /// Whether the transfer or exchange on the link was completed.
    pub(super) fn is_complete(self) -> bool {
        matches!(self, LinkCloseReason::Sent | LinkCloseReason::Received)
    }

    /// Whether this proxy has rejected data from the other side.
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
    /// The limit on links or on full exchanges is reached.
    ConnectionLimit,
    /// A provider's name is not an address and port.
    InvalidAddress,
    /// The other side refused the connection.
    Refused,
    /// The operating system could not create, bind or register the socket.
    NoSocket,
    /// The operating system provided no random numbers for the nonce.
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
