//! The clients' listener and connections. Connections are accepted, served in turns, answered, and closed when they end, expire
//! or are shed.

mod accept;
mod answers;
mod client;
mod close_reason;
mod closing;
mod delivery;
mod expiry;
mod grants;
mod held_ids;
mod memory;
mod shed;
mod shutdown;
mod statement_admission;
#[cfg(test)]
mod tests;
mod turn;

use super::error::{EventLoopError, RegisteredSource};
use super::event_loop_context::EventLoopContext;
use super::registration;
use super::sources::Source;
use super::statement_payload::StatementPayload;
use crate::core::{AttemptId, ClientKey};
use crate::memory::{HeldBytes, MemoryBudget};
use birchreach::Micros;
use client::{Client, ClientSerial};
use close_reason::ClientCloseReason;
pub(super) use grants::WriteAdmission;
pub(super) use held_ids::IdHash;
use mio::net::TcpListener;
use mio::{Interest, Registry};
use slab::Slab;
use statement_admission::StatementAdmission;
use std::collections::VecDeque;
use std::fs::File;
use tracing::{debug, info};

/// The listener and the connections of all clients.
pub(super) struct Clients {
    /// `None` after the listener was passed to another process or closed.
    listener: Option<TcpListener>,
    connections: Slab<Client>,
    next_serial: ClientSerial,
    admission: StatementAdmission,
    max_clients: usize,
    /// Above this number of clients, idle ones are shed before the limit is reached. Otherwise clients that keep unused
    /// connections would leave none to others.
    early_shed_threshold: usize,
    /// Up to this many clients without a request do not count towards the limit.
    max_uncounted_clients: usize,
    clients_without_request: usize,
    /// Connections may be waiting in the listener's backlog.
    accept_pending: bool,
    /// Accepting is paused until `TimerEvent::RetryAccept` is due.
    accept_paused: bool,
    /// Accepts that failed with an error that passes by itself, since accepting last paused.
    failed_accepts: u32,
    /// The proxy is shutting down. Connections are closed once they are idle.
    shutting_down: bool,
    /// Another process takes over the clients. Each connection is closed after its next answer.
    handing_over: bool,
    /// No client is accepted until other proxies have sent their state, or the requests for it have failed.
    awaiting_peer_state: bool,
    awaiting_predecessor: bool,
    /// Clients whose next command begins after the next poll.
    held_until_poll: Vec<ClientKey>,
    /// Clients whose last turn reached its limits before all work was done.
    turn_incomplete: Vec<ClientKey>,
    /// Clients whose input waits for memory, the one that has waited longest first.
    awaiting_memory: VecDeque<ClientKey>,
    /// Attempts that can continue to read their streamed values, because all bytes that they have read were written to the
    /// clients' sockets.
    attempts_to_resume: Vec<AttemptId>,
    /// Clients that are closed once their output is delivered. A key may belong to another client by now.
    awaiting_delivery: Vec<ClientKey>,
    /// Closed when the system has no free descriptor, so that the next accept shows whether a client is waiting.
    reserve_descriptor: Option<File>,
}

/// Opens a descriptor that can be closed when the system has no other. Returns `None` if the system has none.
fn open_reserve_descriptor() -> Option<File> {
    File::open("/dev/null").ok()
}

/// Registers the clients' listener with the poll.
pub(super) fn register_listener(
    registry: &Registry,
    listener: &mut TcpListener,
) -> Result<(), EventLoopError> {
    let token = Source::ClientListener.token();
    let registered = registration::register_once(registry, listener, token, Interest::READABLE);
    let source = RegisteredSource::ClientListener;
    registered.map_err(|error| EventLoopError::Register { source, error })
}

impl Clients {
    /// Creates the owner of a listener that is registered. `max_clients` limits the connections that count as clients.
    pub(super) fn new(listener: TcpListener, max_clients: usize) -> Clients {
        Clients {
            listener: Some(listener),
            connections: Slab::new(),
            next_serial: ClientSerial::default(),
            admission: StatementAdmission::default(),
            max_clients,
            early_shed_threshold: shed::early_shed_threshold(max_clients),
            max_uncounted_clients: 0,
            clients_without_request: 0,
            accept_pending: false,
            accept_paused: false,
            failed_accepts: 0,
            shutting_down: false,
            handing_over: false,
            awaiting_peer_state: false,
            awaiting_predecessor: false,
            held_until_poll: Vec::new(),
            turn_incomplete: Vec::new(),
            awaiting_memory: VecDeque::new(),
            attempts_to_resume: Vec::new(),
            awaiting_delivery: Vec::new(),
            reserve_descriptor: open_reserve_descriptor(),
        }
    }

