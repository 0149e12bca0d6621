//! Which connection a job gets: one that is idle and has rested, or a new one, within the places that there are.

use super::super::event_loop_context::EventLoopContext;
use super::super::sources::Source;
use super::super::timer_events::TimerEvent;
use super::{Connection, Job, Pool};
use crate::log::Quoted;
use crate::pg::backend::Backend;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Micros, ServerId};
use mio::Interest;
use mio::net::TcpStream;
use std::io::ErrorKind;
use tracing::info;

/// A connection rests after an answer: what the database sends or does right behind it, a surplus or its
/// own close, must not meet the next query.
const REST: Micros = 1_000;

impl Pool {
    pub(super) fn take_up(&mut self, context: &mut EventLoopContext, server: ServerId, job: Job) {
        while let Some((key, rested)) = self.take_idle(context, server) {
            if !rested {
                // Sooner than a new connection could be up.
                let c = &mut self.slots[key];
                context.timers.set(c.idle_since + REST, TimerEvent::ConnectionRested(key, c.serial));
                if let Job::Attempt { attempt, .. } = &job {
                    self.attempts.insert(*attempt, key);
                }
                c.job = Some(job);
                return;
            }
            if self.fit(context, key) {
                self.ask(context, key, job);
                return;
            }
        }
        match self.open(context, server) {
            Ok(key) => {
                if let Job::Attempt { attempt, .. } = &job {
                    self.attempts.insert(*attempt, key);
                }
                let serial = self.slots[key].serial;
                context
                    .timers
                    .set(context.now + self.connect_timeout, TimerEvent::ConnectTimeout(key, serial));
                self.slots[key].job = Some(job);
            }
            Err(reply) => self.report(context, job, reply),
        }
    }

    /// The idle connection that was used last, but those that have rested before those that have not.
    fn take_idle(&mut self, context: &EventLoopContext, server: ServerId) -> Option<(usize, bool)> {
        let keys = self.idle.get_mut(&server)?;
        match keys.iter().rposition(|k| context.now - self.slots[*k].idle_since >= REST) {
            Some(at) => Some((keys.remove(at), true)),
            None => keys.pop().map(|key| (key, false)),
        }
    }

    /// A last look at a connection that is up, before a query is written to it: its end may have come in
    /// with the event that led here, and the query would count as one that may have run. False: it is gone.
    fn fit(&mut self, context: &mut EventLoopContext, key: usize) -> bool {
        if !self.read(context, key) {
            return false;
        }
        let clean = self.slots[key].machine.clean();
        if !clean {
            self.close(context, key, "surplus");
        }
        clean
    }

    /// The connection has rested, and a job may wait for it.
    pub fn rested(&mut self, context: &mut EventLoopContext, key: usize, serial: u64) {
        let waiting = |c: &&mut Connection| c.serial == serial && c.up && !c.asked;
        let Some(c) = self.slots.get_mut(key).filter(waiting) else { return };
        let (server, address) = (c.server, c.address);
        let Some(job) = c.job.take() else { return };
        if context.core.address(server) != Some(address) {
            self.close(context, key, "moved");
            self.take_up(context, server, job);
        } else if self.fit(context, key) {
            self.ask(context, key, job);
        } else {
            self.take_up(context, server, job);
        }
    }

    /// A new connection. Where there is no socket for it the server is not to blame, and nothing was sent.
    fn open(&mut self, context: &mut EventLoopContext, server: ServerId) -> Result<usize, Reply> {
        let address =
            context.core.address(server).ok_or_else(|| Reply::with_outcome(AttemptOutcome::ConnectFailed))?;
        if self.slots.len() >= self.most && !self.evict(context) {
            return Err(Reply::with_outcome(AttemptOutcome::NotSent));
        }
        let failed = |context: &EventLoopContext, reason, error| {
            let server = context.core.server_name(server);
            info!(conn = "database", server, state = "opening", reason, error = %Quoted(error));
        };
        let mut stream = match TcpStream::connect(address) {
            Ok(stream) => stream,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                failed(context, "refused", e);
                return Err(Reply::connection_refused());
            }
            Err(e) => {
                // Fewer than the limit told: one of our own makes room for the next.
                failed(context, "no-socket", e);
                self.starved |= !self.evict(context);
                return Err(Reply::with_outcome(AttemptOutcome::NotSent));
            }
        };
        let _ = stream.set_nodelay(true);
        let slot = self.slots.vacant_entry();
        let key = slot.key();
        let token = Source::Database(key).token();
        if let Err(e) = context.registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)
        {
            failed(context, "no-socket", e);
            return Err(Reply::with_outcome(AttemptOutcome::NotSent));
        }
        self.serial += 1;
        slot.insert(Connection {
            stream,
            machine: Backend::new(self.report.clone()),
            server,
            address,
            serial: self.serial,
            turn: 0,
            up: false,
            job: None,
            asked: false,
            written: false,
            idle_since: context.now,
            moved_at: context.now,
            paused: false,
        });
        Ok(key)
    }

    /// Closes the connection that has been idle longest. False: none is idle.
    pub(super) fn evict(&mut self, context: &mut EventLoopContext) -> bool {
        let oldest = self.idle.values().filter_map(|keys| keys.first());
        let oldest = oldest.min_by_key(|k| self.slots[**k].idle_since).copied();
        oldest.map(|key| self.close(context, key, "evicted")).is_some()
    }

    /// Somebody else must make room. Told once.
    pub fn starved(&mut self) -> bool {
        std::mem::take(&mut self.starved)
    }
}
