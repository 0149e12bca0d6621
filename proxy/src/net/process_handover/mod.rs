//! The handover between processes of one proxy. A predecessor is the process that this one replaces, a successor is the process
//! that replaces this one. They connect at a Unix socket in `$TMPDIR`, so that limits and budgets cover both.

mod accept;
mod confirmed_roles;
mod grants;
mod link;
mod request_ids;
mod session_writes;

use super::event_loop_context::EventLoopContext;
use crate::handover_protocol::HandoverMessage;
use crate::hash::fnv1a;
use crate::startup_retry::StartupRetry;
use birchreach::Micros;
pub(super) use grants::{ANSWER_TIMEOUT_MICROS, GrantDecision};
use link::{LinkProgress, ProcessLink};
use mio::Registry;
use mio::net::UnixListener;
use session_writes::LostProcesses;
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::info;

/// One of the two processes that this process may have a link to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    Predecessor,
    Successor,
}

impl Peer {
    fn other(self) -> Peer {
        match self {
            Peer::Predecessor => Peer::Successor,
            Peer::Successor => Peer::Predecessor,
        }
    }
}

/// The connections to other processes of this proxy. The default has no connections and no listener, for a proxy that does not
/// share its client listener.
#[derive(Default)]
pub(super) struct ProcessHandover {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    /// The last accept failed, so that a connection may wait.
    accept_failed: bool,
    predecessor: Option<ProcessLink>,
    successor: Option<ProcessLink>,
    /// A successor has connected, and may have disconnected since.
    had_successor: bool,
    /// Whether the predecessor was informed that this process serves.
    serving_announced: bool,
    /// The predecessor has reported what it knows, or has not done so in time.
    predecessor_wait_ended: bool,
    /// Processes whose link has broken while they may still answer writes. `None` if there are none.
    lost: Option<LostProcesses>,
    /// The timer for the next announcement of session writes is set.
    announcement_timer_set: bool,
    /// Requests that other processes have begun, which the clients' owner has still to be told of.
    remote_requests: Vec<request_ids::RemoteRequest>,
    grants: grants::Grants,
    /// The longest time that a client may wait for a response.
    longest_client_timeout: Micros,
}

impl ProcessHandover {
    /// Connects to the process that serves at this address, if there is one, and listens for a successor.
    pub(super) fn connect_and_listen(
        registry: &Registry,
        address: SocketAddr,
        retry: StartupRetry,
    ) -> ProcessHandover {
        let name = format!("birchreach-{:016x}.sock", fnv1a(address.to_string().as_bytes()));
        let path = std::env::temp_dir().join(name);
        let predecessor = retry.run("predecessor", || ProcessLink::connect(registry, &path)).ok();
        let mut handover = ProcessHandover { path: Some(path), predecessor, ..ProcessHandover::default() };
        // If that fails for good, each of the two processes acts as if it were the only one.
        let _ = retry.run("handover-socket", || handover.listen(registry));
        handover
    }

    /// Reads and writes the predecessor's link.
    pub(super) fn predecessor_ready(&mut self, context: &mut EventLoopContext) {
        if self.exchange_or_remove(Peer::Predecessor, context) {
            info!(event = "predecessor-disconnected");
        }
    }

    /// Reads and writes the successor's link. If the successor has disconnected, this process listens again.
    pub(super) fn successor_ready(&mut self, context: &mut EventLoopContext) {
        if self.exchange_or_remove(Peer::Successor, context) {
            info!(event = "successor-disconnected");
            self.listen_after_successor(context.poll.registry());
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

    /// Whether this process still waits for the predecessor to report what it knows. No client may be accepted before.
    pub(super) fn awaits_predecessor(&self) -> bool {
        self.predecessor.is_some() && !self.predecessor_wait_ended
    }

    /// Ends the wait for the report of the predecessor, which an earlier release does not send.
    pub(super) fn end_wait_for_predecessor(&mut self) {
        self.predecessor_wait_ended = true;
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

    fn link(&self, peer: Peer) -> Option<&ProcessLink> {
        match peer {
            Peer::Predecessor => self.predecessor.as_ref(),
            Peer::Successor => self.successor.as_ref(),
        }
    }

    fn link_mut(&mut self, peer: Peer) -> Option<&mut ProcessLink> {
        match peer {
            Peer::Predecessor => self.predecessor.as_mut(),
            Peer::Successor => self.successor.as_mut(),
        }
    }

    /// Reads and writes a link, if there is one, and removes a link that is no longer usable. Returns whether the link was removed.
    fn exchange_or_remove(&mut self, peer: Peer, context: &mut EventLoopContext) -> bool {
        loop {
            let Some(link) = self.link_mut(peer) else { return false };
            let progress = link.read_piece(&mut context.scratch);
            self.apply_session_messages(peer, context);
            match progress {
                LinkProgress::MoreInput => {}
                LinkProgress::InputRead => break,
                LinkProgress::Broken => {
                    self.remove_link(peer, context);
                    return true;
                }
            }
        }
        let is_usable = self.link_mut(peer).is_some_and(ProcessLink::flush);
        if !is_usable {
            self.remove_link(peer, context);
        }
        !is_usable
    }

    /// Removes the link to a process, if there is one.
    fn remove_link(&mut self, peer: Peer, context: &mut EventLoopContext) {
        let removed = match peer {
            Peer::Predecessor => self.predecessor.take(),
            Peer::Successor => self.successor.take(),
        };
        let Some(mut link) = removed else { return };
        let _ = context.poll.registry().deregister(&mut link.stream);
        if peer == Peer::Predecessor {
            self.predecessor_ended(&link, context.now);
        }
        self.record_lost_process(peer, &link, context);
    }
}
