//! Errors that prevent the event loop from starting or continuing.

use super::checks::CheckProtocol;
use crate::startup_retry::StartupError;
use std::error::Error;
use std::fmt::{self, Display};
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// Why the event loop could not start or continue.
#[derive(Debug)]
pub(crate) enum EventLoopError {
    /// The signal handlers could not be installed.
    Signals(io::Error),
    /// The poll could not be created.
    OpenPoll(io::Error),
    /// The poll failed while it waited for events.
    Poll(io::Error),
    /// An event source could not be registered with the poll.
    Register { source: RegisteredSource, error: io::Error },
    /// A listener could not be opened.
    Listen(ListenError),
    /// The file descriptor inherited from the platform is not a usable listening socket.
    InheritedDescriptor { descriptor: RawFd, error: io::Error },
    /// The local address of the client listener could not be read.
    ListenerAddress(io::Error),
    /// The system could not provide random numbers.
    RandomNumbers(getrandom::Error),
    /// The name of the proxy is longer than the fleet allows, or contains control characters.
    FleetName { max_bytes: usize },
}

/// The event source that could not be registered with the poll.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RegisteredSource {
    /// The source that reports signals.
    Signals,
    /// The listener for clients, which this process opened or inherited.
    ClientListener,
    /// The listener for operators, with its configured address.
    AdminListener(SocketAddr),
}

/// A listener that could not be opened.
#[derive(Debug)]
pub(crate) struct ListenError {
    pub purpose: ListenPurpose,
    pub address: SocketAddr,
    pub error: io::Error,
}

/// The peers that a listener is opened for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListenPurpose {
    /// Clients connect to send statements.
    Clients,
    /// Operators connect to send admin calls.
    Operators,
    /// Balancers connect to check the health of this proxy with the given protocol.
    Checks(CheckProtocol),
    /// Other proxies connect to request this proxy's state.
    PeerState,
    /// Members of the fleet connect to synchronize membership.
    Fleet,
}

impl Display for EventLoopError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventLoopError::Signals(error) => write!(f, "cannot install the signal handlers: {error}"),
            EventLoopError::OpenPoll(error) => write!(f, "cannot create the event poll: {error}"),
            EventLoopError::Poll(error) => write!(f, "waiting for events failed: {error}"),
            EventLoopError::Register { source, error } => {
                write!(f, "cannot register {source} with the event poll: {error}")
            }
            EventLoopError::Listen(error) => error.fmt(f),
            EventLoopError::InheritedDescriptor { descriptor, error } => {
                write!(f, "cannot listen on the inherited descriptor {descriptor}: {error}")
            }
            EventLoopError::ListenerAddress(error) => {
                write!(f, "cannot read the address of the client listener: {error}")
            }
            EventLoopError::RandomNumbers(error) => {
                write!(f, "the system provided no random numbers: {error}")
            }
            EventLoopError::FleetName { max_bytes } => {
                write!(f, "name: must have at most {max_bytes} bytes and no control characters in a fleet")
            }
        }
    }
}

impl Display for RegisteredSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegisteredSource::Signals => f.write_str("the signal source"),
            RegisteredSource::ClientListener => f.write_str("the client listener"),
            RegisteredSource::AdminListener(address) => write!(f, "the operator listener on {address}"),
        }
    }
}

impl Display for ListenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ListenError { purpose, address, error } = self;
        match purpose {
            ListenPurpose::Clients => write!(f, "cannot listen for clients on {address}: {error}"),
            ListenPurpose::Operators => write!(f, "cannot listen for operators on {address}: {error}"),
            ListenPurpose::Checks(protocol) => {
                write!(f, "cannot listen for {} checks on {address}: {error}", protocol.as_str())
            }
            ListenPurpose::PeerState => {
                write!(f, "cannot listen for state requests of other proxies on {address}: {error}")
            }
            ListenPurpose::Fleet => write!(f, "cannot listen for fleet members on {address}: {error}"),
        }
    }
}

impl StartupError for EventLoopError {
    fn system_error(&self) -> Option<&io::Error> {
        match self {
            EventLoopError::Signals(error)
            | EventLoopError::OpenPoll(error)
            | EventLoopError::Poll(error)
            | EventLoopError::Register { error, .. }
            | EventLoopError::Listen(ListenError { error, .. })
            | EventLoopError::InheritedDescriptor { error, .. }
            | EventLoopError::ListenerAddress(error) => Some(error),
            EventLoopError::RandomNumbers(_) | EventLoopError::FleetName { .. } => None,
        }
    }
}

impl StartupError for ListenError {
    fn system_error(&self) -> Option<&io::Error> {
        Some(&self.error)
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
