//! The listener for operators and their connections. File descriptors are reserved for them. A new connection above the
//! limit closes the oldest one.

use super::error::{EventLoopError, ListenError, ListenPurpose, RegisteredSource};
use super::event_loop_context::EventLoopContext;
use super::ids::AdminKey;
use super::registration;
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

/// The maximum number of open connections. Accepting another connection closes the oldest one.
pub(super) const MAX_CONNECTIONS: usize = 8;
/// Connections that have not sent a call within this time are closed.
const CALL_TIMEOUT_MICROS: Micros = 5_000_000;
/// The maximum number of connections that are accepted in one turn of the loop.
const ACCEPTS_PER_TURN: usize = 16;
/// The maximum number of bytes that are read from one connection in one turn of the loop.
const READ_BYTES_PER_TURN: usize = 64 << 10;

/// The reports of the subsystems to operators. The report of a disabled subsystem is `None`.
#[derive(Default)]
pub(super) struct AdminReports {
    /// Lists the members of the fleet.
    pub fleet: Option<String>,
    /// Lists the hot keys and the state of the background scheduler.
    pub hot: Option<String>,
    /// Describes the comparison of a group that is being split with its child groups.
    pub split: Option<String>,
    /// Contains the metrics in the text format of Prometheus.
    pub metrics: Option<String>,
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdminCloseReason {
    /// The connection was closed to make room for a newer one.
    Shed,
    /// The connection was reset, or it failed in another way.
    Reset,
    /// The operator closed the connection without a call.
    Closed,
    /// The complete reply was written.
    Answered,
    /// The operator sent no call within the time limit.
    Unresponsive,
}

impl AdminCloseReason {
    /// Returns the word that stands for the reason in the log.
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

struct Connection {
    stream: TcpStream,
    protocol: AdminProtocol,
    accepted_at: Micros,
}

/// The listener for operators and their connections.
pub(super) struct AdminListener {
    /// `None` if the configuration has no address for operators.
    listener: Option<TcpListener>,
    connections: Slab<Connection>,
    /// Connections may be waiting in the listener's backlog.
    accept_pending: bool,
}

impl AdminListener {
    /// Opens the listener and registers it with the poll. Opens none if `address` is `None`.
    pub(super) fn new(
        registry: &Registry,
        address: Option<SocketAddr>,
    ) -> Result<AdminListener, EventLoopError> {
        let mut admin = AdminListener { listener: None, connections: Slab::new(), accept_pending: false };
        if let Some(address) = address {
            let purpose = ListenPurpose::Operators;
            let mut listener =
                TcpListener::bind(address).map_err(|error| ListenError { purpose, address, error })?;
            let token = Source::AdminListener.token();
            let registered = registration::register(registry, &mut listener, token, Interest::READABLE);
            let source = RegisteredSource::AdminListener(address);
            registered.map_err(|error| EventLoopError::Register { source, error })?;
            admin.listener = Some(listener);
        }
        Ok(admin)
    }

    /// Returns the address that operators connect to, or `None` if there is no listener.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Records that the poll reported the listener as ready.
    pub(super) fn accept_ready(&mut self) {
        self.accept_pending = true;
    }

    /// Returns whether more connections may be waiting than one turn accepts.
    pub(super) fn has_pending_work(&self) -> bool {
        self.accept_pending
    }

    /// Accepts waiting connections, up to the limit of one turn.
    pub(super) fn accept(&mut self, context: &mut EventLoopContext) {
        for _ in 0..ACCEPTS_PER_TURN {
            let Some(listener) = self.listener.as_ref().filter(|_| self.accept_pending) else { return };
            match listener.accept() {
                Ok((stream, _)) => self.register_connection(context, stream),
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // The poll reports the listener again with the next connection. `close_unresponsive` also
                // makes the loop try to accept.
                Err(_) => self.accept_pending = false,
            }
        }
    }

    /// Registers an accepted connection with the poll. Closes the oldest connection first if the limit is reached.
    fn register_connection(&mut self, context: &mut EventLoopContext, mut stream: TcpStream) {
        if self.connections.len() >= MAX_CONNECTIONS {
            let oldest = self.connections.iter().min_by_key(|(_, connection)| connection.accepted_at);
            if let Some((slot, _)) = oldest {
                self.close(context, AdminKey(slot), AdminCloseReason::Shed);
            }
        }
        let slot = self.connections.vacant_entry();
        let token = Source::Admin(AdminKey(slot.key())).token();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if registration::register(context.poll.registry(), &mut stream, token, interest).is_ok() {
            slot.insert(Connection { stream, protocol: AdminProtocol::default(), accepted_at: context.now });
        }
    }

    /// Reads a connection that is ready. The caller must answer a returned call with [`AdminListener::answer`].
    pub(super) fn handle_ready(
        &mut self,
        context: &mut EventLoopContext,
        key: AdminKey,
    ) -> Option<AdminCall> {
        let connection = self.connections.get_mut(key.0)?;
        let protocol = &mut connection.protocol;
        let mut call = None;
        let mut read_bytes = 0;
        let read_result = stream::read(&mut connection.stream, &mut context.scratch, |bytes| {
            read_bytes += bytes.len();
            call = call.or_else(|| protocol.feed(bytes));
            read_bytes < READ_BYTES_PER_TURN
        });
        if read_result == Err(stream::StreamEnd::Reset) {
            self.close(context, key, AdminCloseReason::Reset);
            return None;
        }
        if read_result.is_err() && call.is_none() {
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

    /// Sends the reply to the call of this connection. Does nothing if the connection has been closed.
    pub(super) fn answer(&mut self, context: &mut EventLoopContext, key: AdminKey, reply: &AdminReply) {
        if let Some(connection) = self.connections.get_mut(key.0) {
            connection.protocol.answer(reply);
            self.write(context, key);
        }
    }

    /// Writes the reply, if there is one, and closes the connection after the last byte.
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

    /// Closes connections that sent no call within the time limit, and makes the next turn try to accept.
    pub(super) fn close_unresponsive(&mut self, context: &mut EventLoopContext) {
        self.accept_pending = self.listener.is_some();
        let timed_out = |connection: &Connection| context.now - connection.accepted_at >= CALL_TIMEOUT_MICROS;
        let unresponsive = self.connections.iter().filter(|(_, connection)| timed_out(connection));
        let keys: Vec<AdminKey> = unresponsive.map(|(slot, _)| AdminKey(slot)).collect();
        for key in keys {
            self.close(context, key, AdminCloseReason::Unresponsive);
        }
    }

    /// Closes the connection and logs the reason.
    fn close(&mut self, context: &mut EventLoopContext, key: AdminKey, reason: AdminCloseReason) {
        let mut connection = self.connections.remove(key.0);
        let _ = context.poll.registry().deregister(&mut connection.stream);
        info!(conn = "operator", reason = reason.as_str());
    }
}
