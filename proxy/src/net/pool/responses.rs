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
    /// Handles all that the bytes received so far amount to.
    pub(super) fn handle_events(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
    ) -> ConnectionState {
        while let Some(event) = self.connections.get_mut(key).and_then(|c| c.protocol.next_event()) {
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
                // The query has run and its response is lost, but its server lives.
                let reply = Reply::with_outcome(AttemptOutcome::Error);
                self.fail_connection(context, key, DatabaseCloseReason::ProtocolError, reply);
                ConnectionState::Closed
            }
        }
    }

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
        self.state_of(key)
    }

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
        // Its request has its answer already: nobody wants this one.
        self.cancel_attempt(context, attempt);
        ConnectionState::Closed
    }

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

    fn query_completed(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reply: Reply,
    ) -> ConnectionState {
        let Some(task) = self.connections[key].task.take() else {
            self.return_to_idle(context, key);
            return self.state_of(key);
        };
        if let Some((task, reply)) = self.continue_background_query(context, key, task, reply) {
            self.return_to_idle(context, key);
            self.complete_task(context, task, reply);
        }
        self.state_of(key)
    }

    fn connection_rejected(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reply: Reply,
    ) -> ConnectionState {
        // 53300 is a database that is full; all else means that there is no connection to be had.
        let outcome = match reply.outcome {
            AttemptOutcome::Overloaded => AttemptOutcome::Overloaded,
            _ => AttemptOutcome::ClosedBeforeExecution,
        };
        if let Some(task) = self.close(context, key, DatabaseCloseReason::Rejected) {
            self.complete_task(context, task, Reply { outcome, ..reply });
        }
        ConnectionState::Closed
    }

    fn state_of(&self, key: ConnectionKey) -> ConnectionState {
        if self.connections.contains(key) { ConnectionState::Open } else { ConnectionState::Closed }
    }
}
