//! Handles the messages that databases send.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::ConnectionKey;
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::ConnectionState;
use super::reply_identity::ReplyIdentity;
use crate::pg::backend::{BackendEvent, ForwardingProgress};
use crate::reply::Reply;
use birchreach::AttemptOutcome;

impl Pool {
    /// Handles all complete events in the bytes received so far.
    pub(super) fn handle_events(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
    ) -> ConnectionState {
        while let Some(event) =
            self.connections.get_mut(key).and_then(|connection| connection.protocol.next_event())
        {
            if self.handle_event(context, key, event) == ConnectionState::Closed {
                return ConnectionState::Closed;
            }
        }
        ConnectionState::Open
    }

    fn handle_event(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        event: BackendEvent,
    ) -> ConnectionState {
        match event {
            BackendEvent::Ready => self.connection_established(context, key),
            BackendEvent::ValueStarted(length) => self.value_started(context, key, length),
            BackendEvent::ValueChunk(bytes) => self.value_chunk_received(context, key, bytes),
            BackendEvent::QueryCompleted(reply) => self.query_completed(context, key, reply),
            BackendEvent::Rejected(reply) => self.connection_rejected(context, key, reply),
            BackendEvent::ProtocolError => {
                // The query has run and its response is lost, but the server is alive.
                let reply = Reply::with_outcome(AttemptOutcome::Error);
                self.fail_connection(context, key, DatabaseCloseReason::ProtocolError, reply);
                ConnectionState::Closed
            }
        }
    }

    /// Marks the connection as established, and sends the query of its task or makes the connection idle.
    fn connection_established(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
    ) -> ConnectionState {
        let connection = &mut self.connections[key];
        connection.established = true;
        let (server, address) = (connection.server, connection.address);
        let task = connection.task.take();
        context.core.server_alive(context.now, server);
        match task {
            Some(task) if context.core.address(server) != Some(address) => {
                // The server moved while the connection was opened. No query is sent to its old address.
                self.close(context, key, DatabaseCloseReason::Moved);
                self.dispatch(context, server, task);
            }
            Some(task) => self.send_query(context, key, task),
            None => self.return_to_idle(context, key),
        }
        self.connection_state(key)
    }

    /// Reports to the core that a value of `length` bytes begins, which is streamed to the client.
    fn value_started(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        length: usize,
    ) -> ConnectionState {
        let connection = &mut self.connections[key];
        connection.reply_was_streamed = true;
        // Only the statements of attempts are answered with streamed values.
        let Some(attempt) = connection.attempt() else { return ConnectionState::Closed };
        if context.core.response_started(context.now, attempt, length) {
            return ConnectionState::Open;
        }
        // Another attempt has already answered the request.
        self.cancel_attempt(context, attempt);
        ConnectionState::Closed
    }

    /// Forwards a chunk of a streamed value.
    fn value_chunk_received(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        bytes: Vec<u8>,
    ) -> ConnectionState {
        let connection = &mut self.connections[key];
        // Memory use is bounded: the next chunk is read only after the client has taken this one.
        connection.reading_paused = connection.protocol.forwarding_progress() == ForwardingProgress::InValue;
        if let Some(attempt) = connection.attempt() {
            context.core.response_chunk(attempt, bytes);
        }
        ConnectionState::Open
    }

    /// Handles the complete reply to a query: sends the next statement of a background query, or completes the task.
    fn query_completed(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reply: Reply,
    ) -> ConnectionState {
        let connection = &mut self.connections[key];
        if self.round_trips.reply_completed(connection, ReplyIdentity::of(&reply)) {
            // The query may run, and its reply follows.
            let reply = Reply::with_outcome(AttemptOutcome::Error);
            self.fail_connection(context, key, DatabaseCloseReason::UnexpectedData, reply);
            return ConnectionState::Closed;
        }
        let Some(task) = connection.task.take() else {
            self.return_to_idle(context, key);
            return self.connection_state(key);
        };
        if let Some((task, reply)) = self.continue_background_query(context, key, task, reply) {
            self.return_to_idle(context, key);
            self.complete_task(context, task, reply);
        }
        self.connection_state(key)
    }

    /// Closes a connection whose startup the database answered with an error.
    fn connection_rejected(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reply: Reply,
    ) -> ConnectionState {
        // SQLSTATE 53300 means that the database is overloaded. Any other error means only that no connection is available.
        let outcome = match reply.outcome {
            AttemptOutcome::Overloaded => AttemptOutcome::Overloaded,
            _ => AttemptOutcome::ClosedBeforeExecution,
        };
        if let Some(task) = self.close(context, key, DatabaseCloseReason::Rejected) {
            self.complete_task(context, task, Reply { outcome, ..reply });
        }
        ConnectionState::Closed
    }

    fn connection_state(&self, key: ConnectionKey) -> ConnectionState {
        if self.connections.contains(key) { ConnectionState::Open } else { ConnectionState::Closed }
    }
}
