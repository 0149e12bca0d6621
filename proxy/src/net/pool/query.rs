//! Sends tasks' queries on established connections, and returns connections to the idle list afterwards.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::ConnectionKey;
use super::super::timer_events::TimerEvent;
use super::Pool;
use super::background_queries::BACKGROUND_QUERY_TIMEOUT_MICROS;
use super::close_reason::DatabaseCloseReason;
use super::connection::{AttemptTask, ConnectionState, ConnectionTask, QueryProgress};
use crate::reply::Reply;
use crate::units::MICROS_PER_MILLI;
use birchreach::{AttemptOutcome, Micros};

impl Pool {
    /// Sends the task's query on an established, idle connection. An attempt or a background query that may no longer be sent is
    /// completed as not sent.
    pub(super) fn send_query(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        task: ConnectionTask,
    ) {
        let may_send = match &task {
            ConnectionTask::Attempt(attempt) => Self::may_send(context, attempt),
            ConnectionTask::BackgroundQuery(_) => context.core.accepts_work(self.connections[key].server),
            ConnectionTask::HealthCheck { .. } | ConnectionTask::MonitorCheck { .. } => true,
        };
        if !may_send {
            self.return_to_idle(context, key);
            return self.complete_task(context, task, Reply::with_outcome(AttemptOutcome::NotSent));
        }
        match &task {
            ConnectionTask::Attempt(attempt) => self.queue_statement(context, key, attempt),
            ConnectionTask::BackgroundQuery(query) => {
                self.connections[key].protocol.send_background_query(query.current_statement());
                self.start_query_timer(context, key, BACKGROUND_QUERY_TIMEOUT_MICROS);
            }
            ConnectionTask::HealthCheck { .. } => {
                self.connections[key].protocol.send_load_report_query();
                self.start_query_timer(context, key, self.connect_timeout);
            }
            ConnectionTask::MonitorCheck { .. } => {
                self.connections[key].protocol.send_load_report_query();
                self.start_query_timer(context, key, self.monitor_check_timeout);
            }
        }
        let settling_time = self.round_trips.settling_time(self.connections[key].server);
        let connection = &mut self.connections[key];
        connection.task = Some(task);
        connection.query_queued(context.now, settling_time);
        self.write(context, key);
    }

    /// Returns whether an attempt may still be sent. While the connection was opened or took no bytes, the deadline may have passed,
    /// or the core may have found that the send is no longer allowed.
    fn may_send(context: &EventLoopContext, task: &AttemptTask) -> bool {
        task.deadline > context.now && context.core.may_still_send(context.now, task.attempt)
    }

    /// Withdraws an attempt whose statement was written only in part, if it may no longer be sent: the database would execute it
    /// once its last byte arrives. Closes the connection, so that the statement stays incomplete.
    pub(super) fn withdraw_partial_statement(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
    ) -> ConnectionState {
        let connection = &self.connections[key];
        let Some(ConnectionTask::Attempt(task)) = &connection.task else { return ConnectionState::Open };
        if connection.query != QueryProgress::Queued || Self::may_send(context, task) {
            return ConnectionState::Open;
        }
        self.cancel_attempt(context, task.attempt);
        ConnectionState::Closed
    }

    /// Puts an attempt's statement into the output, with the time that remains until its deadline.
    fn queue_statement(&mut self, context: &EventLoopContext, key: ConnectionKey, task: &AttemptTask) {
        let protocol = &mut self.connections[key].protocol;
        let remaining_ms =
            u64::try_from((task.deadline - context.now) / MICROS_PER_MILLI).unwrap_or(1).max(1);
        if task.from_copy {
            let position = context.core.required_copy_position(context.now, task.attempt);
            protocol.send_copy_read(&task.statement, remaining_ms, position);
        } else {
            protocol.send_statement(&task.statement, remaining_ms);
        }
        self.attempt_connections.insert(task.attempt, key);
    }

    /// Starts the timeout of the query that is being sent.
    fn start_query_timer(&mut self, context: &mut EventLoopContext, key: ConnectionKey, timeout: Micros) {
        self.last_query = self.last_query.next();
        self.connections[key].query_serial = self.last_query;
        context.timers.set(context.now + timeout, TimerEvent::QueryTimeout(key, self.last_query));
    }

    /// Clears the connection's task and makes the connection idle, or closes it if it cannot serve another task.
    pub(super) fn return_to_idle(&mut self, context: &mut EventLoopContext, key: ConnectionKey) {
        let connection = &mut self.connections[key];
        connection.task = None;
        connection.query_completed(context.now);
        if !connection.protocol.is_idle() {
            // The next bytes could not be matched to a query.
            self.close(context, key, DatabaseCloseReason::UnexpectedData);
        } else if context.core.address(connection.server) == Some(connection.address) {
            self.idle.entry(connection.server).or_default().push(key);
        } else {
            self.close(context, key, DatabaseCloseReason::Moved);
        }
    }
}
