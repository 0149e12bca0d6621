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
    connections: Slab<Client>,
    /// So many have been let in so far.
    admitted: u64,
    admission: Admission,
    max_clients: usize,
    /// Beyond so many, idle ones make room before all places are taken: clients that keep connections they do
    /// not use have none left to open.
    early_shed_threshold: usize,
    /// So many unclassified hold no place of a client's; and how many there are.
    unclassified_allowance: usize,
    unclassified_count: usize,
    /// More may wait to be accepted.
    accept_pending: bool,
    accept_paused: bool,
    /// Connections close once they are idle: the proxy is stopping.
    shutting_down: bool,
    /// Another process takes the clients: each connection closes with its next answer.
    handing_over: bool,
    /// The start waits for others to tell what they know.
    awaiting_peer_state: bool,
    /// Clients with more input than one turn takes.
    turn_incomplete: Vec<usize>,
    /// Long values of which their clients have taken what there was.
    ready_for_more: Vec<AttemptId>,
    /// A descriptor kept in hand: when the system has none to give, it lets one more client in, and with
    /// that tells whether any waits.
    spare_descriptor: Option<File>,
}

fn open_spare_descriptor() -> Option<File> {
    File::open("/dev/null").ok()
}

impl Clients {
    pub fn new(registry: &Registry, mut listener: TcpListener, most: usize) -> Result<Clients, String> {
        let registered = registry.register(&mut listener, Source::Listener.token(), Interest::READABLE);
        registered.map_err(|e| format!("watching the listener: {e}"))?;
        Ok(Clients {
            listener: Some(listener),
            connections: Slab::new(),
            admitted: 0,
            admission: Admission { open_request_ids: HashSet::new() },
            max_clients: most,
            early_shed_threshold: most * 2 / 5,
            unclassified_allowance: 0,
            unclassified_count: 0,
            accept_pending: false,
            accept_paused: false,
            shutting_down: false,
            handing_over: false,
            awaiting_peer_state: false,
            turn_incomplete: Vec::new(),
            ready_for_more: Vec::new(),
            spare_descriptor: open_spare_descriptor(),
        })
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Another process takes the clients, or takes them no more: this one accepts nobody meanwhile, and sends each
    /// client there behind its next answer.
    pub fn set_handing_over(&mut self, give: bool) {
        // Who came meanwhile and was not taken is told of no second time.
        self.accept_pending |= self.handing_over && !give;
        self.handing_over = give;
    }

    /// Nobody is accepted while the start waits.
    pub fn set_awaiting_peer_state(&mut self, learning: bool) {
        self.awaiting_peer_state = learning;
    }

    pub fn listener_ready(&mut self) {
        self.accept_pending = true;
    }

    /// Something is left to do without any socket telling.
    pub fn has_pending_work(&self) -> bool {
        self.can_accept() || !self.turn_incomplete.is_empty()
    }

    /// Goes on where the last turn stopped.
    pub fn continue_pending_work(&mut self, context: &mut EventLoopContext) {
        for key in std::mem::take(&mut self.turn_incomplete) {
            self.handle_ready(context, key);
        }
        self.accept(context);
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The connection's turn: it is read, run and written as far as that takes it.
    pub fn handle_ready(&mut self, context: &mut EventLoopContext, key: usize) {
        if let Some(c) = self.connections.get_mut(key) {
            c.protocol.start_turn();
            self.process_client(context, key);
        }
    }

    /// The system tells that a client has closed its connection, whatever input may wait before that end.
    pub fn peer_closed(&mut self, key: usize) {
        if let Some(c) = self.connections.get_mut(key) {
            c.peer_closed = true;
        }
    }

    /// A long value that has gone on as far as its client has taken it.
    pub fn next_ready_for_more(&mut self) -> Option<AttemptId> {
        self.ready_for_more.pop()
    }

    fn client_with_request(&mut self, key: usize, request: RequestId) -> Option<&mut Client> {
        self.connections
            .get_mut(key)
            .filter(|c| c.open_request.as_ref().is_some_and(|(id, _)| *id == request))
    }

    /// A long value begins.
    pub fn start_value(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        request: RequestId,
        attempt: AttemptId,
        length: usize,
    ) {
        if let Some(c) = self.client_with_request(key, request) {
            c.streaming = Some((attempt, true));
            c.protocol.start_value(true, length);
            self.process_client(context, key);
        }
    }

    /// More of it has come.
    pub fn send_value_chunk(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        request: RequestId,
        bytes: &[u8],
    ) {
        let Some(c) = self.client_with_request(key, request) else { return };
        if let Some((_, fed)) = &mut c.streaming {
            *fed = true;
        }
        c.protocol.out.raw(bytes);
        self.process_client(context, key);
    }

    /// The rest of it will not come: the client is to see that it is not whole.
    pub fn abort_value(&mut self, context: &mut EventLoopContext, key: usize, request: RequestId) {
        if self.client_with_request(key, request).is_some() {
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
        let Some(c) = self.connections.get_mut(key) else { return };
        let Some((_, work)) = c.open_request.take_if(|(id, _)| *id == request) else { return };
        self.admission.open_request_ids.remove(work.id());
        c.answered_requests += 1;
        c.close_when_idle = self.handing_over;
        c.streaming = None;
        c.protocol.answer(answer);
        self.process_client(context, key);
    }

    /// Closes the connection and logs why.
    fn close(&mut self, context: &mut EventLoopContext, key: usize, reason: &str) {
        let mut c = self.connections.remove(key);
        let _ = context.registry.deregister(&mut c.stream);
        self.unclassified_count -= usize::from(c.unclassified);
        let looked = self.unclassified_allowance > 0
            && c.unclassified
            && matches!(reason, "terminate" | "client-closed" | "client-reset");
        if looked {
            // Balancers look in by the hundred; other lines are not to be left out for theirs.
            debug!(conn = "client", peer = %c.peer, answered = c.answered_requests, reason);
        } else {
            info!(conn = "client", peer = %c.peer, answered = c.answered_requests, reason);
        }
        if let Some((request, work)) = c.open_request {
            self.admission.open_request_ids.remove(work.id());
            context.core.client_disconnected(context.now, request);
        }
    }
}
