//! Closes connections and completes their tasks. Each task has exactly one outcome. A query counts as one that may have run if
//! its last byte was written.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::ConnectionKey;
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::{ConnectionTask, QueryProgress};
use crate::pg::backend::BackendEvent;
use crate::reply::Reply;
use birchreach::AttemptOutcome;
use tracing::info;

impl Pool {
    /// Handles a connection that the database closed or that broke. A response that had arrived still counts.
    pub(super) fn connection_ended(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reason: DatabaseCloseReason,
    ) {
        let reply = match self.connections[key].protocol.connection_ended() {
            Some(BackendEvent::QueryCompleted(reply)) => reply,
            _ => Reply::with_outcome(AttemptOutcome::ConnectionReset),
        };
        self.fail_connection(context, key, reason, reply);
    }

    /// Closes a connection that can no longer be used. `reply` is the result of a task whose query was written. A task that
    /// waited for the end of the cooldown is reassigned.
    pub(super) fn fail_connection(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reason: DatabaseCloseReason,
        reply: Reply,
    ) {
        let connection = &self.connections[key];
        let server = connection.server;
        let was_cooling_down = connection.is_cooling_down();
        let query_was_written = connection.query == QueryProgress::Written;
        let Some(task) = self.close(context, key, reason) else { return };
        if was_cooling_down {
            self.reassign(context, server, task);
        } else if query_was_written {
            self.complete_task(context, task, reply);
        } else {
            let reply = Reply::with_outcome(AttemptOutcome::ClosedBeforeExecution);
            self.complete_task(context, task, reply);
        }
    }

    /// Closes a connection that was refused or that exceeded the connect timeout. `reply` is the result of its task.
    pub(super) fn connect_failed(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reason: DatabaseCloseReason,
        reply: Reply,
    ) {
        if let Some(task) = self.close(context, key, reason) {
            self.complete_task(context, task, reply);
        }
    }

    /// Closes the connection and logs the reason. Returns its task, if it had one; the caller must complete or dispatch the task.
    pub(super) fn close(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reason: DatabaseCloseReason,
    ) -> Option<ConnectionTask> {
        let mut connection = self.connections.remove(key);
        let _ = context.poll.registry().deregister(&mut connection.stream);
        if matches!(reason, DatabaseCloseReason::UnexpectedData | DatabaseCloseReason::ProtocolError) {
            self.round_trips.unexpected_bytes(&connection, context.now);
        }
        if let Some(keys) = self.idle.get_mut(&connection.server) {
            keys.retain(|other| *other != key);
        }
        let server = context.core.server_name(connection.server);
        info!(conn = "database", server, state = connection.state_name(), reason = reason.as_str());
        connection.task
    }

    /// Reports a task's result to its owner: the core, or the owner of background queries.
    pub(super) fn complete_task(
        &mut self,
        context: &mut EventLoopContext,
        task: ConnectionTask,
        reply: Reply,
    ) {
        match task {
            ConnectionTask::Attempt(task) => {
                self.attempt_connections.remove(&task.attempt);
                context.core.attempt_completed(context.now, task.attempt, reply);
            }
            ConnectionTask::HealthCheck { server } => {
                context.core.health_check_completed(context.now, server, &reply);
            }
            ConnectionTask::MonitorCheck { server } => {
                context.core.monitor_check_completed(context.now, server, &reply);
            }
            ConnectionTask::BackgroundQuery(query) => self.completed_queries.push(query.complete(reply)),
        }
    }
}
