//! The server for balancers' checks. It has descriptors of its own and runs first in each turn of the event loop, so
//! that checks are answered regardless of the number of clients. Inactive connections are closed to make room for
//! others.
//!
//! The server moves bytes between sockets and the protocols' state machines, and decides only which connections stay
//! open. The answers come from the monitor's verdict.

mod connection;
mod listeners;
mod serve;

use super::event_loop_context::EventLoopContext;
use super::ids::{CheckConnectionKey, CheckConnectionSerial};
use super::registration;
use super::sources::Source;
use super::timer_events::TimerEvent;
use crate::health::HealthObserver;
use crate::observe::Shared;
use birchreach::Micros;
use birchreach_options::HealthOptions;
pub(super) use connection::CheckProtocol;
use connection::{CheckCloseReason, CheckConnection, ProtocolState, listener_options};
use listeners::OpenListener;
pub(super) use listeners::OpenedListeners;
use mio::Interest;
use mio::net::TcpStream;
use serve::{AnswerSource, CheckProgress, agent_reply, serve};
use slab::Slab;
use tracing::{debug, info};

/// The most connections whose unfinished work is continued in one turn. The limit bounds the delay that a balancer with
/// thousands of requests causes for all other connections.
const MAX_CONTINUED_PER_TURN: usize = 16;

/// The listeners and connections for balancers' checks.
pub(super) struct HealthCheckServer {
    /// Holds the verdict. `None` while health reporting is off.
    pub observer: Option<Shared<HealthObserver>>,
    options: Option<HealthOptions>,
    listeners: Vec<OpenListener>,
    connections: Slab<CheckConnection>,
    /// The connections that have more work than one turn allows.
    unfinished: Vec<CheckConnectionKey>,
    last_serial: CheckConnectionSerial,
    /// No connection is accepted before this time, because another process answers until then.
    accept_start: Micros,
    /// Whether another process of this proxy may listen at the same addresses.
    shares_addresses: bool,
}

impl HealthCheckServer {
    /// Creates a server without listeners.
    pub(super) fn new(shares_addresses: bool) -> HealthCheckServer {
        HealthCheckServer {
            observer: None,
            options: None,
            listeners: Vec::new(),
            connections: Slab::new(),
            unfinished: Vec::new(),
            last_serial: CheckConnectionSerial::default(),
            accept_start: 0,
            shares_addresses,
        }
    }

    /// Whether work remains for which no socket will report an event.
    pub(super) fn has_pending_work(&self, now: Micros) -> bool {
        let may_accept = now >= self.accept_start;
        !self.unfinished.is_empty()
            || (may_accept && self.listeners.iter().any(|listener| listener.accept_pending))
    }

    /// Continues unfinished work and accepts connections.
    pub(super) fn continue_work(&mut self, context: &mut EventLoopContext) {
        let later = self.unfinished.split_off(self.unfinished.len().min(MAX_CONTINUED_PER_TURN));
        for key in std::mem::replace(&mut self.unfinished, later) {
            self.serve(context, key);
        }
        self.accept(context);
    }

    /// Serves a connection as far as its socket and the limits of one turn allow.
    pub(super) fn serve(&mut self, context: &mut EventLoopContext, key: CheckConnectionKey) {
        let source = AnswerSource { options: self.options.as_ref(), observer: self.observer.as_ref() };
        let Some(connection) = self.connections.get_mut(key.0) else { return };
        match serve(context, connection, source) {
            CheckProgress::Finished(reason) => self.close(context, key, reason),
            CheckProgress::WorkRemaining => self.unfinished.push(key),
            CheckProgress::WaitingForSocket => {}
        }
    }

    /// Answers an agent check that has sent no complete line in time. The bytes received so far are its query. An empty
    /// query is answered for the entire proxy.
    pub(super) fn query_timed_out(
        &mut self,
        context: &mut EventLoopContext,
        key: CheckConnectionKey,
        serial: CheckConnectionSerial,
    ) {
        let source = AnswerSource { options: self.options.as_ref(), observer: self.observer.as_ref() };
        let connection = self.connections.get_mut(key.0).filter(|connection| connection.serial == serial);
        let Some(connection) = connection else { return };
        if let ProtocolState::Agent { query_parser, reply: reply @ None } = &mut connection.state
            && let Some(query) = query_parser.input_ended()
        {
            *reply = Some(agent_reply(context, &query, source));
            self.serve(context, key);
        }
    }

