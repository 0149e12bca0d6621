//! How connections and their tasks end: each task has one outcome, and whether its query may have run turns on whether the last
//! byte of the query was written.

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
    /// The database closed the connection, or it broke. A response that had arrived still counts.
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

    /// Closes a connection that cannot be used any more. `reply` is the result of a task whose query was written; a task that
    /// waited for the end of the cooldown is dispatched to another connection.
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
        let was_written = connection.query == QueryProgress::Written;
        let Some(task) = self.close(context, key, reason) else { return };
        if was_cooling_down {
            self.dispatch(context, server, task);
        } else if was_written {
            self.complete_task(context, task, reply);
        } else {
            let reply = Reply::with_outcome(AttemptOutcome::ClosedBeforeExecution);
            self.complete_task(context, task, reply);
        }
    }

    /// The connection was not established: it was refused, or the connect timed out.
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

    /// Closes the connection and logs why. Returns its task, if it had one, without an outcome.
    pub(super) fn close(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        reason: DatabaseCloseReason,
    ) -> Option<ConnectionTask> {
        let mut connection = self.connections.remove(key);
        let _ = context.poll.registry().deregister(&mut connection.stream);
        if let Some(keys) = self.idle.get_mut(&connection.server) {
            keys.retain(|other| *other != key);
        }
        let server = context.core.server_name(connection.server);
        info!(conn = "database", server, state = connection.state_name(), reason = reason.as_str());
        connection.task
    }

    /// Reports the result of a task to its owner.
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
