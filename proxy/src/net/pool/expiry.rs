//! What a connection's time runs out for: attempts that are given up, connects and probes that take too long, idle ones, and
//! long values that stand still.

use super::super::event_loop_context::EventLoopContext;
use super::{Connection, Job, Pool};
use crate::core::AttemptId;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Micros, ServerId};

/// A database that has begun a long value and sends no more of it for so long has failed.
const STANDSTILL: Micros = 10_000_000;

impl Pool {
    /// Gives an attempt up: its connection is closed, for an answer may still come on it.
    pub fn stop(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        self.give_up(context, attempt, AttemptOutcome::Cancelled, "cancelled");
    }

    /// The attempt's time is over.
    pub fn overdue(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        self.give_up(context, attempt, AttemptOutcome::Timeout, "timeout");
    }

    fn give_up(
        &mut self,
        context: &mut EventLoopContext,
        attempt: AttemptId,
        ending: AttemptOutcome,
        reason: &str,
    ) {
        let Some(key) = self.attempts.get(&attempt).copied() else { return };
        if ending == AttemptOutcome::Timeout && self.slots[key].machine.streaming() {
            return;
        }
        let written = self.slots[key].written;
        if !self.slots[key].asked {
            // The connection is still being opened, or rests, and may serve another.
            let job = self.slots[key].job.take();
            if self.slots[key].up {
                self.settle(context, key);
            }
            if let Some(job) = job {
                self.report(context, job, Reply::with_outcome(AttemptOutcome::NotSent));
            }
            return;
        }
        if let Some(job) = self.close(context, key, reason) {
            self.report(
                context,
                job,
                Reply::with_outcome(if written { ending } else { AttemptOutcome::NotSent }),
            );
        }
    }

    pub fn connect_overdue(&mut self, context: &mut EventLoopContext, key: usize, serial: u64) {
        if self.slots.get(key).is_some_and(|c| c.serial == serial && !c.up) {
            self.unreachable(
                context,
                key,
                "connect-timeout",
                Reply::with_outcome(AttemptOutcome::ConnectFailed),
            );
        }
    }

    pub fn probe_overdue(&mut self, context: &mut EventLoopContext, key: usize, turn: u64) {
        let probing = |c: &Connection| {
            c.turn == turn
                && matches!(c.job, Some(Job::Probe { .. } | Job::Check { .. } | Job::BackgroundQuery(_)))
        };
        if self.slots.get(key).is_some_and(probing)
            && let Some(job) = self.close(context, key, "timeout")
        {
            self.report(context, job, Reply::with_outcome(AttemptOutcome::Timeout));
        }
    }

    /// Closes connections that have been idle for long, and those that stand still within a long value.
    pub fn sweep(&mut self, context: &mut EventLoopContext) {
        let stands =
            |c: &Connection| c.machine.streaming() && !c.paused && context.now - c.moved_at >= STANDSTILL;
        let still: Vec<usize> = self.slots.iter().filter(|(_, c)| stands(c)).map(|(key, _)| key).collect();
        for key in still {
            self.lose(context, key, "standstill", Reply::with_outcome(AttemptOutcome::ConnectionReset));
        }
        self.idle.retain(|_, keys| !keys.is_empty());
        let old = |k: &&usize| context.now - self.slots[**k].idle_since >= self.idle_limit;
        let old: Vec<usize> = self.idle.values().flatten().filter(old).copied().collect();
        for key in old {
            self.close(context, key, "idle");
        }
    }

    /// The server moved or left: its idle connections are of no more use.
    pub fn moved(&mut self, context: &mut EventLoopContext, server: ServerId) {
        for key in self.idle.remove(&server).unwrap_or_default() {
            self.close(context, key, "moved");
        }
    }
}
