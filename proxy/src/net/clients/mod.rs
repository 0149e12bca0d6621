//! The listener and the clients' connections.

mod admission;
mod client;
mod expiry;
mod input;

use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use crate::core::{Answer, AttemptId};
use birchreach::RequestId;
use client::Client;
use input::Admission;
use mio::net::TcpListener;
use mio::{Interest, Registry};
use slab::Slab;
use std::collections::HashSet;
use std::fs::File;
use tracing::{debug, info};

pub struct Clients {
    listener: Option<TcpListener>,
    slots: Slab<Client>,
    /// So many have been let in so far.
    admitted: u64,
    admission: Admission,
    most: usize,
    /// Beyond so many, idle ones make room before all places are taken: clients that keep connections they do
    /// not use have none left to open.
    many: usize,
    /// So many unclassified hold no place of a client's; and how many there are.
    unclassified_allowance: usize,
    unclassified: usize,
    /// More may wait to be accepted.
    waiting: bool,
    retry_set: bool,
    /// Connections close once they are idle: the proxy is stopping.
    leaving: bool,
    /// Another process takes the clients: each connection closes with its next answer.
    handing: bool,
    /// The start waits for others to tell what they know.
    learning: bool,
    /// Clients with more input than one turn takes.
    unread: Vec<usize>,
    /// Long values of which their clients have taken what there was.
    wants_data: Vec<AttemptId>,
    /// A descriptor kept in hand: when the system has none to give, it lets one more client in, and with
    /// that tells whether any waits.
    spare: Option<File>,
}

fn spare() -> Option<File> {
    File::open("/dev/null").ok()
}

impl Clients {
    pub fn new(registry: &Registry, mut listener: TcpListener, most: usize) -> Result<Clients, String> {
        let registered = registry.register(&mut listener, Source::Listener.token(), Interest::READABLE);
        registered.map_err(|e| format!("watching the listener: {e}"))?;
        Ok(Clients {
            listener: Some(listener),
            slots: Slab::new(),
            admitted: 0,
            admission: Admission { ids: HashSet::new() },
            most,
            many: most * 2 / 5,
            unclassified_allowance: 0,
            unclassified: 0,
            waiting: false,
            retry_set: false,
            leaving: false,
            handing: false,
            learning: false,
            unread: Vec::new(),
            wants_data: Vec::new(),
            spare: spare(),
        })
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Another process takes the clients, or takes them no more: this one accepts nobody meanwhile, and sends each
    /// client there behind its next answer.
    pub fn give_way(&mut self, give: bool) {
        // Who came meanwhile and was not taken is told of no second time.
        self.waiting |= self.handing && !give;
        self.handing = give;
    }

    /// Nobody is accepted while the start waits.
    pub fn learning(&mut self, learning: bool) {
        self.learning = learning;
    }

    pub fn accept_ready(&mut self) {
        self.waiting = true;
    }

    /// Something is left to do without any socket telling.
    pub fn pressing(&self) -> bool {
        self.can_accept() || !self.unread.is_empty()
    }

    /// Goes on where the last turn stopped.
    pub fn go_on(&mut self, context: &mut EventLoopContext) {
        for key in std::mem::take(&mut self.unread) {
            self.ready(context, key);
        }
        self.accept(context);
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The connection's turn: it is read, run and written as far as that takes it.
    pub fn ready(&mut self, context: &mut EventLoopContext, key: usize) {
        if let Some(c) = self.slots.get_mut(key) {
            c.machine.turn();
            self.go(context, key);
        }
    }

    /// The system tells that a client has closed its connection, whatever input may wait before that end.
    pub fn ended(&mut self, key: usize) {
        if let Some(c) = self.slots.get_mut(key) {
            c.ended = true;
        }
    }

    /// A long value that has gone on as far as its client has taken it.
    pub fn wants_data(&mut self) -> Option<AttemptId> {
        self.wants_data.pop()
    }

    fn holder(&mut self, key: usize, request: RequestId) -> Option<&mut Client> {
        self.slots.get_mut(key).filter(|c| c.request.as_ref().is_some_and(|(id, _)| *id == request))
    }

    /// A long value begins.
    pub fn begin(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        request: RequestId,
        attempt: AttemptId,
        length: usize,
    ) {
        if let Some(c) = self.holder(key, request) {
            c.passing = Some((attempt, true));
            c.machine.begin(true, length);
            self.go(context, key);
        }
    }

    /// More of it has come.
    pub fn piece(&mut self, context: &mut EventLoopContext, key: usize, request: RequestId, bytes: &[u8]) {
        let Some(c) = self.holder(key, request) else { return };
        if let Some((_, fed)) = &mut c.passing {
            *fed = true;
        }
        c.machine.out.raw(bytes);
        self.go(context, key);
    }

    /// The rest of it will not come: the client is to see that it is not whole.
    pub fn broken(&mut self, context: &mut EventLoopContext, key: usize, request: RequestId) {
        if self.holder(key, request).is_some() {
            self.close(context, key, "cut-short");
        }
    }

    /// The answer to a client's request.
    pub fn answer(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        request: RequestId,
        answer: &Answer,
    ) {
        let Some(c) = self.slots.get_mut(key) else { return };
        let Some((_, work)) = c.request.take_if(|(id, _)| *id == request) else { return };
        self.admission.ids.remove(work.id());
        c.served += 1;
        c.last = self.handing;
        c.passing = None;
        c.machine.answer(answer);
        self.go(context, key);
    }

    /// Closes the connection and logs why.
    fn close(&mut self, context: &mut EventLoopContext, key: usize, reason: &str) {
        let mut c = self.slots.remove(key);
        let _ = context.registry.deregister(&mut c.stream);
        self.unclassified -= usize::from(c.unclassified);
        let looked = self.unclassified_allowance > 0
            && c.unclassified
            && matches!(reason, "terminate" | "client-closed" | "client-reset");
        if looked {
            // Balancers look in by the hundred; other lines are not to be left out for theirs.
            debug!(conn = "client", peer = %c.peer, answered = c.served, reason);
        } else {
            info!(conn = "client", peer = %c.peer, answered = c.served, reason);
        }
        if let Some((request, work)) = c.request {
            self.admission.ids.remove(work.id());
            context.core.client_disconnected(context.now, request);
        }
    }
}
