//! Registers sockets with the poll, and repeats a registration that fails for a moment.

use crate::system_error::SystemErrorClass;
use mio::event::Source as EventSource;
use mio::{Interest, Registry, Token};
use std::io;

/// How often a registration is tried before the socket is given up.
const MAX_TRIES: u32 = 16;

/// Registers a socket. Repeats the registration at once if the error passes by itself.
pub(super) fn register(
    registry: &Registry,
    source: &mut impl EventSource,
    token: Token,
    interest: Interest,
) -> io::Result<()> {
    let mut tries = 1;
    loop {
        match register_once(registry, source, token, interest) {
            Err(error) if tries < MAX_TRIES && SystemErrorClass::of(&error).passes() => tries += 1,
            result => return result,
        }
    }
}

/// Registers a socket. After a failure the socket can be registered again.
pub(super) fn register_once(
    registry: &Registry,
    source: &mut impl EventSource,
    token: Token,
    interest: Interest,
) -> io::Result<()> {
    registry.register(source, token, interest).inspect_err(|_| {
        // mio counts the source as registered even if the system has refused it.
        let _ = registry.deregister(source);
    })
}
