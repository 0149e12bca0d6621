//! Who may come in: newcomers are accepted while there are places, and idle clients make room for them.

use super::super::event_loop_context::EventLoopContext;
use super::super::sources::Source;
use super::super::test_hooks::{self, Point};
use super::super::timer_events::TimerEvent;
use super::client::{Client, NEWCOMER_CLASS};
use super::{Clients, open_spare_descriptor};
use crate::log::Quoted;
use crate::pg::frontend::Frontend;
use birchreach::Micros;
use mio::Interest;
use mio::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::warn;

/// Accepted in one turn of the loop at most: a flood must not starve those who are in.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// Pause after the system had no descriptor to give.
const ACCEPT_PAUSE_MICROS: Micros = 50_000;

impl Clients {
    /// So many places there are from now on; idle clients beyond them make room.
    pub fn set_limit(&mut self, context: &mut EventLoopContext, most: usize) {
        (self.max_clients, self.early_shed_threshold) = (most, most * 2 / 5);
        for _ in self.max_clients..self.occupied_places() {
            self.shed(context, None, NEWCOMER_CLASS);
        }
    }

    /// So many unclassified hold no place of a client's, where balancers may look in. Descriptors are kept for them.
    pub fn set_unclassified_allowance(&mut self, unclassified: usize) {
        self.unclassified_allowance = unclassified;
    }

    /// Places that are taken.
    pub(super) fn occupied_places(&self) -> usize {
        self.connections.len() - self.unclassified_count.min(self.unclassified_allowance)
    }

    /// A newcomer takes a place: others make room, after the fact, for only now it is known that someone came.
    pub(super) fn make_room_for(&mut self, context: &mut EventLoopContext, newcomer: Option<usize>) {
        if self.occupied_places() > self.max_clients || self.spare_descriptor.is_none() {
            self.shed(context, newcomer, NEWCOMER_CLASS);
        } else if self.occupied_places() > self.early_shed_threshold {
            self.shed(context, newcomer, NEWCOMER_CLASS - 1);
        }
    }

    /// There are connections to accept, and room for them.
    pub(super) fn can_accept(&self) -> bool {
        self.accept_pending
            && !self.accept_paused
            && !self.handing_over
            && !self.awaiting_peer_state
            && self.listener.is_some()
    }

    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.can_accept() {
                return;
            }
            if self.occupied_places() >= self.max_clients
                && !self.connections.iter().any(|(_, c)| c.can_be_shed())
            {
                // Nobody can make room: newcomers wait outside.
                return self.pause_accepting(context);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, peer)) => {
                    let key = self.admit(context, stream, peer);
                    self.make_room_for(context, key);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.accept_pending = false,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // Out of descriptors, whether or not someone waits: the one kept for this will tell.
                Err(_) if self.spare_descriptor.take().is_some() => continue,
                Err(e) => {
                    // Trying again at once would spin.
                    warn!(event = "accept-failed", error = %Quoted(e));
                    self.shed(context, None, NEWCOMER_CLASS);
                    self.pause_accepting(context);
                }
            }
            self.spare_descriptor = self.spare_descriptor.take().or_else(open_spare_descriptor);
        }
    }

    fn pause_accepting(&mut self, context: &mut EventLoopContext) {
        self.accept_paused = true;
        context.timers.set(context.now + ACCEPT_PAUSE_MICROS, TimerEvent::RetryAccept);
    }

    pub fn resume_accepting(&mut self) {
        self.accept_paused = false;
    }

    /// Databases lack descriptors that clients hold.
    pub fn release_descriptor(&mut self, context: &mut EventLoopContext) {
        self.shed(context, None, NEWCOMER_CLASS);
    }

    /// Closes the client that makes room first, but not the newcomer, nor one of a higher class.
    fn shed(&mut self, context: &mut EventLoopContext, newcomer: Option<usize>, class: u8) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let can_be_shed =
                self.connections.iter().filter(|(k, c)| Some(*k) != newcomer && c.can_be_shed());
            let ranks = can_be_shed.map(|(k, c)| (c.shed_priority(context.now), k));
            let first = ranks.filter(|(rank, _)| rank.0 <= class).min();
            let Some((before, key)) = first else { return };
            test_hooks::at(Point::Shed);
            // What came in meanwhile is read first: a request must not cross with the end.
            self.handle_ready(context, key);
            match self.connections.get(key) {
                None => return,
                Some(c) if c.can_be_shed() && c.shed_priority(context.now) == before => {
                    return self.close(context, key, "shed");
                }
                Some(_) => {}
            }
        }
    }

    pub(super) fn admit(
        &mut self,
        context: &mut EventLoopContext,
        mut stream: TcpStream,
        peer: SocketAddr,
    ) -> Option<usize> {
        let _ = stream.set_nodelay(true);
        let slot = self.connections.vacant_entry();
        let key = slot.key();
        let token = Source::Client(key).token();
        if let Err(e) = context.registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)
        {
            warn!(conn = "client", %peer, reason = "no-socket", error = %Quoted(e));
            return None;
        }
        slot.insert(Client {
            stream,
            peer,
            number: self.admitted,
            protocol: Frontend::default(),
            open_request: None,
            streaming: None,
            answered_requests: 0,
            unclassified: true,
            peer_closed: false,
            turn_incomplete: false,
            closing: None,
            last_active_at: context.now,
            close_when_idle: false,
            incomplete_since: Some(context.now),
        });
        self.unclassified_count += 1;
        self.admitted += 1;
        Some(key)
    }
}
