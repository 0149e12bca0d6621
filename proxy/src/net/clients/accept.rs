//! Accepts clients.

use super::super::event_loop_context::EventLoopContext;
use super::super::sources::Source;
use super::super::timer_events::TimerEvent;
use super::client::{Client, ShedClass};
use super::close_reason::ClientCloseReason;
use super::{Clients, open_reserve_descriptor};
use crate::core::ClientKey;
use crate::log::Quoted;
use birchreach::Micros;
use mio::Interest;
use mio::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::warn;

/// The most connections accepted in one turn of the loop: a flood of new ones must not starve the clients that are connected.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// How long accepting pauses when no connection can be accepted. A retry without a pause would be a busy loop.
const ACCEPT_PAUSE_MICROS: Micros = 50_000;

impl Clients {
    /// The listener is ready.
    pub(crate) fn listener_ready(&mut self) {
        self.accept_pending = true;
    }

    /// The pause in accepting is over.
    pub(crate) fn resume_accepting(&mut self) {
        self.accept_paused = false;
    }

    /// Whether there may be connections to accept, and this process may accept them.
    pub(super) fn can_accept(&self) -> bool {
        self.accept_pending
            && !self.accept_paused
            && !self.handing_over
            && !self.awaiting_peer_state
            && self.listener.is_some()
    }

    /// Accepts waiting connections, as many as one turn allows.
    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.can_accept() {
                return;
            }
            let is_full = self.counted_clients() >= self.max_clients;
            if is_full && !self.connections.iter().any(|(_, client)| client.can_be_shed()) {
                // No client can be shed: new ones wait in the listener's queue.
                return self.pause_accepting(context);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, peer)) => {
                    let key = self.admit(context, stream, peer);
                    self.shed_for(context, key);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.accept_pending = false,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // The system has no descriptor, which is reported even if no client waits. With the reserve the next accept tells.
                Err(_) if self.reserve_descriptor.take().is_some() => continue,
                Err(error) => {
                    warn!(event = "accept-failed", error = %Quoted(error));
                    self.shed(context, None, ShedClass::InGracePeriod);
                    self.pause_accepting(context);
                }
            }
            self.reserve_descriptor = self.reserve_descriptor.take().or_else(open_reserve_descriptor);
        }
    }

    /// Stops accepting until a timer is due.
    fn pause_accepting(&mut self, context: &mut EventLoopContext) {
        self.accept_paused = true;
        context.timers.set(context.now + ACCEPT_PAUSE_MICROS, TimerEvent::RetryAccept);
    }

    /// Registers an accepted connection. Returns none if the poll does not take it.
    fn admit(
        &mut self,
        context: &mut EventLoopContext,
        mut stream: TcpStream,
        peer: SocketAddr,
    ) -> Option<ClientKey> {
        let _ = stream.set_nodelay(true);
        let slot = self.connections.vacant_entry();
        let key = ClientKey(slot.key());
        let token = Source::Client(key).token();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = context.poll.registry().register(&mut stream, token, interest) {
            let reason = ClientCloseReason::NoSocket.as_str();
            warn!(conn = "client", %peer, reason, error = %Quoted(error));
            return None;
        }
        slot.insert(Client::new(stream, peer, self.next_serial, context.now));
        self.unclassified_count += 1;
        self.next_serial = self.next_serial.next();
        Some(key)
    }
}
