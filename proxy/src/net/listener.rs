//! The clients' listening socket: taken over from the platform, or opened here.

use mio::net::TcpListener;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, OwnedFd};

/// An inherited socket is shared with the platform and with other processes of this proxy: it is closed
/// here, never shut down, and what waits in its queue belongs to whoever takes it.
pub fn open(address: SocketAddr, inherited: Option<i32>) -> Result<TcpListener, String> {
    let Some(fd) = inherited else {
        return TcpListener::bind(address).map_err(|e| format!("listening on {address}: {e}"));
    };
    let failed = |e| format!("the inherited descriptor {fd}: {e}");
    // SAFETY: called once, at the start; the platform handed this number to this process, and nothing else
    // in it owns the descriptor. A number that is no socket's fails at the first call below.
    let listener = std::net::TcpListener::from(unsafe { OwnedFd::from_raw_fd(fd) });
    listener.local_addr().map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(TcpListener::from_std(listener))
}
