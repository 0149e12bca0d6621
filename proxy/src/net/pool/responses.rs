//! What comes back on a connection, and how it ends: each job has one outcome, and whether it may have run turns on whether the
//! last byte of its query was written.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream::{self, Ended};
use super::{Job, Pool};
use crate::pg::backend::Heard;
use crate::reply::Reply;
use birchreach::AttemptOutcome;
use tracing::info;

impl Pool {
    /// False: the connection is gone.
    pub(super) fn read(&mut self, context: &mut EventLoopContext, key: usize) -> bool {
        let c = &mut self.slots[key];
        if !c.up && c.stream.peer_addr().is_err() {
            return true;
        }
        loop {
            let Some(c) = self.slots.get_mut(key) else { return false };
            if c.paused {
                return true;
            }
            // A piece at a time: what has come is decoded before more is kept.
            let machine = &mut c.machine;
            let read = stream::read(&mut c.stream, &mut context.scratch, |bytes| {
                machine.feed(bytes);
                false
            });
            while let Some(heard) = self.slots.get_mut(key).and_then(|c| c.machine.next()) {
                if !self.hear(context, key, heard) {
                    return false;
                }
            }
            match read {
                Ok(true) => return true,
                Ok(false) => {}
                Err(ended) => {
                    self.end(context, key, if ended == Ended::Closed { "closed" } else { "reset" });
                    return false;
                }
            }
        }
    }

    /// False: the connection is gone.
    fn hear(&mut self, context: &mut EventLoopContext, key: usize, heard: Heard) -> bool {
        let attempt = match self.slots[key].job {
            Some(Job::Attempt { attempt, .. }) => Some(attempt),
            _ => None,
        };
        match heard {
            Heard::Begun(length) => {
                self.slots[key].moved_at = context.now;
                attempt.is_some_and(|attempt| context.core.response_started(context.now, attempt, length))
                    || {
                        // Its request has its answer already: nobody wants this one.
                        attempt.into_iter().for_each(|attempt| self.stop(context, attempt));
                        false
                    }
            }
            Heard::Piece(bytes) => {
                let c = &mut self.slots[key];
                // A bounded piece at a time, and the next once the client has taken it.
                (c.paused, c.moved_at) = (c.machine.streaming(), context.now);
                if let Some(attempt) = attempt {
                    context.core.response_chunk(attempt, bytes);
                }
                true
            }
            Heard::Ready => {
                self.slots[key].up = true;
                let (server, address) = (self.slots[key].server, self.slots[key].address);
                context.core.server_alive(context.now, server);
                match self.slots[key].job.take() {
                    Some(job) if context.core.address(server) != Some(address) => {
                        // The server moved while its connection was opened: nothing more goes to where it was.
                        self.close(context, key, "moved");
                        self.take_up(context, server, job);
                    }
                    Some(job) => self.ask(context, key, job),
                    None => self.settle(context, key),
                }
                self.slots.contains(key)
            }
            Heard::Done(reply) => {
                let job = self.slots[key].job.take();
                let (job, reply) = match self.next_step(context, key, job, reply) {
                    None => return self.slots.contains(key),
                    Some(over) => over,
                };
                self.settle(context, key);
                if let Some(job) = job {
                    self.report(context, job, reply);
                }
                self.slots.contains(key)
            }
            Heard::TurnedAway(reply) => {
                // 53300 is a database that is full; all else means that there is no connection to be had.
                let ending = if reply.outcome == AttemptOutcome::Overloaded {
                    AttemptOutcome::Overloaded
                } else {
                    AttemptOutcome::ClosedBeforeExecution
                };
                if let Some(job) = self.close(context, key, "turned-away") {
                    self.report(context, job, Reply { outcome: ending, ..reply });
                }
                false
            }
            Heard::Nonsense => {
                // The query has run and its answer is lost, but its server lives.
                self.lose(context, key, "nonsense", Reply::with_outcome(AttemptOutcome::Error));
                false
            }
        }
    }

    /// The connection broke, or is given up. Whether the job may have run turns on whether the last
    /// byte of its query was written.
    pub(super) fn end(&mut self, context: &mut EventLoopContext, key: usize, reason: &str) {
        let reply = match self.slots[key].machine.ended() {
            Some(Heard::Done(reply)) => reply,
            _ => Reply::with_outcome(AttemptOutcome::ConnectionReset),
        };
        self.lose(context, key, reason, reply);
    }

    /// Closes the connection; `reply` is what becomes of a job whose query was written whole.
    pub(super) fn lose(&mut self, context: &mut EventLoopContext, key: usize, reason: &str, reply: Reply) {
        let c = &self.slots[key];
        let (server, resting, written) = (c.server, c.up && !c.asked, c.written);
        let Some(job) = self.close(context, key, reason) else { return };
        if resting {
            self.take_up(context, server, job);
        } else {
            self.report(
                context,
                job,
                if written { reply } else { Reply::with_outcome(AttemptOutcome::ClosedBeforeExecution) },
            );
        }
    }

    /// No connection came up: no process listens, or nothing is heard of the machine.
    pub(super) fn unreachable(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        reason: &str,
        reply: Reply,
    ) {
        if let Some(job) = self.close(context, key, reason) {
            self.report(context, job, reply);
        }
    }

    /// Closes the connection and logs why. A job that it had is handed back without an outcome.
    pub(super) fn close(&mut self, context: &mut EventLoopContext, key: usize, reason: &str) -> Option<Job> {
        let mut c = self.slots.remove(key);
        let _ = context.registry.deregister(&mut c.stream);
        if let Some(keys) = self.idle.get_mut(&c.server) {
            keys.retain(|k| *k != key);
        }
        let state = if !c.up {
            "opening"
        } else if c.asked {
            "busy"
        } else {
            "idle"
        };
        info!(conn = "database", server = context.core.server_name(c.server), state, reason);
        c.job
    }

    pub(super) fn report(&mut self, context: &mut EventLoopContext, job: Job, reply: Reply) {
        match job {
            Job::Attempt { attempt, .. } => {
                self.attempts.remove(&attempt);
                context.core.attempt_completed(context.now, attempt, reply);
            }
            Job::Probe { server } => context.core.health_check_completed(context.now, server, &reply),
            Job::Check { server } => context.core.monitor_check_completed(context.now, server, &reply),
            Job::BackgroundQuery(errand) => self.done.push(errand.over(reply)),
        }
    }
}