    /// Returns the number of connections, including those that do not count towards the limit.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes that the connections hold.
    pub(super) fn held_bytes(&self) -> HeldBytes {
        let mut held = HeldBytes::default();
        for (_, client) in &self.connections {
            held.input += client.protocol.input_bytes();
            held.output += client.protocol.outbox.held_bytes();
            held.statements += client.open_request.as_ref().map_or(0, |open| open.statement.text_bytes());
        }
        held
    }

    /// Returns whether no client is connected.
    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Sets whether another process takes over the clients. During a handover this process accepts no client and closes each
    /// connection after its next answer, so that the client reconnects to the other process.
    pub(super) fn set_handing_over(&mut self, handing_over: bool) {
        // The poll does not report the listener again for connections that arrived during the handover.
        self.accept_pending |= self.handing_over && !handing_over;
        self.handing_over = handing_over;
    }

    /// Sets whether the startup waits for other proxies' state. No client is accepted while it does.
    pub(super) fn set_awaiting_peer_state(&mut self, awaiting: bool) {
        self.awaiting_peer_state = awaiting;
    }

    /// Sets whether the predecessor has still to report what it knows. No client is accepted before.
    pub(super) fn set_awaiting_predecessor(&mut self, awaiting: bool) {
        self.awaiting_predecessor = awaiting;
    }

    /// Returns whether work is left that the poll will not report again.
    pub(super) fn has_pending_work(&self, memory: &MemoryBudget) -> bool {
        self.can_accept()
            || !self.held_until_poll.is_empty()
            || !self.turn_incomplete.is_empty()
            || self.can_continue_input(memory)
    }

    /// Must be called after each poll, before its events are handled: they tell which clients have gone. The commands of the others
    /// may begin.
    pub(super) fn poll_returned(&mut self) {
        for key in std::mem::take(&mut self.held_until_poll) {
            if let Some(client) = self.connections.get_mut(key.0) {
                client.commands_held = false;
                self.turn_incomplete.push(key);
            }
        }
    }

    /// Serves the clients whose last turn left work, then accepts waiting connections.
    pub(super) fn continue_pending_work(&mut self, context: &mut EventLoopContext) {
        for key in std::mem::take(&mut self.turn_incomplete) {
            if let Some(client) = self.connections.get_mut(key.0) {
                client.is_queued = false;
            }
            self.handle_ready(context, key);
        }
        self.continue_input(context);
        self.accept(context);
    }

    /// Serves a client for one turn: reads its input, runs its commands and writes its output, within the limits of a turn.
    pub(super) fn handle_ready(&mut self, context: &mut EventLoopContext, key: ClientKey) {
        if let Some(client) = self.connections.get_mut(key.0) {
            client.protocol.start_turn();
            self.process_client(context, key);
        }
    }

    /// Records that a client has closed its connection, as the poll reports. Some of its input may still be unread.
    pub(super) fn peer_closed(&mut self, key: ClientKey) {
        if let Some(client) = self.connections.get_mut(key.0) {
            client.peer_closed = true;
        }
    }

    /// Starts no request with this id until the time. A request with it may run at another process. Returns false if there is no
    /// space for the id.
    pub(super) fn hold_id(&mut self, id: IdHash, until: Micros) -> bool {
        self.admission.hold(id, until)
    }

    /// Returns the ids of requests that may run here, and until when at most.
    pub(super) fn ids_in_use(&self, now: Micros, longest: Micros) -> Vec<(IdHash, Micros)> {
        self.admission.ids_in_use(now, longest)
    }

    /// Closes the connection and logs why.
    fn close(&mut self, context: &mut EventLoopContext, key: ClientKey, reason: ClientCloseReason) {
        let mut client = self.connections.remove(key.0);
        let _ = context.poll.registry().deregister(&mut client.stream);
        client.input_memory.release_all(&mut context.memory);
        self.clients_without_request -= usize::from(client.awaits_first_request);
        let may_be_balancer = self.max_uncounted_clients > 0 && client.awaits_first_request;
        let (peer, answered, word) = (client.peer, client.answered_requests, reason.as_str());
        if may_be_balancer && reason.is_by_client() {
            // Balancers connect hundreds of times. At the `info` level their lines would use up the log's rate limit, and other
            // lines would be dropped.
            debug!(conn = "client", %peer, answered, reason = word);
        } else {
            info!(conn = "client", %peer, answered, reason = word);
        }
        if let Some(waiting) = client.waiting_write {
            self.admission.release(waiting.statement());
        }
        if let Some(open) = client.open_request {
            let may_run_until = context.core.client_disconnected(context.now, open.id);
            self.admission.release_after(&open.statement, may_run_until);
        }
    }
}
