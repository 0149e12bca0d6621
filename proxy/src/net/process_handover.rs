//! The handover between processes of one proxy. A predecessor is the process that this one replaces, a successor is the process
//! that replaces this one. They connect at a Unix socket in `$TMPDIR`, so that limits and budgets cover both.

use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use super::stream;
use crate::handover_protocol::{HandoverMessage, HandoverProtocol, InvalidMessage};
use crate::hash::fnv1a;
use crate::log::Quoted;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tracing::{info, warn};

/// A connection to another process, and the state that the other process has reported.
struct ProcessLink {
    stream: UnixStream,
    protocol: HandoverProtocol,
    /// Whether the other process is a successor that accepts clients.
    is_serving: bool,
    /// The number of descriptors that a stopping predecessor still has open. `None` if the other process is not stopping.
    descriptors_when_stopping: Option<usize>,
    /// The time at which a predecessor stops accepting work, in Unix microseconds. `None` until it is announced.
    stops_accepting_at: Option<i64>,
}

impl ProcessLink {
    /// Creates a link on a connection that is registered with the event loop.
    fn new(stream: UnixStream) -> ProcessLink {
        ProcessLink {
            stream,
            protocol: HandoverProtocol::default(),
            is_serving: false,
            descriptors_when_stopping: None,
            stops_accepting_at: None,
        }
    }

    /// Reads and writes as far as possible without blocking. Returns whether the link is still usable.
    fn exchange(&mut self, scratch: &mut [u8]) -> bool {
        let protocol = &mut self.protocol;
        let read = stream::read(&mut self.stream, scratch, |bytes| {
            protocol.feed(bytes);
            true
        });
        let applied = self.apply_messages();
        let written = stream::write(&mut self.stream, &mut self.protocol.outbox);
        read.is_ok() && applied.is_ok() && written.is_ok()
    }

    /// Applies the messages that have arrived completely.
    fn apply_messages(&mut self) -> Result<(), InvalidMessage> {
        while let Some(message) = self.protocol.next_message()? {
            match message {
                HandoverMessage::Serving => {
                    (self.is_serving, self.descriptors_when_stopping) = (true, None);
                }
                HandoverMessage::Stopping(descriptors) => {
                    (self.is_serving, self.descriptors_when_stopping) = (false, Some(descriptors));
                }
                HandoverMessage::StopsAcceptingAt(at) => self.stops_accepting_at = Some(at),
            }
        }
        Ok(())
    }
}

/// The connections to other processes of this proxy. The default has no connections and no listener, for a proxy that does not
/// share its client listener.
#[derive(Default)]
pub(super) struct ProcessHandover {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    predecessor: Option<ProcessLink>,
    successor: Option<ProcessLink>,
    /// Whether the predecessor was informed that this process serves.
    serving_announced: bool,
}

impl ProcessHandover {
    /// Connects to the process that serves at this address, if there is one, and listens for a successor.
    pub(super) fn connect_and_listen(registry: &Registry, address: SocketAddr) -> ProcessHandover {
        let name = format!("birchreach-{:016x}.sock", fnv1a(address.to_string().as_bytes()));
        let path = std::env::temp_dir().join(name);
        let predecessor = connect(registry, &path);
        let mut handover = ProcessHandover { path: Some(path), predecessor, ..ProcessHandover::default() };
        handover.listen(registry);
        handover
    }

