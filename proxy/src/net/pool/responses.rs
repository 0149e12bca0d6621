//! Handles what databases send.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::ConnectionKey;
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::ConnectionState;
use crate::pg::backend::BackendEvent;
use crate::reply::Reply;
use birchreach::AttemptOutcome;

impl Pool {
    /// Handles the events in the bytes that were received so far.
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

    /// Handles one event of the protocol.
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

    /// The startup is complete: the waiting task's query is sent.
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
                // The server moved while its connection was opened: nothing more goes to where it was.
                self.close(context, key, DatabaseCloseReason::Moved);
                self.dispatch(context, server, task);
            }
            Some(task) => self.send_query(context, key, task),
            None => self.return_to_idle(context, key),
        }
        self.connection_state(key)
    }

    /// A value begins that is streamed to the client.
    fn value_started(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        length: usize,
    ) -> ConnectionState {
        let connection = &mut self.connections[key];
        connection.last_progress_at = context.now;
        // Only the statement of an attempt is answered by a streamed value.
        let Some(attempt) = connection.attempt() else { return ConnectionState::Closed };
        if context.core.response_started(context.now, attempt, length) {
            return ConnectionState::Open;
        }
        // Its request has already been answered by another attempt.
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
        // A bounded chunk at a time, and the next once the client has taken this one.
        connection.reading_paused = connection.protocol.is_streaming();
        connection.last_progress_at = context.now;
        if let Some(attempt) = connection.attempt() {
            context.core.response_chunk(attempt, bytes);
        }
        ConnectionState::Open
    }

    /// The reply to a query is complete: the next statement of a background query follows, or the task ends.
    fn query_completed(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reply: Reply,
    ) -> ConnectionState {
        let Some(task) = self.connections[key].task.take() else {
            self.return_to_idle(context, key);
            return self.connection_state(key);
        };
        if let Some((task, reply)) = self.continue_background_query(context, key, task, reply) {
            self.return_to_idle(context, key);
            self.complete_task(context, task, reply);
        }
        self.connection_state(key)
    }

    /// The database answered the startup with an error.
    fn connection_rejected(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reply: Reply,
    ) -> ConnectionState {
        // SQLSTATE 53300 says that the database is overloaded; any other error only that no connection is available.
        let outcome = match reply.outcome {
            AttemptOutcome::Overloaded => AttemptOutcome::Overloaded,
            _ => AttemptOutcome::ClosedBeforeExecution,
        };
        if let Some(task) = self.close(context, key, DatabaseCloseReason::Rejected) {
            self.complete_task(context, task, Reply { outcome, ..reply });
        }
        ConnectionState::Closed
    }

    /// Whether the connection is still open.
    fn connection_state(&self, key: ConnectionKey) -> ConnectionState {
        if self.connections.contains(key) { ConnectionState::Open } else { ConnectionState::Closed }
    }
}
