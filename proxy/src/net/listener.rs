//! The clients' listening socket: inherited from the platform, or opened here.

use super::error::{EventLoopError, ListenError, ListenPurpose};
use mio::net::TcpListener;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The listener for clients. An inherited socket is shared with the platform and with other processes of this proxy: it is closed
/// here but never shut down, and any of these processes may accept the connections in its queue.
pub(super) fn open(address: SocketAddr, inherited: Option<RawFd>) -> Result<TcpListener, EventLoopError> {
    match inherited {
        Some(descriptor) => {
            adopt(descriptor).map_err(|error| EventLoopError::InheritedDescriptor { descriptor, error })
        }
        None => TcpListener::bind(address)
            .map_err(|error| ListenError { purpose: ListenPurpose::Clients, address, error }.into()),
    }
}

/// Takes over a listening socket that was inherited.
fn adopt(descriptor: RawFd) -> std::io::Result<TcpListener> {
    // SAFETY: called once, at the start; the platform passed this number to this process, and nothing else in it owns the
    // descriptor. A number that is not a socket's fails at the next call.
    let listener = std::net::TcpListener::from(unsafe { OwnedFd::from_raw_fd(descriptor) });
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(TcpListener::from_std(listener))
}
