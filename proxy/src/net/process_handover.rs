//! The process that this one replaces, and the one that replaces this: they meet at a Unix socket in `$TMPDIR`,
//! so that limits and budgets cover both.

use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use super::stream;
use crate::config::hash;
use crate::handover_protocol::{HandoverMessage, HandoverProtocol};
use crate::log::Quoted;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry};
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::{info, warn};

struct Link {
    stream: UnixStream,
    machine: HandoverProtocol,
    /// It takes clients, or was told to stop and holds so much.
    word: Option<HandoverMessage>,
    /// When the predecessor takes no new work any more, on the system's clock.
    yields: Option<i64>,
}

#[derive(Default)]
pub struct ProcessHandover {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    predecessor: Option<Link>,
    successor: Option<Link>,
}

impl ProcessHandover {
    /// Looks for a process that serves at this address, and says that this one does now; then waits for the next.
    pub fn connect_or_listen(registry: &Registry, address: SocketAddr) -> ProcessHandover {
        let name = format!("birchreach-{:016x}.sock", hash(address.to_string().as_bytes()));
        let path = std::env::temp_dir().join(name);
        let mut twin = ProcessHandover { path: Some(path.clone()), ..ProcessHandover::default() };
        // Refused, or not there: nobody serves, whatever file was left behind.
        if let Ok(mut stream) = UnixStream::connect(&path)
            && registry
                .register(&mut stream, Source::Predecessor.token(), Interest::READABLE | Interest::WRITABLE)
                .is_ok()
        {
            let mut machine = HandoverProtocol::default();
            machine.send(HandoverMessage::Serving);
            twin.predecessor = Some(Link { stream, machine, word: None, yields: None });
        }
        twin.listen(registry);
        twin
    }

    /// Takes the place where the next process looks. Without it, that one is not known to this.
    pub fn listen(&mut self, registry: &Registry) {
        let Some(path) = &self.path else { return };
        let _ = std::fs::remove_file(path);
        let bound = UnixListener::bind(path).and_then(|mut listener| {
            registry.register(&mut listener, Source::HandoverListener.token(), Interest::READABLE)?;
            Ok(listener)
        });
        match bound {
            Ok(listener) => self.listener = Some(listener),
            Err(e) => {
                warn!(event = "handover-socket-unavailable", path = %path.display(), error = %Quoted(e));
            }
        }
    }

    /// Someone came: the newest is the successor.
    pub fn accept(&mut self, context: &mut EventLoopContext) {
        while let Some(Ok((mut stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
            if let Some(mut old) = self.successor.take() {
                let _ = context.registry.deregister(&mut old.stream);
            }
            if context
                .registry
                .register(&mut stream, Source::Successor.token(), Interest::READABLE | Interest::WRITABLE)
                .is_ok()
            {
                self.successor =
                    Some(Link { stream, machine: HandoverProtocol::default(), word: None, yields: None });
                info!(event = "successor-connected");
            }
        }
    }

    /// Reads and writes one of the links.
    pub fn ready(&mut self, context: &mut EventLoopContext, link: Source) {
        let predecessor = link == Source::Predecessor;
        let slot = if predecessor { &mut self.predecessor } else { &mut self.successor };
        let Some(link) = slot else { return };
        let machine = &mut link.machine;
        let read = stream::read(&mut link.stream, &mut context.scratch, |bytes| {
            machine.feed(bytes);
            true
        });
        let sound = loop {
            match link.machine.next_message() {
                Ok(None) => break true,
                Ok(Some(HandoverMessage::StopsAcceptingAt(at))) => link.yields = Some(at),
                Ok(word) => link.word = word,
                Err(_) => break false,
            }
        };
        let written = stream::write(&mut link.stream, &mut link.machine.out);
        if read.is_err() || written.is_err() || !sound {
            let _ = context.registry.deregister(&mut link.stream);
            *slot = None;
            info!(event = if predecessor { "predecessor-disconnected" } else { "successor-disconnected" });
            if !predecessor {
                // It had taken the meeting place too.
                self.listen(&context.registry);
            }
        }
    }

    /// Tells the successor how much this process still holds.
    pub fn announce_stopping(&mut self, context: &mut EventLoopContext, held: usize) {
        if let Some(successor) = &mut self.successor {
            successor.machine.send(HandoverMessage::Stopping(held));
            self.ready(context, Source::Successor);
        }
    }

    /// Tells the successor when this process takes no new work any more, on the system's clock.
    pub fn announce_stop_accepting(&mut self, context: &mut EventLoopContext, unix: i64) {
        if let Some(successor) = &mut self.successor {
            successor.machine.send(HandoverMessage::StopsAcceptingAt(unix));
            self.ready(context, Source::Successor);
        }
    }

    /// What the predecessor said of that.
    pub fn predecessor_stops_accepting_at(&self) -> Option<i64> {
        self.predecessor.as_ref()?.yields
    }

    pub fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Another process takes the clients now.
    pub fn is_replaced(&self) -> bool {
        self.successor.as_ref().is_some_and(|successor| successor.word == Some(HandoverMessage::Serving))
    }

    /// How many processes there are, this one among them.
    pub fn process_count(&self) -> u32 {
        1 + u32::from(self.predecessor.is_some()) + u32::from(self.successor.is_some())
    }

    /// What the predecessor, told to stop, still holds; it opens nothing beyond that.
    pub fn predecessor_descriptors(&self) -> Option<usize> {
        match self.predecessor.as_ref()?.word {
            Some(HandoverMessage::Stopping(held)) => Some(held),
            _ => None,
        }
    }
}
