//! Opens connections to databases, within the limit on their number.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::ConnectionKey;
use super::super::registration;
use super::super::sources::Source;
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::Connection;
use crate::log::Quoted;
use crate::pg::backend::Backend;
use crate::reply::Reply;
use crate::system_error::SystemErrorClass;
use birchreach::{AttemptOutcome, ServerId};
use mio::Interest;
use mio::net::TcpStream;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use tracing::info;

/// How often a connect is tried before the attempt counts as not sent.
const MAX_CONNECT_TRIES: u32 = 16;

/// Why no connection could be opened. No query was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OpenError {
    /// The endpoint list has no address for the server.
    NoAddress,
    /// No process listens at the server's address.
    Refused,
    /// The limit on connections is reached, and no connection is idle.
    LimitReached,
    /// The system could not provide or register a socket. This is not a fault of the server.
    NoSocket,
}

impl OpenError {
    /// Returns the result for the task that needed the connection.
    pub(super) fn reply(self) -> Reply {
        match self {
            OpenError::NoAddress => Reply::with_outcome(AttemptOutcome::ConnectFailed),
            OpenError::Refused => Reply::connection_refused(),
            OpenError::LimitReached | OpenError::NoSocket => Reply::with_outcome(AttemptOutcome::NotSent),
        }
    }
}

/// Logs a connection that could not be opened.
fn log_open_failure(context: &EventLoopContext, server: ServerId, reason: DatabaseCloseReason, error: Error) {
    let server = context.core.server_name(server);
    let reason = reason.as_str();
    info!(conn = "database", server, state = "opening", reason, error = %Quoted(error));
}

/// Starts a TCP connect. Repeats it at once if the error passes by itself.
fn connect_repeatedly(address: SocketAddr) -> Result<TcpStream, Error> {
    let mut tries = 1;
    loop {
        match TcpStream::connect(address) {
            Err(error) if tries < MAX_CONNECT_TRIES && is_disturbance(&error) => tries += 1,
            result => return result,
        }
    }
}

/// Returns whether an error may be gone when the connect is repeated, without anything else being done.
fn is_disturbance(error: &Error) -> bool {
    matches!(SystemErrorClass::of(error), SystemErrorClass::Interrupted | SystemErrorClass::Passing)
}

impl Pool {
    /// Starts to open a connection and registers it with the poll. Evicts an idle connection if the limit is reached.
    pub(super) fn open_connection(
        &mut self,
        context: &mut EventLoopContext,
        server: ServerId,
    ) -> Result<ConnectionKey, OpenError> {
        let address = context.core.address(server).ok_or(OpenError::NoAddress)?;
        if self.connections.len() >= self.max_connections && !self.evict_oldest_idle(context) {
            return Err(OpenError::LimitReached);
        }
        let mut stream = self.connect(context, server, address)?;
        let key = self.connections.next_key();
        let token = Source::Database(key).token();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = registration::register(context.poll.registry(), &mut stream, token, interest) {
            log_open_failure(context, server, DatabaseCloseReason::NoSocket, error);
            return Err(OpenError::NoSocket);
        }
        self.last_connection = self.last_connection.next();
        let protocol = Backend::new(self.load_report_format.clone());
        let connection =
            Connection::new(stream, protocol, server, address, self.last_connection, context.now);
        Ok(self.connections.insert(connection))
    }

    /// Starts a TCP connect without waiting for its result. If no descriptor is free, closes an idle connection for the next
    /// attempt.
    fn connect(
        &mut self,
        context: &mut EventLoopContext,
        server: ServerId,
        address: SocketAddr,
    ) -> Result<TcpStream, OpenError> {
        match connect_repeatedly(address) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                Ok(stream)
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                log_open_failure(context, server, DatabaseCloseReason::Refused, error);
                Err(OpenError::Refused)
            }
            Err(error) => {
                if SystemErrorClass::of(&error) == SystemErrorClass::NoDescriptor {
                    // The system has fewer descriptors than the limit allows: closing an idle connection frees one for the next
                    // attempt.
                    self.descriptors_exhausted |= !self.evict_oldest_idle(context);
                }
                log_open_failure(context, server, DatabaseCloseReason::NoSocket, error);
                Err(OpenError::NoSocket)
            }
        }
    }

    /// Closes the connection that has been idle longest. Returns false if no connection is idle.
    pub(super) fn evict_oldest_idle(&mut self, context: &mut EventLoopContext) -> bool {
        // The idle connections of one server are in the order in which they became idle.
        let oldest_of_each = self.idle.values().filter_map(|keys| keys.first());
        let oldest = oldest_of_each.min_by_key(|key| self.connections[**key].idle_since).copied();
        let Some(key) = oldest else { return false };
        self.close(context, key, DatabaseCloseReason::Evicted);
        true
    }

    /// Returns whether, since the last call, the system had no free descriptor and no idle connection could be closed.
    pub(crate) fn take_descriptors_exhausted(&mut self) -> bool {
        std::mem::take(&mut self.descriptors_exhausted)
    }
}
