//! What comes back on a connection, and how it ends: each job has one outcome, and whether it may have run turns on whether the
//! last byte of its query was written.

use super::super::event_loop_context::EventLoopContext;
use super::super::stream::{self, Ended};
use super::{ConnectionTask, Pool};
use crate::pg::backend::BackendEvent;
use crate::reply::Reply;
use birchreach::AttemptOutcome;
use tracing::info;

impl Pool {
    /// False: the connection is gone.
    pub(super) fn read(&mut self, context: &mut EventLoopContext, key: usize) -> bool {
        let c = &mut self.connections[key];
        if !c.established && c.stream.peer_addr().is_err() {
            return true;
        }
        loop {
            let Some(c) = self.connections.get_mut(key) else { return false };
            if c.reading_paused {
                return true;
            }
            // A piece at a time: what has come is decoded before more is kept.
            let machine = &mut c.protocol;
            let read = stream::read(&mut c.stream, context.scratch, |bytes| {
                machine.feed(bytes);
                false
            });
            while let Some(heard) = self.connections.get_mut(key).and_then(|c| c.protocol.next_event()) {
                if !self.handle_event(context, key, heard) {
                    return false;
                }
            }
            match read {
                Ok(true) => return true,
                Ok(false) => {}
                Err(ended) => {
                    self.connection_ended(
                        context,
                        key,
                        if ended == Ended::Closed { "closed" } else { "reset" },
                    );
                    return false;
                }
            }
        }
    }

    /// False: the connection is gone.
    fn handle_event(&mut self, context: &mut EventLoopContext, key: usize, heard: BackendEvent) -> bool {
        let attempt = match self.connections[key].task {
            Some(ConnectionTask::Attempt { attempt, .. }) => Some(attempt),
            _ => None,
        };
        match heard {
            BackendEvent::ValueStarted(length) => {
                self.connections[key].last_progress_at = context.now;
                attempt.is_some_and(|attempt| context.core.response_started(context.now, attempt, length))
                    || {
                        // Its request has its answer already: nobody wants this one.
                        attempt.into_iter().for_each(|attempt| self.cancel_attempt(context, attempt));
                        false
                    }
            }
            BackendEvent::ValueChunk(bytes) => {
                let c = &mut self.connections[key];
                // A bounded piece at a time, and the next once the client has taken it.
                (c.reading_paused, c.last_progress_at) = (c.protocol.is_streaming(), context.now);
                if let Some(attempt) = attempt {
                    context.core.response_chunk(attempt, bytes);
                }
                true
            }
            BackendEvent::Ready => {
                self.connections[key].established = true;
                let (server, address) = (self.connections[key].server, self.connections[key].address);
                context.core.server_alive(context.now, server);
                match self.connections[key].task.take() {
                    Some(job) if context.core.address(server) != Some(address) => {
                        // The server moved while its connection was opened: nothing more goes to where it was.
                        self.close(context, key, "moved");
                        self.dispatch(context, server, job);
                    }
                    Some(job) => self.send_query(context, key, job),
                    None => self.return_to_idle(context, key),
                }
                self.connections.contains(key)
            }
            BackendEvent::QueryCompleted(reply) => {
                let job = self.connections[key].task.take();
                let (job, reply) = match self.continue_background_query(context, key, job, reply) {
                    None => return self.connections.contains(key),
                    Some(over) => over,
                };
                self.return_to_idle(context, key);
                if let Some(job) = job {
                    self.complete_task(context, job, reply);
                }
                self.connections.contains(key)
            }
            BackendEvent::Rejected(reply) => {
                // 53300 is a database that is full; all else means that there is no connection to be had.
                let ending = if reply.outcome == AttemptOutcome::Overloaded {
                    AttemptOutcome::Overloaded
                } else {
                    AttemptOutcome::ClosedBeforeExecution
                };
                if let Some(job) = self.close(context, key, "turned-away") {
                    self.complete_task(context, job, Reply { outcome: ending, ..reply });
                }
                false
            }
            BackendEvent::ProtocolError => {
                // The query has run and its answer is lost, but its server lives.
                self.fail_connection(context, key, "nonsense", Reply::with_outcome(AttemptOutcome::Error));
                false
            }
        }
    }

    /// The connection broke, or is given up. Whether the job may have run turns on whether the last
    /// byte of its query was written.
    pub(super) fn connection_ended(&mut self, context: &mut EventLoopContext, key: usize, reason: &str) {
        let reply = match self.connections[key].protocol.connection_ended() {
            Some(BackendEvent::QueryCompleted(reply)) => reply,
            _ => Reply::with_outcome(AttemptOutcome::ConnectionReset),
        };
        self.fail_connection(context, key, reason, reply);
    }

    /// Closes the connection; `reply` is what becomes of a job whose query was written whole.
    pub(super) fn fail_connection(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        reason: &str,
        reply: Reply,
    ) {
        let c = &self.connections[key];
        let (server, resting, written) = (c.server, c.established && !c.query_queued, c.query_written);
        let Some(job) = self.close(context, key, reason) else { return };
        if resting {
            self.dispatch(context, server, job);
        } else {
            self.complete_task(
                context,
                job,
                if written { reply } else { Reply::with_outcome(AttemptOutcome::ClosedBeforeExecution) },
            );
        }
    }

    /// No connection came up: no process listens, or nothing is heard of the machine.
    pub(super) fn connect_failed(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        reason: &str,
        reply: Reply,
    ) {
        if let Some(job) = self.close(context, key, reason) {
            self.complete_task(context, job, reply);
        }
    }

    /// Closes the connection and logs why. A job that it had is handed back without an outcome.
    pub(super) fn close(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        reason: &str,
    ) -> Option<ConnectionTask> {
        let mut c = self.connections.remove(key);
        let _ = context.registry.deregister(&mut c.stream);
        if let Some(keys) = self.idle.get_mut(&c.server) {
            keys.retain(|k| *k != key);
        }
        let state = if !c.established {
            "opening"
        } else if c.query_queued {
            "busy"
        } else {
            "idle"
        };
        info!(conn = "database", server = context.core.server_name(c.server), state, reason);
        c.task
    }

    pub(super) fn complete_task(
        &mut self,
        context: &mut EventLoopContext,
        job: ConnectionTask,
        reply: Reply,
    ) {
        match job {
            ConnectionTask::Attempt { attempt, .. } => {
                self.attempt_connections.remove(&attempt);
                context.core.attempt_completed(context.now, attempt, reply);
            }
            ConnectionTask::HealthCheck { server } => {
                context.core.health_check_completed(context.now, server, &reply)
            }
            ConnectionTask::MonitorCheck { server } => {
                context.core.monitor_check_completed(context.now, server, &reply)
            }
            ConnectionTask::BackgroundQuery(errand) => self.completed_queries.push(errand.complete(reply)),
        }
    }
}
