//! The operators' listener and connections. Descriptors are reserved for them, and the oldest connection is closed when another one
//! exceeds the limit.

use super::error::{EventLoopError, ListenError, ListenPurpose, RegisteredSource};
use super::event_loop_context::EventLoopContext;
use super::ids::AdminKey;
use super::sources::Source;
use super::stream;
use crate::admin_protocol::{AdminCall, AdminProtocol, AdminReply};
use birchreach::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use slab::Slab;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use tracing::info;

/// The limit on open connections; one more, and the oldest is closed.
pub(super) const MAX_CONNECTIONS: usize = 8;
/// A connection that has not sent a call after this time is closed.
const CALL_TIMEOUT_MICROS: Micros = 5_000_000;
/// The most connections that are accepted in one turn of the loop.
const ACCEPTS_PER_TURN: usize = 16;
/// The most that is read from one connection in a turn.
const READ_BYTES_PER_TURN: usize = 64 << 10;

/// What the subsystems report to operators; nothing of those that are off.
#[derive(Default)]
pub(super) struct AdminReports {
    /// The members of the fleet.
    pub fleet: Option<String>,
    /// Hot keys.
    pub hot: Option<String>,
    /// The comparison of a group that is split with its children.
    pub split: Option<String>,
    /// Figures in the text form of Prometheus.
    pub metrics: Option<String>,
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdminCloseReason {
    /// It was closed for a newer one.
    Shed,
    /// It was reset.
    Reset,
    /// The operator closed it without a call.
    Closed,
    /// Its reply is written.
    Answered,
    /// It sent no call in time.
    Unresponsive,
}

impl AdminCloseReason {
    /// The word for the log.
    fn as_str(self) -> &'static str {
        match self {
            AdminCloseReason::Shed => "shed",
            AdminCloseReason::Reset => "reset",
            AdminCloseReason::Closed => "closed",
            AdminCloseReason::Answered => "answered",
            AdminCloseReason::Unresponsive => "unresponsive",
        }
    }
}

/// One operator's connection.
struct Connection {
    stream: TcpStream,
    protocol: AdminProtocol,
    accepted_at: Micros,
}

/// The operators' listener and connections.
pub(super) struct AdminListener {
    listener: Option<TcpListener>,
    connections: Slab<Connection>,
    /// Connections may wait to be accepted.
    accept_pending: bool,
}

impl AdminListener {
    /// Without an address there is no listener.
    pub(super) fn new(
        registry: &Registry,
        address: Option<SocketAddr>,
    ) -> Result<AdminListener, EventLoopError> {
        let mut admin = AdminListener { listener: None, connections: Slab::new(), accept_pending: false };
        if let Some(address) = address {
            let purpose = ListenPurpose::Operators;
            let mut listener =
                TcpListener::bind(address).map_err(|error| ListenError { purpose, address, error })?;
            let registered =
                registry.register(&mut listener, Source::AdminListener.token(), Interest::READABLE);
            let source = RegisteredSource::AdminListener(address);
            registered.map_err(|error| EventLoopError::Register { source, error })?;
            admin.listener = Some(listener);
        }
        Ok(admin)
    }

    /// The address that operators connect to, if there is one.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// The listener is ready: connections wait to be accepted.
    pub(super) fn accept_ready(&mut self) {
        self.accept_pending = true;
    }

    /// Whether more may wait than one turn accepts.
    pub(super) fn has_pending_work(&self) -> bool {
        self.accept_pending
    }

    /// Accepts connections that wait.
    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..ACCEPTS_PER_TURN {
            let Some(listener) = self.listener.as_ref().filter(|_| self.accept_pending) else { return };
            match listener.accept() {
                Ok((stream, _)) => self.add(context, stream),
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // The poll reports the listener again with the next connection, and the sweep tries it too.
                Err(_) => self.accept_pending = false,
            }
        }
    }

    /// Registers an accepted connection, and closes the oldest one if there are too many.
    fn add(&mut self, context: &mut EventLoopContext, mut stream: TcpStream) {
        if self.connections.len() >= MAX_CONNECTIONS {
            let oldest = self.connections.iter().min_by_key(|(_, connection)| connection.accepted_at);
            if let Some((slot, _)) = oldest {
                self.close(context, AdminKey(slot), AdminCloseReason::Shed);
            }
        }
        let slot = self.connections.vacant_entry();
        let token = Source::Admin(AdminKey(slot.key())).token();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if context.poll.registry().register(&mut stream, token, interest).is_ok() {
            slot.insert(Connection { stream, protocol: AdminProtocol::default(), accepted_at: context.now });
        }
    }

    /// Reads a connection. The caller answers a returned call with [`AdminListener::answer`].
    pub(super) fn handle_ready(
        &mut self,
        context: &mut EventLoopContext,
        key: AdminKey,
    ) -> Option<AdminCall> {
        let connection = self.connections.get_mut(key.0)?;
        let protocol = &mut connection.protocol;
        let mut call = None;
        let mut read_bytes = 0;
        let drained = stream::read(&mut connection.stream, &mut context.scratch, |bytes| {
            read_bytes += bytes.len();
            call = call.or_else(|| protocol.feed(bytes));
            read_bytes < READ_BYTES_PER_TURN
        });
        if drained == Err(stream::StreamEnd::Reset) {
            self.close(context, key, AdminCloseReason::Reset);
            return None;
        }
        if drained.is_err() && call.is_none() {
            call = connection.protocol.input_ended();
            if call.is_none() && !connection.protocol.is_answered() {
                self.close(context, key, AdminCloseReason::Closed);
                return None;
            }
        }
        if call.is_none() {
            self.write(context, key);
        }
        call
    }

    /// Answers the connection's call.
    pub(super) fn answer(&mut self, context: &mut EventLoopContext, key: AdminKey, reply: &AdminReply) {
        if let Some(connection) = self.connections.get_mut(key.0) {
            connection.protocol.answer(reply);
            self.write(context, key);
        }
    }

    /// Writes the reply, if there is one, and closes the connection once all of it is written.
    fn write(&mut self, context: &mut EventLoopContext, key: AdminKey) {
        let Some(connection) = self.connections.get_mut(key.0) else { return };
        if !connection.protocol.is_answered() {
            return;
        }
        match stream::write(&mut connection.stream, &mut connection.protocol.outbox) {
            Ok(false) => {}
            Ok(true) => {
                let _ = connection.stream.shutdown(Shutdown::Write);
                self.close(context, key, AdminCloseReason::Answered);
            }
            Err(_) => self.close(context, key, AdminCloseReason::Reset),
        }
    }

    /// Closes connections that sent no call in time.
    pub(super) fn sweep(&mut self, context: &mut EventLoopContext) {
        self.accept_pending = self.listener.is_some();
        let timed_out = |connection: &Connection| context.now - connection.accepted_at >= CALL_TIMEOUT_MICROS;
        let unresponsive = self.connections.iter().filter(|(_, connection)| timed_out(connection));
        let keys: Vec<AdminKey> = unresponsive.map(|(slot, _)| AdminKey(slot)).collect();
        for key in keys {
            self.close(context, key, AdminCloseReason::Unresponsive);
        }
    }

    /// Closes the connection and logs why.
    fn close(&mut self, context: &mut EventLoopContext, key: AdminKey, reason: AdminCloseReason) {
        let mut connection = self.connections.remove(key.0);
        let _ = context.poll.registry().deregister(&mut connection.stream);
        info!(conn = "operator", reason = reason.as_str());
    }
}
