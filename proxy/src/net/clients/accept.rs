//! Accepts clients' connections, within the limit on their number.

use super::super::event_loop_context::EventLoopContext;
use super::super::registration;
use super::super::sources::Source;
use super::super::timer_events::TimerEvent;
use super::client::Client;
use super::close_reason::ClientCloseReason;
use super::{Clients, open_reserve_descriptor};
use crate::core::ClientKey;
use crate::log::Quoted;
use crate::system_error::SystemErrorClass;
use birchreach::Micros;
use mio::Interest;
use mio::net::TcpStream;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use tracing::warn;

/// The most connections accepted in one turn of the loop, so that a flood of new ones does not starve connected clients.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// How many accepts may fail with an error that passes by itself before accepting pauses.
const MAX_FAILED_ACCEPTS: u32 = 16;
/// How long accepting pauses when no connection can be accepted. Without the pause, the retries would be a busy loop.
const ACCEPT_PAUSE_MICROS: Micros = 50_000;

impl Clients {
    /// Records that the poll reported the listener as readable. The accepts follow in `continue_pending_work`.
    pub(crate) fn listener_ready(&mut self) {
        self.accept_pending = true;
    }

    /// Ends the pause in accepting. Called when its timer is due.
    pub(crate) fn resume_accepting(&mut self) {
        self.accept_paused = false;
    }

    /// Returns whether connections may be waiting, and this process is in a state to accept them.
    pub(super) fn can_accept(&self) -> bool {
        self.accept_pending
            && !self.accept_paused
            && !self.handing_over
            && !self.awaiting_peer_state
            && !self.awaiting_predecessor
            && self.listener.is_some()
    }

    /// Accepts waiting connections, up to the limit of one turn.
    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.can_accept() {
                return;
            }
            let limit_reached = self.counted_clients() >= self.max_clients;
            if limit_reached && !self.connections.iter().any(|(_, client)| client.can_be_shed()) {
                // No client can be shed. New clients wait in the listener's backlog.
                return self.pause_accepting(context);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, peer)) => {
                    self.failed_accepts = 0;
                    let key = self.register_client(context, stream, peer);
                    self.reopen_reserve_descriptor();
                    self.shed_if_over_limit(context, key);
                    self.reopen_reserve_descriptor();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.accept_pending = false;
                    self.reopen_reserve_descriptor();
                }
                Err(error) => self.accept_failed(context, &error),
            }
        }
    }

    /// Handles an accept that failed. The loop of the turn tries again unless accepting is paused.
    fn accept_failed(&mut self, context: &mut EventLoopContext, error: &Error) {
        match SystemErrorClass::of(error) {
            SystemErrorClass::Interrupted => {}
            // The system reports a lack of descriptors even if no client waits. Dropping the reserve frees one, so the next accept
            // shows whether a client is waiting.
            SystemErrorClass::NoDescriptor if self.reserve_descriptor.take().is_some() => return,
            // The error concerns the connection that would have been accepted, or passes by itself.
            SystemErrorClass::NoDescriptor | SystemErrorClass::Passing
                if self.failed_accepts < MAX_FAILED_ACCEPTS =>
            {
                self.failed_accepts += 1;
            }
            SystemErrorClass::NoDescriptor | SystemErrorClass::Passing | SystemErrorClass::Final => {
                warn!(event = "accept-failed", error = %Quoted(error));
                self.failed_accepts = 0;
                self.shed_to_free_descriptor(context);
                self.pause_accepting(context);
            }
        }
        self.reopen_reserve_descriptor();
    }

    /// Opens the reserve descriptor if there is none and the system has one.
    fn reopen_reserve_descriptor(&mut self) {
        self.reserve_descriptor = self.reserve_descriptor.take().or_else(open_reserve_descriptor);
    }

    /// Stops accepting until `ACCEPT_PAUSE_MICROS` have passed.
    fn pause_accepting(&mut self, context: &mut EventLoopContext) {
        self.accept_paused = true;
        context.timers.set(context.now + ACCEPT_PAUSE_MICROS, TimerEvent::RetryAccept);
    }

    /// Registers an accepted connection with the poll. Returns `None` and drops the connection if that fails.
    fn register_client(
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
        if let Err(error) = registration::register(context.poll.registry(), &mut stream, token, interest) {
            let reason = ClientCloseReason::NoSocket.as_str();
            warn!(conn = "client", %peer, reason, error = %Quoted(error));
            return None;
        }
        slot.insert(Client::new(stream, peer, self.next_serial, context.now));
        self.clients_without_request += 1;
        self.next_serial = self.next_serial.next();
        Some(key)
    }
}
