//! What a connection's time runs out for: attempts that are given up, connects and probes that take too long, idle ones, and
//! long values that stand still.

use super::super::event_loop_context::EventLoopContext;
use super::{Connection, ConnectionTask, Pool};
use crate::core::AttemptId;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Micros, ServerId};

/// A database that has begun a long value and sends no more of it for so long has failed.
const RESPONSE_STALL_TIMEOUT_MICROS: Micros = 10_000_000;

impl Pool {
    /// Gives an attempt up: its connection is closed, for an answer may still come on it.
    pub fn cancel_attempt(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        self.abandon_attempt(context, attempt, AttemptOutcome::Cancelled, "cancelled");
    }

    /// The attempt's time is over.
    pub fn attempt_timed_out(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        self.abandon_attempt(context, attempt, AttemptOutcome::Timeout, "timeout");
    }

    fn abandon_attempt(
        &mut self,
        context: &mut EventLoopContext,
        attempt: AttemptId,
        ending: AttemptOutcome,
        reason: &str,
    ) {
        let Some(key) = self.attempt_connections.get(&attempt).copied() else { return };
        if ending == AttemptOutcome::Timeout && self.connections[key].protocol.is_streaming() {
            return;
        }
        let written = self.connections[key].query_written;
        if !self.connections[key].query_queued {
            // The connection is still being opened, or rests, and may serve another.
            let job = self.connections[key].task.take();
            if self.connections[key].established {
                self.return_to_idle(context, key);
            }
            if let Some(job) = job {
                self.complete_task(context, job, Reply::with_outcome(AttemptOutcome::NotSent));
            }
            return;
        }
        if let Some(job) = self.close(context, key, reason) {
            self.complete_task(
                context,
                job,
                Reply::with_outcome(if written { ending } else { AttemptOutcome::NotSent }),
            );
        }
    }

    pub fn connect_timed_out(&mut self, context: &mut EventLoopContext, key: usize, serial: u64) {
        if self.connections.get(key).is_some_and(|c| c.serial == serial && !c.established) {
            self.connect_failed(
                context,
                key,
                "connect-timeout",
                Reply::with_outcome(AttemptOutcome::ConnectFailed),
            );
        }
    }

    pub fn query_timed_out(&mut self, context: &mut EventLoopContext, key: usize, turn: u64) {
        let probing = |c: &Connection| {
            c.query_serial == turn
                && matches!(
                    c.task,
                    Some(
                        ConnectionTask::HealthCheck { .. }
                            | ConnectionTask::MonitorCheck { .. }
                            | ConnectionTask::BackgroundQuery(_)
                    )
                )
        };
        if self.connections.get(key).is_some_and(probing)
            && let Some(job) = self.close(context, key, "timeout")
        {
            self.complete_task(context, job, Reply::with_outcome(AttemptOutcome::Timeout));
        }
    }

    /// Closes connections that have been idle for long, and those that stand still within a long value.
    pub fn close_expired(&mut self, context: &mut EventLoopContext) {
        let stands = |c: &Connection| {
            c.protocol.is_streaming()
                && !c.reading_paused
                && context.now - c.last_progress_at >= RESPONSE_STALL_TIMEOUT_MICROS
        };
        let still: Vec<usize> =
            self.connections.iter().filter(|(_, c)| stands(c)).map(|(key, _)| key).collect();
        for key in still {
            self.fail_connection(
                context,
                key,
                "standstill",
                Reply::with_outcome(AttemptOutcome::ConnectionReset),
            );
        }
        self.idle.retain(|_, keys| !keys.is_empty());
        let old = |k: &&usize| context.now - self.connections[**k].idle_since >= self.idle_limit;
        let old: Vec<usize> = self.idle.values().flatten().filter(old).copied().collect();
        for key in old {
            self.close(context, key, "idle");
        }
    }

    /// The server moved or left: its idle connections are of no more use.
    pub fn server_moved(&mut self, context: &mut EventLoopContext, server: ServerId) {
        for key in self.idle.remove(&server).unwrap_or_default() {
            self.close(context, key, "moved");
        }
    }
}
