//! Who may come in: newcomers are accepted while there are places, and idle clients make room for them.

use super::super::event_loop_context::EventLoopContext;
use super::super::sources::Source;
use super::super::test_hooks::{self, Point};
use super::super::timer_events::TimerEvent;
use super::client::{Client, NEWCOMER};
use super::{Clients, spare};
use crate::log::Quoted;
use crate::pg::frontend::Frontend;
use birchreach::Micros;
use mio::Interest;
use mio::net::TcpStream;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::warn;

/// Accepted in one turn of the loop at most: a flood must not starve those who are in.
const TURN: usize = 32;
/// Pause after the system had no descriptor to give.
const ACCEPT_AGAIN: Micros = 50_000;

impl Clients {
    /// So many places there are from now on; idle clients beyond them make room.
    pub fn limit(&mut self, context: &mut EventLoopContext, most: usize) {
        (self.most, self.many) = (most, most * 2 / 5);
        for _ in self.most..self.occupied() {
            self.shed(context, None, NEWCOMER);
        }
    }

    /// So many unclassified hold no place of a client's, where balancers may look in. Descriptors are kept for them.
    pub fn host(&mut self, unclassified: usize) {
        self.unclassified_allowance = unclassified;
    }

    /// Places that are taken.
    pub(super) fn occupied(&self) -> usize {
        self.slots.len() - self.unclassified.min(self.unclassified_allowance)
    }

    /// A newcomer takes a place: others make room, after the fact, for only now it is known that someone came.
    pub(super) fn room(&mut self, context: &mut EventLoopContext, newcomer: Option<usize>) {
        if self.occupied() > self.most || self.spare.is_none() {
            self.shed(context, newcomer, NEWCOMER);
        } else if self.occupied() > self.many {
            self.shed(context, newcomer, NEWCOMER - 1);
        }
    }

    /// There are connections to accept, and room for them.
    pub(super) fn can_accept(&self) -> bool {
        self.waiting && !self.retry_set && !self.handing && !self.learning && self.listener.is_some()
    }

    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..TURN {
            if !self.can_accept() {
                return;
            }
            if self.occupied() >= self.most && !self.slots.iter().any(|(_, c)| c.can_be_shed()) {
                // Nobody can make room: newcomers wait outside.
                return self.pause(context);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, peer)) => {
                    let key = self.admit(context, stream, peer);
                    self.room(context, key);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.waiting = false,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // Out of descriptors, whether or not someone waits: the one kept for this will tell.
                Err(_) if self.spare.take().is_some() => continue,
                Err(e) => {
                    // Trying again at once would spin.
                    warn!(event = "accept-failed", error = %Quoted(e));
                    self.shed(context, None, NEWCOMER);
                    self.pause(context);
                }
            }
            self.spare = self.spare.take().or_else(spare);
        }
    }

    fn pause(&mut self, context: &mut EventLoopContext) {
        self.retry_set = true;
        context.timers.set(context.now + ACCEPT_AGAIN, TimerEvent::RetryAccept);
    }

    pub fn accept_again(&mut self) {
        self.retry_set = false;
    }

    /// Databases lack descriptors that clients hold.
    pub fn make_room(&mut self, context: &mut EventLoopContext) {
        self.shed(context, None, NEWCOMER);
    }

    /// Closes the client that makes room first, but not the newcomer, nor one of a higher class.
    fn shed(&mut self, context: &mut EventLoopContext, newcomer: Option<usize>, class: u8) {
        for _ in 0..TURN {
            let can_be_shed = self.slots.iter().filter(|(k, c)| Some(*k) != newcomer && c.can_be_shed());
            let ranks = can_be_shed.map(|(k, c)| (c.rank(context.now), k));
            let first = ranks.filter(|(rank, _)| rank.0 <= class).min();
            let Some((before, key)) = first else { return };
            test_hooks::at(Point::Shed);
            // What came in meanwhile is read first: a request must not cross with the end.
            self.ready(context, key);
            match self.slots.get(key) {
                None => return,
                Some(c) if c.can_be_shed() && c.rank(context.now) == before => {
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
        let slot = self.slots.vacant_entry();
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
            machine: Frontend::default(),
            request: None,
            passing: None,
            served: 0,
            unclassified: true,
            ended: false,
            unread: false,
            closing: None,
            active: context.now,
            last: false,
            unfinished: Some(context.now),
        });
        self.unclassified += 1;
        self.admitted += 1;
        Some(key)
    }
}