    /// Listens at the path to which a successor connects. If that fails, each of the two processes acts as if it were the only
    /// one.
    fn listen(&mut self, registry: &Registry) {
        let Some(path) = &self.path else { return };
        let _ = std::fs::remove_file(path);
        let bound = UnixListener::bind(path).and_then(|mut listener| {
            registry.register(&mut listener, Source::HandoverListener.token(), Interest::READABLE)?;
            Ok(listener)
        });
        match bound {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                warn!(event = "handover-socket-unavailable", path = %path.display(), error = %Quoted(error));
            }
        }
    }

    /// Accepts connections from other processes. The newest of them is the successor.
    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        while let Some(Ok((mut stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
            if let Some(mut older) = self.successor.take() {
                let _ = context.poll.registry().deregister(&mut older.stream);
            }
            if register(context.poll.registry(), &mut stream, Source::Successor) {
                self.successor = Some(ProcessLink::new(stream));
                info!(event = "successor-connected");
            }
        }
    }

    /// Reads and writes the predecessor's link.
    pub(super) fn predecessor_ready(&mut self, context: &mut EventLoopContext) {
        if exchange_or_remove(&mut self.predecessor, context) {
            info!(event = "predecessor-disconnected");
        }
    }

    /// Reads and writes the successor's link. If the successor has disconnected, this process listens again.
    pub(super) fn successor_ready(&mut self, context: &mut EventLoopContext) {
        if exchange_or_remove(&mut self.successor, context) {
            info!(event = "successor-disconnected");
            // The successor had bound its own socket to this process's path.
            self.listen(context.poll.registry());
        }
    }

    /// Informs the predecessor that this process serves, unless it was informed before. Returns whether it was informed now.
    pub(super) fn announce_serving(&mut self, context: &mut EventLoopContext) -> bool {
        let Some(predecessor) = &mut self.predecessor else { return false };
        if std::mem::replace(&mut self.serving_announced, true) {
            return false;
        }
        predecessor.protocol.send(HandoverMessage::Serving);
        self.predecessor_ready(context);
        true
    }

    /// Informs the successor that this process is stopping, and how many descriptors it still has open.
    pub(super) fn announce_stopping(&mut self, context: &mut EventLoopContext, descriptors: usize) {
        self.send_to_successor(context, HandoverMessage::Stopping(descriptors));
    }

    /// Informs the successor of the time at which this process stops accepting work, in Unix microseconds.
    pub(super) fn announce_stop_accepting(&mut self, context: &mut EventLoopContext, at: i64) {
        self.send_to_successor(context, HandoverMessage::StopsAcceptingAt(at));
    }

    /// Sends a message to the successor, if there is one.
    fn send_to_successor(&mut self, context: &mut EventLoopContext, message: HandoverMessage) {
        if let Some(successor) = &mut self.successor {
            successor.protocol.send(message);
            self.successor_ready(context);
        }
    }

    /// Returns the time at which the predecessor stops accepting work, in Unix microseconds. `None` if there is no predecessor
    /// or it has not announced the time.
    pub(super) fn predecessor_stops_accepting_at(&self) -> Option<i64> {
        self.predecessor.as_ref()?.stops_accepting_at
    }

    /// Whether the process that this one replaces is still connected.
    pub(super) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Whether a successor accepts the clients now.
    pub(super) fn is_replaced(&self) -> bool {
        self.successor.as_ref().is_some_and(|successor| successor.is_serving)
    }

    /// Returns the number of processes of this proxy that run, including this one.
    pub(super) fn process_count(&self) -> u32 {
        1 + u32::from(self.predecessor.is_some()) + u32::from(self.successor.is_some())
    }

    /// Returns the number of descriptors that a stopping predecessor still has open; a stopping process opens no more. `None` if
    /// no predecessor is stopping.
    pub(super) fn predecessor_descriptors(&self) -> Option<usize> {
        self.predecessor.as_ref()?.descriptors_when_stopping
    }
}

/// Connects to a process that serves. Returns `None` if the socket does not exist or refuses the connection.
fn connect(registry: &Registry, path: &Path) -> Option<ProcessLink> {
    let mut stream = UnixStream::connect(path).ok()?;
    if !register(registry, &mut stream, Source::Predecessor) {
        return None;
    }
    Some(ProcessLink::new(stream))
}

/// Registers a link's stream with the event loop. Returns whether that succeeded.
fn register(registry: &Registry, stream: &mut UnixStream, source: Source) -> bool {
    registry.register(stream, source.token(), Interest::READABLE | Interest::WRITABLE).is_ok()
}

/// Reads and writes a link, if there is one, and removes a link that is no longer usable. Returns whether the link was removed.
fn exchange_or_remove(link: &mut Option<ProcessLink>, context: &mut EventLoopContext) -> bool {
    let Some(open_link) = link else { return false };
    if open_link.exchange(&mut context.scratch) {
        return false;
    }
    let _ = context.poll.registry().deregister(&mut open_link.stream);
    *link = None;
    true
}
