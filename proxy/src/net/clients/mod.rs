//! The clients' listener and connections: accepted, served in turns, answered, and closed when they end, expire or are shed.

mod accept;
mod answers;
mod client;
mod close_reason;
mod expiry;
mod shed;
mod shutdown;
mod statement_admission;
mod turn;

use super::error::{EventLoopError, RegisteredSource};
use super::event_loop_context::EventLoopContext;
use super::sources::Source;
use crate::core::{AttemptId, ClientKey};
use client::{Client, ClientSerial};
use close_reason::ClientCloseReason;
use mio::net::TcpListener;
use mio::{Interest, Registry};
use slab::Slab;
use statement_admission::StatementAdmission;
use std::fs::File;
use tracing::{debug, info};

/// The listener and all clients.
pub(super) struct Clients {
    /// Until it is passed to another process, or closed.
    listener: Option<TcpListener>,
    connections: Slab<Client>,
    /// The number of the next client that is accepted.
    next_serial: ClientSerial,
    admission: StatementAdmission,
    max_clients: usize,
    /// Above this number idle clients are shed before the limit is reached: clients that keep unused connections would leave none
    /// to others.
    early_shed_threshold: usize,
    /// Up to this number, clients that have made no request do not count towards the limit.
    unclassified_allowance: usize,
    /// How many clients have made no request.
    unclassified_count: usize,
    /// Connections may wait to be accepted.
    accept_pending: bool,
    /// Until a timer is due.
    accept_paused: bool,
    /// The proxy is stopping: connections are closed once they are idle.
    shutting_down: bool,
    /// Another process takes the clients: each connection is closed with its next answer.
    handing_over: bool,
    /// No client is accepted until other proxies have sent their state, or the requests for it have failed.
    awaiting_peer_state: bool,
    /// Clients with more input than one turn takes.
    turn_incomplete: Vec<ClientKey>,
    /// Streamed values of which the clients have taken all that was received.
    attempts_to_resume: Vec<AttemptId>,
    /// Closed when the system has no free descriptor, so that one more accept tells whether a client waits.
    reserve_descriptor: Option<File>,
}

/// A descriptor that can be closed when the system has no other.
fn open_reserve_descriptor() -> Option<File> {
    File::open("/dev/null").ok()
}

impl Clients {
    /// Registers the listener. At most `max_clients` are accepted.
    pub(super) fn new(
        registry: &Registry,
        mut listener: TcpListener,
        max_clients: usize,
    ) -> Result<Clients, EventLoopError> {
        let registered = registry.register(&mut listener, Source::ClientListener.token(), Interest::READABLE);
        let source = RegisteredSource::ClientListener;
        registered.map_err(|error| EventLoopError::Register { source, error })?;
        Ok(Clients {
            listener: Some(listener),
            connections: Slab::new(),
            next_serial: ClientSerial::default(),
            admission: StatementAdmission::default(),
            max_clients,
            early_shed_threshold: shed::early_shed_threshold(max_clients),
            unclassified_allowance: 0,
            unclassified_count: 0,
            accept_pending: false,
            accept_paused: false,
            shutting_down: false,
            handing_over: false,
            awaiting_peer_state: false,
            turn_incomplete: Vec::new(),
            attempts_to_resume: Vec::new(),
            reserve_descriptor: open_reserve_descriptor(),
        })
    }

    /// How many clients there are.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// There are no clients.
    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Another process takes the clients, or no longer does. While it does, this one accepts no client, and closes each connection
    /// after its next answer, so that the client connects there.
    pub(super) fn set_handing_over(&mut self, handing_over: bool) {
        // The poll does not report the listener again for connections that arrived in the meantime.
        self.accept_pending |= self.handing_over && !handing_over;
        self.handing_over = handing_over;
    }

    /// No client is accepted while the start waits for other proxies' state.
    pub(super) fn set_awaiting_peer_state(&mut self, awaiting: bool) {
        self.awaiting_peer_state = awaiting;
    }

    /// Whether work is left that the poll will not report.
    pub(super) fn has_pending_work(&self) -> bool {
        self.can_accept() || !self.turn_incomplete.is_empty()
    }

    /// Continues where the last turn stopped.
    pub(super) fn continue_pending_work(&mut self, context: &mut EventLoopContext) {
        for key in std::mem::take(&mut self.turn_incomplete) {
            self.handle_ready(context, key);
        }
        self.accept(context);
    }

    /// Serves a client for one turn: reads its input, runs its commands and writes its output, within the limits of a turn.
    pub(super) fn handle_ready(&mut self, context: &mut EventLoopContext, key: ClientKey) {
        if let Some(client) = self.connections.get_mut(key.0) {
            client.protocol.start_turn();
            self.process_client(context, key);
        }
    }

    /// The system reports that a client has closed its connection; input may still be unread.
    pub(super) fn peer_closed(&mut self, key: ClientKey) {
        if let Some(client) = self.connections.get_mut(key.0) {
            client.peer_closed = true;
        }
    }

    /// Closes the connection and logs why.
    fn close(&mut self, context: &mut EventLoopContext, key: ClientKey, reason: ClientCloseReason) {
        let mut client = self.connections.remove(key.0);
        let _ = context.poll.registry().deregister(&mut client.stream);
        self.unclassified_count -= usize::from(client.unclassified);
        let may_be_balancer = self.unclassified_allowance > 0 && client.unclassified;
        let (peer, answered, word) = (client.peer, client.answered_requests, reason.as_str());
        if may_be_balancer && reason.is_by_client() {
            // Balancers connect hundreds of times: the rate limit of the log must not drop other lines because of theirs.
            debug!(conn = "client", %peer, answered, reason = word);
        } else {
            info!(conn = "client", %peer, answered, reason = word);
        }
        if let Some(open) = client.open_request {
            self.admission.release(&open.statement);
            context.core.client_disconnected(context.now, open.id);
        }
    }
}
