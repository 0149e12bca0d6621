//! A connection that is up gets its next query, or rests.

use super::super::event_loop_context::EventLoopContext;
use super::super::timer_events::TimerEvent;
use super::{Job, Pool, background_queries};
use crate::reply::Reply;
use birchreach::AttemptOutcome;

impl Pool {
    /// Writes the job's query to a connection that is up and idle.
    pub(super) fn ask(&mut self, context: &mut EventLoopContext, key: usize, job: Job) {
        let c = &mut self.slots[key];
        match &job {
            Job::Attempt { attempt, work, until, copy } => {
                // Opening the connection took time: it may be over, or what was told since forbid the send.
                if *until <= context.now || !context.core.may_still_send(context.now, *attempt) {
                    self.settle(context, key);
                    self.report(context, job, Reply::with_outcome(AttemptOutcome::NotSent));
                    return;
                }
                let left_ms = u64::try_from((until - context.now) / 1000).unwrap_or(1).max(1);
                match copy {
                    false => c.machine.run(work, left_ms),
                    true => c.machine.run_copy(
                        work,
                        left_ms,
                        context.core.required_copy_position(context.now, *attempt),
                    ),
                }
                self.attempts.insert(*attempt, key);
            }
            Job::BackgroundQuery(errand) => {
                c.machine.errand(errand.text());
                self.serial += 1;
                c.turn = self.serial;
                context
                    .timers
                    .set(context.now + background_queries::PATIENCE, TimerEvent::QueryTimeout(key, c.turn));
            }
            Job::Probe { .. } | Job::Check { .. } => {
                c.machine.probe();
                self.serial += 1;
                c.turn = self.serial;
                let check = matches!(job, Job::Check { .. });
                let timeout = if check { self.check_timeout } else { self.connect_timeout };
                context.timers.set(context.now + timeout, TimerEvent::QueryTimeout(key, c.turn));
            }
        }
        (c.job, c.asked, c.written) = (Some(job), true, false);
        self.write(context, key);
    }

    /// The connection has nothing to do: it waits for the next job.
    pub(super) fn settle(&mut self, context: &mut EventLoopContext, key: usize) {
        let c = &mut self.slots[key];
        (c.job, c.asked, c.written, c.idle_since) = (None, false, false, context.now);
        if !c.machine.clean() {
            // More than its answer: nobody can tell any more which query the next bytes belong to.
            self.close(context, key, "surplus");
        } else if context.core.address(c.server) == Some(c.address) {
            self.idle.entry(c.server).or_default().push(key);
        } else {
            self.close(context, key, "moved");
        }
    }
}