    /// Closes connections that have been inactive for too long, pings idle connections that have watches, and marks all
    /// listeners to be tried again.
    pub(super) fn close_inactive(&mut self, context: &mut EventLoopContext) {
        self.listeners.iter_mut().for_each(|listener| listener.accept_pending = true);
        let Some(options) = &self.options else { return };
        let now = context.now;
        let mut pinged = Vec::new();
        for (key, connection) in &mut self.connections {
            if connection.ping_if_idle(now, options) {
                pinged.push(CheckConnectionKey(key));
            }
        }
        let inactive = self.connections.iter().filter_map(|(key, connection)| {
            Some((CheckConnectionKey(key), connection.inactivity_reason(now, options)?))
        });
        for (key, reason) in inactive.collect::<Vec<_>>() {
            self.close(context, key, reason);
        }
        for key in pinged {
            self.serve(context, key);
        }
    }

    /// Sends a changed verdict to the connections that have watches.
    pub(super) fn notify_watches(&mut self, context: &mut EventLoopContext) {
        let watching = self.connections.iter().filter(|(_, connection)| connection.has_watches());
        for key in watching.map(|(key, _)| CheckConnectionKey(key)).collect::<Vec<_>>() {
            self.serve(context, key);
        }
    }

    /// Adds an accepted connection and serves it. If the protocol has too many connections, another one is closed.
    fn add(&mut self, context: &mut EventLoopContext, mut stream: TcpStream, protocol: CheckProtocol) {
        let listener = self.options.as_ref().and_then(|options| listener_options(options, protocol));
        let Some(max_connections) = listener.map(|listener| listener.max_connections) else { return };
        self.make_room(context, protocol, max_connections);
        // If this fails, responses may be slower.
        let _ = stream.set_nodelay(true);
        let slot = self.connections.vacant_entry();
        let key = CheckConnectionKey(slot.key());
        let interest = Interest::READABLE | Interest::WRITABLE;
        if registration::register(context.poll.registry(), &mut stream, Source::Check(key).token(), interest)
            .is_err()
        {
            return;
        }
        self.last_serial = self.last_serial.next();
        slot.insert(CheckConnection::new(stream, protocol, self.last_serial, context.now));
        let agent = self.options.as_ref().and_then(|options| options.agent.as_ref());
        if let Some(agent) = agent.filter(|_| protocol == CheckProtocol::Agent) {
            let timeout = TimerEvent::CheckTimeout(key, self.last_serial);
            context.timers.set(context.now + agent.query_timeout, timeout);
        }
        // The first request may already have arrived.
        self.serve(context, key);
    }

    /// Closes the connection of this protocol that has been inactive longest, if the protocol has reached its limit.
    fn make_room(&mut self, context: &mut EventLoopContext, protocol: CheckProtocol, limit: usize) {
        let same_protocol =
            || self.connections.iter().filter(|(_, connection)| connection.protocol == protocol);
        if same_protocol().count() < limit {
            return;
        }
        let oldest = same_protocol().min_by_key(|(_, connection)| (connection.active_at, connection.serial));
        if let Some(key) = oldest.map(|(key, _)| CheckConnectionKey(key)) {
            self.close(context, key, CheckCloseReason::Shed);
        }
    }

    /// Closes a connection and logs the reason.
    fn close(&mut self, context: &mut EventLoopContext, key: CheckConnectionKey, reason: CheckCloseReason) {
        let mut connection = self.connections.remove(key.0);
        // Fails only if the socket is not registered, which makes no difference here.
        let _ = context.poll.registry().deregister(&mut connection.stream);
        let (kind, expected, reason) = (connection.protocol.as_str(), reason.is_expected(), reason.as_str());
        if expected {
            debug!(conn = "check", kind, reason);
        } else {
            info!(conn = "check", kind, reason);
        }
    }
}
