//! Reads from and writes to the connections' sockets.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::ConnectionKey;
use super::super::stream::{self, StreamEnd};
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::{ConnectionState, ConnectionTask, QueryProgress};
use super::deferred_replies::ReadPermission;
use crate::core::AttemptId;
use crate::reply::Reply;
use birchreach::AttemptOutcome;
use std::io::ErrorKind;

/// The result of reading a socket once.
enum PieceRead {
    /// A piece was read. More may have arrived.
    MoreMayFollow,
    AllRead,
    ConnectionClosed,
}

impl Pool {
    /// Writes to and reads from a connection that the poll reported as ready. Ignores keys of closed connections.
    pub(crate) fn handle_ready(&mut self, context: &mut EventLoopContext, key: ConnectionKey) {
        if !self.connections.contains(key) {
            return;
        }
        if self.withdraw_partial_statement(context, key) == ConnectionState::Closed {
            return;
        }
        if self.write(context, key) == ConnectionState::Open {
            self.read(context, key);
        }
    }

    /// Writes the pending output. Returns `Open` also if the socket accepted only part of it.
    pub(super) fn write(&mut self, context: &mut EventLoopContext, key: ConnectionKey) -> ConnectionState {
        let connection = &mut self.connections[key];
        if connection.is_connecting() {
            return self.check_connecting(context, key);
        }
        let had_output = connection.protocol.has_output();
        match stream::write_query(&mut connection.stream, &mut connection.protocol) {
            Ok(all_written) => {
                if had_output {
                    connection.written_at = context.clock.now();
                }
                if all_written && connection.query == QueryProgress::Queued {
                    connection.query = QueryProgress::Written;
                    let is_attempt = matches!(connection.task, Some(ConnectionTask::Attempt(_)));
                    context.core.stats.attempts += u64::from(is_attempt);
                }
                ConnectionState::Open
            }
            Err(_) => {
                // Input that arrived before the connection broke may hold a response or a rejection.
                if self.read(context, key) == ConnectionState::Open {
                    self.connection_ended(context, key, DatabaseCloseReason::Reset);
                }
                ConnectionState::Closed
            }
        }
    }

    /// Checks a connection whose TCP connect has not succeeded, and closes it if the connect has failed. If it was refused, no
    /// process listens there; if it was reset, it had been accepted.
    fn check_connecting(&mut self, context: &mut EventLoopContext, key: ConnectionKey) -> ConnectionState {
        match self.connections[key].stream.take_error() {
            Ok(None) => return ConnectionState::Open,
            Ok(Some(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                self.connect_failed(context, key, DatabaseCloseReason::Refused, Reply::connection_refused());
            }
            _ => self.connection_ended(context, key, DatabaseCloseReason::Reset),
        }
        ConnectionState::Closed
    }

    /// Reads all input that has arrived and handles its events. Reads nothing while reading is paused, and no more than the memory
    /// allows.
    pub(super) fn read(&mut self, context: &mut EventLoopContext, key: ConnectionKey) -> ConnectionState {
        if self.connections[key].is_connecting() {
            return ConnectionState::Open;
        }
        loop {
            let Some(connection) = self.connections.get(key) else { return ConnectionState::Closed };
            if connection.reading_paused {
                return ConnectionState::Open;
            }
            let limit = match self.read_permission(context, key) {
                ReadPermission::Bytes(limit) => limit,
                ReadPermission::Defer => {
                    self.defer_reply(key);
                    return ConnectionState::Open;
                }
                ReadPermission::Ended(reason) => {
                    self.connection_ended(context, key, reason);
                    return ConnectionState::Closed;
                }
            };
            match self.read_piece(context, key, limit) {
                PieceRead::MoreMayFollow => {}
                PieceRead::AllRead => return ConnectionState::Open,
                PieceRead::ConnectionClosed => return ConnectionState::Closed,
            }
        }
    }

    /// Reads one piece of at most `limit` bytes and handles its events, before more is buffered. Closes the connection if it has ended or
    /// can no longer be used.
    fn read_piece(&mut self, context: &mut EventLoopContext, key: ConnectionKey, limit: usize) -> PieceRead {
        let connection = &mut self.connections[key];
        let protocol = &mut connection.protocol;
        let mut received = false;
        let read = stream::read(&mut connection.stream, &mut context.scratch[..limit], |bytes| {
            protocol.feed(bytes);
            received = true;
            false
        });
        if received {
            connection.last_progress_at = context.now;
        }
        if received && self.round_trips.reply_started(context, connection) {
            // The bytes do not belong to the query, which may run if all of it was written.
            return self.fail_after_read(context, key, DatabaseCloseReason::UnexpectedData);
        }
        if self.handle_events(context, key) == ConnectionState::Closed {
            return PieceRead::ConnectionClosed;
        }
        if self.holds_too_much(context, key) {
            // The query may have run.
            return self.fail_after_read(context, key, DatabaseCloseReason::Memory);
        }
        let reason = match read {
            Ok(true) => return PieceRead::AllRead,
            Ok(false) => return PieceRead::MoreMayFollow,
            Err(StreamEnd::Closed) => DatabaseCloseReason::Closed,
            Err(StreamEnd::Reset) => DatabaseCloseReason::Reset,
        };
        self.connection_ended(context, key, reason);
        PieceRead::ConnectionClosed
    }

    /// Closes a connection because of what it has sent.
    fn fail_after_read(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reason: DatabaseCloseReason,
    ) -> PieceRead {
        self.fail_connection(context, key, reason, Reply::with_outcome(AttemptOutcome::Error));
        PieceRead::ConnectionClosed
    }

    /// Returns whether memory is exhausted and the connection holds more input than what it is guaranteed. A row does not count: no more
    /// of it is read.
    fn holds_too_much(&self, context: &EventLoopContext, key: ConnectionKey) -> bool {
        let protocol = &self.connections[key].protocol;
        context.memory.is_exhausted()
            && protocol.unread_bytes() > context.memory.guaranteed_database_input()
            && protocol.missing_row_bytes() == 0
    }

    /// Resumes reading a streamed value after the client has taken the bytes that were forwarded to it.
    pub(crate) fn resume_reading(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        let Some(key) = self.attempt_connections.get(&attempt).copied() else { return };
        let connection = &mut self.connections[key];
        connection.reading_paused = false;
        connection.last_progress_at = context.now;
        self.read(context, key);
    }
}
