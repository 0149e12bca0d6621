//! Listeners for links that other proxies open.

use super::super::error::{ListenError, ListenPurpose};
use super::super::registration;
use super::super::sources::Source;
use mio::net::TcpListener;
use mio::{Interest, Registry};
use std::net::SocketAddr;

/// Opens a listener and registers it with the event loop. The error names `purpose`.
pub(super) fn listen(
    registry: &Registry,
    address: SocketAddr,
    source: Source,
    purpose: ListenPurpose,
) -> Result<TcpListener, ListenError> {
    let failed = |error| ListenError { purpose, address, error };
    let mut listener = TcpListener::bind(address).map_err(failed)?;
    registration::register(registry, &mut listener, source.token(), Interest::READABLE).map_err(failed)?;
    Ok(listener)
}
