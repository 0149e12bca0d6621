//! Timeouts and cancellation. This module cancels attempts. It ends attempts, connects, checks and background queries that exceed
//! their timeouts. It closes connections that have been idle for too long or whose response has stalled.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::{ConnectionKey, ConnectionSerial, QuerySerial};
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::{Connection, ConnectionTask, QueryProgress};
use crate::core::AttemptId;
use crate::pg::backend::ForwardingProgress;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Micros, ServerId};

#[cfg(test)]
mod tests;

/// A database that sends no more of a reply for this time counts as failed, if a part of the reply was forwarded.
const RESPONSE_STALL_TIMEOUT_MICROS: Micros = 10_000_000;

impl Pool {
    /// Cancels an attempt. If its query was queued or written, the connection is closed, because a response may still arrive on
    /// it.
    pub(crate) fn cancel_attempt(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        self.abandon_attempt(context, attempt, AttemptOutcome::Cancelled, DatabaseCloseReason::Cancelled);
    }

    /// Ends an attempt whose deadline has passed, unless a part of its reply was forwarded. The stall timeout applies to that one.
    pub(crate) fn attempt_timed_out(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        let Some(key) = self.attempt_connections.get(&attempt) else { return };
        if self.connections[*key].protocol.forwarding_progress() == ForwardingProgress::NotStarted {
            self.abandon_attempt(context, attempt, AttemptOutcome::Timeout, DatabaseCloseReason::Timeout);
        }
    }

    /// Completes an attempt before its reply. `outcome` applies if its query was written and may therefore have run.
    fn abandon_attempt(
        &mut self,
        context: &mut EventLoopContext,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        reason: DatabaseCloseReason,
    ) {
        let Some(key) = self.attempt_connections.get(&attempt).copied() else { return };
        let outcome = match self.connections[key].query {
            QueryProgress::NotQueued => return self.unassign_task(context, key),
            QueryProgress::Queued => AttemptOutcome::NotSent,
            QueryProgress::Written => outcome,
        };
        if let Some(task) = self.close(context, key, reason) {
            self.complete_task(context, task, Reply::with_outcome(outcome));
        }
    }

    /// Completes the task of a connection that is still being opened or is cooling down. The connection stays open for other
    /// tasks.
    fn unassign_task(&mut self, context: &mut EventLoopContext, key: ConnectionKey) {
        let task = self.connections[key].task.take();
        if self.connections[key].established {
            self.return_to_idle(context, key);
        }
        if let Some(task) = task {
            self.complete_task(context, task, Reply::with_outcome(AttemptOutcome::NotSent));
        }
    }

    /// Returns whether an attempt has a connection and no result.
    pub(crate) fn has_attempt(&self, attempt: AttemptId) -> bool {
        self.attempt_connections.contains_key(&attempt)
    }

    /// Returns whether this connection is still being opened.
    pub(crate) fn is_opening(&self, key: ConnectionKey, serial: ConnectionSerial) -> bool {
        let is_opening = |connection: &Connection| connection.serial == serial && !connection.established;
        self.connections.get(key).is_some_and(is_opening)
    }

    /// Closes a connection whose connect timeout has expired, if it is still being opened.
    pub(crate) fn connect_timed_out(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        serial: ConnectionSerial,
    ) {
        if self.is_opening(key, serial) {
            let reply = Reply::with_outcome(AttemptOutcome::ConnectFailed);
            self.connect_failed(context, key, DatabaseCloseReason::ConnectTimeout, reply);
        }
    }

    /// Closes a connection on which a check or a statement of a background query has timed out.
    pub(crate) fn query_timed_out(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        serial: QuerySerial,
    ) {
        let Some(connection) = self.connections.get(key) else { return };
        let is_in_flight = connection.query_serial == serial
            && matches!(
                connection.task,
                Some(
                    ConnectionTask::HealthCheck { .. }
                        | ConnectionTask::MonitorCheck { .. }
                        | ConnectionTask::BackgroundQuery(_)
                )
            );
        if is_in_flight && let Some(task) = self.close(context, key, DatabaseCloseReason::Timeout) {
            self.complete_task(context, task, Reply::with_outcome(AttemptOutcome::Timeout));
        }
    }

    /// Closes connections whose response has stalled, and those that have been idle for the idle timeout.
    pub(crate) fn close_expired(&mut self, context: &mut EventLoopContext) {
        self.check_deferred_replies(context);
        let now = context.now;
        let has_stalled = |connection: &Connection| {
            connection.protocol.forwarding_progress() != ForwardingProgress::NotStarted
                && !connection.reading_paused
                && now - connection.last_progress_at >= RESPONSE_STALL_TIMEOUT_MICROS
        };
        let stalled: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, connection)| has_stalled(connection))
            .map(|(key, _)| key)
            .collect();
        for key in stalled {
            let reply = Reply::with_outcome(AttemptOutcome::ConnectionReset);
            self.fail_connection(context, key, DatabaseCloseReason::ResponseStalled, reply);
        }
        self.idle.retain(|_, keys| !keys.is_empty());
        let is_expired = |key: &&ConnectionKey| now - self.connections[**key].idle_since >= self.idle_timeout;
        let expired: Vec<ConnectionKey> = self.idle.values().flatten().filter(is_expired).copied().collect();
        for key in expired {
            self.close(context, key, DatabaseCloseReason::Idle);
        }
    }

    /// Closes the idle connections to a server that moved or was removed.
    pub(crate) fn close_idle_connections(&mut self, context: &mut EventLoopContext, server: ServerId) {
        self.round_trips.forget(server);
        for key in self.idle.remove(&server).unwrap_or_default() {
            self.close(context, key, DatabaseCloseReason::Moved);
        }
    }
}
