//! The listening socket for clients. It is inherited from the platform or opened by this process.

use super::error::{EventLoopError, ListenError, ListenPurpose};
use crate::startup_retry::StartupRetry;
use mio::net::TcpListener;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Opens the listener for clients, or takes over the inherited socket. An inherited socket is shared with the platform
/// and with other processes of this proxy. This process closes it but never shuts it down, and any of these processes
/// may accept the connections in its backlog.
pub(super) fn open(
    address: SocketAddr,
    inherited: Option<RawFd>,
    retry: StartupRetry,
) -> Result<TcpListener, EventLoopError> {
    match inherited {
        Some(descriptor) => adopt(descriptor, retry)
            .map_err(|error| EventLoopError::InheritedDescriptor { descriptor, error }),
        None => retry.run("client-listener", || {
            let purpose = ListenPurpose::Clients;
            TcpListener::bind(address).map_err(|error| ListenError { purpose, address, error }.into())
        }),
    }
}

/// Takes over an inherited listening socket and makes it non-blocking.
fn adopt(descriptor: RawFd, retry: StartupRetry) -> std::io::Result<TcpListener> {
    // SAFETY: This is called once, at the start. The platform passed this descriptor to this process, and nothing else
    // in the process owns it. If it is not a socket, the next call fails.
    let listener = std::net::TcpListener::from(unsafe { OwnedFd::from_raw_fd(descriptor) });
    retry.run("inherited-listener", || listener.local_addr())?;
    retry.run("inherited-listener", || listener.set_nonblocking(true))?;
    Ok(TcpListener::from_std(listener))
}
