//! The socket at which the process that replaces this one connects.

use super::super::event_loop_context::EventLoopContext;
use super::super::registration;
use super::super::sources::Source;
use super::link::ProcessLink;
use super::{Peer, ProcessHandover};
use crate::log::Quoted;
use crate::system_error::SystemErrorClass;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry};
use std::io::ErrorKind;
use std::os::unix::net::UnixDatagram;
use std::path::Path;
use tracing::{info, warn};

/// Returns whether a process listens at this path. A datagram socket is used, so that the process does not notice: the system refuses
/// it there as one of another type.
fn is_listened_at(path: &Path) -> bool {
    let connected = UnixDatagram::unbound().and_then(|socket| socket.connect(path));
    connected.is_err_and(|error| error.raw_os_error() == Some(libc::EPROTOTYPE))
}

impl ProcessHandover {
    /// Listens again once the successor has disconnected, which had bound its own socket to the path. Does nothing while a process
    /// listens there: it may have replaced the successor.
    pub(in super::super) fn listen_after_successor(&mut self, registry: &Registry) {
        if !self.had_successor || self.successor.is_some() {
            return;
        }
        let is_unused = self.path.as_deref().is_some_and(|path| !is_listened_at(path));
        if is_unused {
            let _ = self.listen(registry);
        }
    }

    /// Listens at the path to which a successor connects.
    pub(super) fn listen(&mut self, registry: &Registry) -> std::io::Result<()> {
        let Some(path) = &self.path else { return Ok(()) };
        let _ = std::fs::remove_file(path);
        let bound = UnixListener::bind(path).and_then(|mut listener| {
            registration::register(
                registry,
                &mut listener,
                Source::HandoverListener.token(),
                Interest::READABLE,
            )?;
            Ok(listener)
        });
        let listener = bound.inspect_err(|error| {
            warn!(event = "handover-socket-unavailable", path = %path.display(), error = %Quoted(error));
        })?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Accepts connections from other processes. The newest of them is the successor.
    pub(in super::super) fn accept(&mut self, context: &mut EventLoopContext) {
        while let Some(stream) = self.accept_stream() {
            self.remove_link(Peer::Successor, context);
            self.successor = ProcessLink::register(context.poll.registry(), stream, Source::Successor).ok();
            if self.successor.is_some() {
                self.had_successor = true;
                info!(event = "successor-connected");
            }
        }
        self.update_recorded_writes(context);
    }

    /// Accepts a connection that waits. After an error that is not repeated at once, the periodic tasks try again: the poll does not
    /// report a connection that still waits.
    fn accept_stream(&mut self) -> Option<UnixStream> {
        loop {
            let error = match self.listener.as_ref()?.accept() {
                Ok((stream, _)) => return Some(stream),
                Err(error) => error,
            };
            self.accept_failed = error.kind() != ErrorKind::WouldBlock;
            if !self.accept_failed {
                return None;
            }
            if SystemErrorClass::of(&error) != SystemErrorClass::Interrupted {
                warn!(event = "handover-accept-failed", error = %Quoted(error));
                return None;
            }
        }
    }

    /// Returns whether another process may wait to be accepted since an accept failed.
    pub(in super::super) fn has_failed_accept(&self) -> bool {
        self.accept_failed
    }
}
