//! A listener for links of other proxies.

use super::super::sources::Source;
use mio::net::TcpListener;
use mio::{Interest, Registry};
use std::net::SocketAddr;

/// Opens a listener and registers it; `purpose` is named in the error.
pub(super) fn listen(
    registry: &Registry,
    address: SocketAddr,
    source: Source,
    purpose: &str,
) -> Result<TcpListener, String> {
    let failed = |e| format!("listening for {purpose} on {address}: {e}");
    let mut listener = TcpListener::bind(address).map_err(failed)?;
    registry.register(&mut listener, source.token(), Interest::READABLE).map_err(failed)?;
    Ok(listener)
}
