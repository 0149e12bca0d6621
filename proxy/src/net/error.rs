//! Errors that prevent the event loop from starting or continuing.

use super::checks::CheckProtocol;
use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// Why the event loop could not start or continue.
#[derive(Debug)]
pub(crate) enum EventLoopError {
    /// Signals could not be caught.
    Signals(io::Error),
    /// The poll could not be opened.
    OpenPoll(io::Error),
    /// Waiting for events failed.
    Poll(io::Error),
    /// A source could not be registered with the poll.
    Register { source: RegisteredSource, error: io::Error },
    /// A listener could not be opened.
    Listen(ListenError),
    /// The listening socket that was inherited from the platform cannot be used.
    InheritedDescriptor { descriptor: RawFd, error: io::Error },
    /// The clients' listener has no address.
    ListenerAddress(io::Error),
    /// The system gave no random numbers.
    RandomNumbers(getrandom::Error),
    /// The proxy's name is too long for the fleet, or not printable.
    FleetName { max_bytes: usize },
}

/// What was to be registered with the poll.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RegisteredSource {
    /// The signals.
    Signals,
    /// The clients' listener.
    ClientListener,
    /// The operators' listener.
    AdminListener(SocketAddr),
}

/// A listener that could not be opened.
#[derive(Debug)]
pub(crate) struct ListenError {
    pub purpose: ListenPurpose,
    pub address: SocketAddr,
    pub error: io::Error,
}

/// Who connects to a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListenPurpose {
    /// Clients.
    Clients,
    /// Operators.
    Operators,
    /// Balancers, for health checks of this protocol.
    Checks(CheckProtocol),
    /// Proxies that request state.
    PeerState,
    /// Members of the fleet.
    Fleet,
}

impl Display for EventLoopError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventLoopError::Signals(error) => write!(f, "no signals: {error}"),
            EventLoopError::OpenPoll(error) => write!(f, "no poll: {error}"),
            EventLoopError::Poll(error) => write!(f, "polling: {error}"),
            EventLoopError::Register { source, error } => write!(f, "watching {source}: {error}"),
            EventLoopError::Listen(error) => error.fmt(f),
            EventLoopError::InheritedDescriptor { descriptor, error } => {
                write!(f, "the inherited descriptor {descriptor}: {error}")
            }
            EventLoopError::ListenerAddress(error) => write!(f, "the listener: {error}"),
            EventLoopError::RandomNumbers(error) => write!(f, "no random numbers: {error}"),
            EventLoopError::FleetName { max_bytes } => {
                write!(f, "name: the fleet takes {max_bytes} printable bytes at most")
            }
        }
    }
}

impl Display for RegisteredSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegisteredSource::Signals => f.write_str("signals"),
            RegisteredSource::ClientListener => f.write_str("the listener"),
            RegisteredSource::AdminListener(address) => address.fmt(f),
        }
    }
}

impl Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ListenError { purpose, address, error } = self;
        match purpose {
            ListenPurpose::Clients => write!(f, "listening on {address}: {error}"),
            ListenPurpose::Operators => write!(f, "listening for operators on {address}: {error}"),
            ListenPurpose::Checks(protocol) => {
                write!(f, "listening for {} checks on {address}: {error}", protocol.as_str())
            }
            ListenPurpose::PeerState => write!(f, "listening for knowledge on {address}: {error}"),
            ListenPurpose::Fleet => write!(f, "listening for the fleet on {address}: {error}"),
        }
    }
}

impl Error for EventLoopError {}

impl Error for ListenError {}

impl From<ListenError> for EventLoopError {
    fn from(error: ListenError) -> EventLoopError {
        EventLoopError::Listen(error)
    }
}

impl From<getrandom::Error> for EventLoopError {
    fn from(error: getrandom::Error) -> EventLoopError {
        EventLoopError::RandomNumbers(error)
    }
}
