//! A connection that is up gets its next query, or rests.

use super::super::TimerEvent;
use super::super::event_loop_context::EventLoopContext;
use super::{ConnectionTask, Pool, background_queries};
use crate::reply::Reply;
use birchreach::AttemptOutcome;

impl Pool {
    /// Writes the job's query to a connection that is up and idle.
    pub(super) fn send_query(&mut self, context: &mut EventLoopContext, key: usize, job: ConnectionTask) {
        let c = &mut self.connections[key];
        match &job {
            ConnectionTask::Attempt { attempt, statement: work, deadline: until, from_copy: copy } => {
                // Opening the connection took time: it may be over, or what was told since forbid the send.
                if *until <= context.now || !context.core.may_still_send(context.now, *attempt) {
                    self.return_to_idle(context, key);
                    self.complete_task(context, job, Reply::with_outcome(AttemptOutcome::NotSent));
                    return;
                }
                let left_ms = u64::try_from((until - context.now) / 1000).unwrap_or(1).max(1);
                match copy {
                    false => c.protocol.send_statement(work, left_ms),
                    true => c.protocol.send_copy_read(
                        work,
                        left_ms,
                        context.core.required_copy_position(context.now, *attempt),
                    ),
                }
                self.attempt_connections.insert(*attempt, key);
            }
            ConnectionTask::BackgroundQuery(errand) => {
                c.protocol.send_background_query(errand.current_statement());
                self.last_serial += 1;
                c.query_serial = self.last_serial;
                context.timers.set(
                    context.now + background_queries::TIMEOUT_MICROS,
                    TimerEvent::QueryTimeout(key, c.query_serial),
                );
            }
            ConnectionTask::HealthCheck { .. } | ConnectionTask::MonitorCheck { .. } => {
                c.protocol.send_load_report_query();
                self.last_serial += 1;
                c.query_serial = self.last_serial;
                let check = matches!(job, ConnectionTask::MonitorCheck { .. });
                let timeout = if check { self.monitor_check_timeout } else { self.connect_timeout };
                context.timers.set(context.now + timeout, TimerEvent::QueryTimeout(key, c.query_serial));
            }
        }
        (c.task, c.query_queued, c.query_written) = (Some(job), true, false);
        self.write(context, key);
    }

    /// The connection has nothing to do: it waits for the next job.
    pub(super) fn return_to_idle(&mut self, context: &mut EventLoopContext, key: usize) {
        let c = &mut self.connections[key];
        (c.task, c.query_queued, c.query_written, c.idle_since) = (None, false, false, context.now);
        if !c.protocol.is_idle() {
            // More than its answer: nobody can tell any more which query the next bytes belong to.
            self.close(context, key, "surplus");
        } else if context.core.address(c.server) == Some(c.address) {
            self.idle.entry(c.server).or_default().push(key);
        } else {
            self.close(context, key, "moved");
        }
    }
}
