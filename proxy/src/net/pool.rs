//! The connections to databases: opened as attempts and probes need them, kept while of use, each
//! with one query out at a time.

use super::Due;
use super::sources::Source;
use super::stream::{self, Ended};
use super::timers::Timers;
use crate::core::{Attempt, Core, Reply};
use crate::log::Quoted;
use crate::pg::backend::{Backend, Heard, ReportForm};
use crate::pg::statement::Statement;
use birchreach::{Ending, Micros, Reports, ServerId};
use birchreach_settings::Site;
use mio::net::TcpStream;
use mio::{Interest, Registry};
use slab::Slab;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::info;

pub type Work = Rc<Statement>;

/// What a connection was opened or taken for.
enum Job {
    Attempt {
        attempt: Attempt,
        work: Work,
        until: Micros,
    },
    Probe {
        server: ServerId,
    },
    /// A probe for the balancers' sake.
    Check {
        server: ServerId,
    },
}

struct Connection {
    stream: TcpStream,
    machine: Backend,
    server: ServerId,
    address: SocketAddr,
    /// Its own number, and that of its latest probe: places are used again, numbers are not.
    serial: u64,
    turn: u64,
    /// The startup exchange is over.
    up: bool,
    job: Option<Job>,
    /// The job's query has been handed to the machine, and whether its last byte is written.
    asked: bool,
    written: bool,
    idle_since: Micros,
    /// When more of a long value came, or could have been taken; and that no more is read until its client
    /// has taken what there was.
    moved_at: Micros,
    paused: bool,
}

pub struct Pool {
    slots: Slab<Connection>,
    /// Idle connections of each server; the one used last is taken first, so that those too many age.
    idle: HashMap<ServerId, Vec<usize>>,
    attempts: HashMap<Attempt, usize>,
    most: usize,
    /// The system had no socket to give, and no idle connection was there to make room.
    starved: bool,
    serial: u64,
    /// A probe on a connection that is up gets as long.
    connect_timeout: Micros,
    check_timeout: Micros,
    idle_limit: Micros,
    report: ReportForm,
}

/// Share of the idle time after which databases close that a connection is kept for: a request
/// must never cross with that end.
const IDLE_KEPT: f64 = 0.6;
/// A connection rests after an answer: what the database sends or does right behind it, a surplus or its
/// own close, must not meet the next query.
const REST: Micros = 1_000;
/// A database that has begun a long value and sends no more of it for so long has failed.
const STANDSTILL: Micros = 10_000_000;

impl Pool {
    pub fn new(site: &Site, most: usize) -> Pool {
        let mut pool = Pool {
            slots: Slab::new(),
            idle: HashMap::new(),
            attempts: HashMap::new(),
            most,
            starved: false,
            serial: 0,
            connect_timeout: 0,
            check_timeout: 0,
            idle_limit: 0,
            report: ReportForm::default(),
        };
        pool.settings(site);
        pool
    }

    /// Takes what the settings say of connections to databases.
    pub fn settings(&mut self, site: &Site) {
        let name = |place: Option<usize>| place.and_then(|p| site.report_names.get(p).cloned());
        self.connect_timeout = site.module.connect_timeout.max(1);
        self.idle_limit = (site.conn_idle as f64 * IDLE_KEPT) as Micros;
        self.report = ReportForm {
            position: name(site.report_position),
            role: name(site.report_role),
            in_answers: site.module.reports == Reports::Answers,
        };
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// So many places there are from now on; idle connections beyond them are closed.
    pub fn limit(&mut self, cx: &mut Cx, most: usize) {
        self.most = most;
        while self.slots.len() > self.most && self.evict(cx) {}
    }

    pub fn start(&mut self, cx: &mut Cx, attempt: Attempt, server: ServerId, work: Work, until: Micros) {
        cx.timers.set(until, Due::Attempt(attempt));
        self.take_up(cx, server, Job::Attempt { attempt, work, until });
    }

    pub fn probe(&mut self, cx: &mut Cx, server: ServerId) {
        self.take_up(cx, server, Job::Probe { server });
    }

    /// A probe that the decisions did not ask for, and are not told of.
    pub fn check(&mut self, cx: &mut Cx, server: ServerId) {
        self.take_up(cx, server, Job::Check { server });
    }

    /// How long such a probe may be out on a connection that is up.
    pub fn check_timeout(&mut self, timeout: Micros) {
        self.check_timeout = timeout;
    }

    fn take_up(&mut self, cx: &mut Cx, server: ServerId, job: Job) {
        while let Some((key, rested)) = self.take_idle(cx, server) {
            if !rested {
                // Sooner than a new connection could be up.
                let c = &mut self.slots[key];
                cx.timers.set(c.idle_since + REST, Due::Rested(key, c.serial));
                if let Job::Attempt { attempt, .. } = &job {
                    self.attempts.insert(*attempt, key);
                }
                c.job = Some(job);
                return;
            }
            if self.fit(cx, key) {
                self.ask(cx, key, job);
                return;
            }
        }
        match self.open(cx, server) {
            Ok(key) => {
                if let Job::Attempt { attempt, .. } = &job {
                    self.attempts.insert(*attempt, key);
                }
                let serial = self.slots[key].serial;
                cx.timers.set(cx.now + self.connect_timeout, Due::Connect(key, serial));
                self.slots[key].job = Some(job);
            }
            Err(reply) => self.report(cx, job, reply),
        }
    }

    /// The idle connection that was used last, but those that have rested before those that have not.
    fn take_idle(&mut self, cx: &Cx, server: ServerId) -> Option<(usize, bool)> {
        let keys = self.idle.get_mut(&server)?;
        match keys.iter().rposition(|k| cx.now - self.slots[*k].idle_since >= REST) {
            Some(at) => Some((keys.remove(at), true)),
            None => keys.pop().map(|key| (key, false)),
        }
    }

    /// A last look at a connection that is up, before a query is written to it: its end may have come in
    /// with the event that led here, and the query would count as one that may have run. False: it is gone.
    fn fit(&mut self, cx: &mut Cx, key: usize) -> bool {
        if !self.read(cx, key) {
            return false;
        }
        let clean = self.slots[key].machine.clean();
        if !clean {
            self.close(cx, key, "surplus");
        }
        clean
    }

    /// The connection has rested, and a job may wait for it.
    pub fn rested(&mut self, cx: &mut Cx, key: usize, serial: u64) {
        let waiting = |c: &&mut Connection| c.serial == serial && c.up && !c.asked;
        let Some(c) = self.slots.get_mut(key).filter(waiting) else { return };
        let (server, address) = (c.server, c.address);
        let Some(job) = c.job.take() else { return };
        if cx.core.address(server) != Some(address) {
            self.close(cx, key, "moved");
            self.take_up(cx, server, job);
        } else if self.fit(cx, key) {
            self.ask(cx, key, job);
        } else {
            self.take_up(cx, server, job);
        }
    }

    /// A new connection. Where there is no socket for it the server is not to blame, and nothing was sent.
    fn open(&mut self, cx: &mut Cx, server: ServerId) -> Result<usize, Reply> {
        let address = cx.core.address(server).ok_or_else(|| Reply::bare(Ending::ConnectFailed))?;
        if self.slots.len() >= self.most && !self.evict(cx) {
            return Err(Reply::bare(Ending::Moot));
        }
        let failed = |cx: &Cx, reason, error| {
            let server = cx.core.name(server);
            info!(conn = "database", server, state = "opening", reason, error = %Quoted(error));
        };
        let mut stream = match TcpStream::connect(address) {
            Ok(stream) => stream,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                failed(cx, "refused", e);
                return Err(Reply::refused());
            }
            Err(e) => {
                // Fewer than the limit told: one of our own makes room for the next.
                failed(cx, "no-socket", e);
                self.starved |= !self.evict(cx);
                return Err(Reply::bare(Ending::Moot));
            }
        };
        let _ = stream.set_nodelay(true);
        let slot = self.slots.vacant_entry();
        let key = slot.key();
        let token = Source::Database(key).token();
        if let Err(e) = cx.registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE) {
            failed(cx, "no-socket", e);
            return Err(Reply::bare(Ending::Moot));
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
            idle_since: cx.now,
            moved_at: cx.now,
            paused: false,
        });
        Ok(key)
    }

    /// Closes the connection that has been idle longest. False: none is idle.
    fn evict(&mut self, cx: &mut Cx) -> bool {
        let oldest = self.idle.values().filter_map(|keys| keys.first());
        let oldest = oldest.min_by_key(|k| self.slots[**k].idle_since).copied();
        oldest.map(|key| self.close(cx, key, "evicted")).is_some()
    }

    /// Somebody else must make room. Told once.
    pub fn starved(&mut self) -> bool {
        std::mem::take(&mut self.starved)
    }

    /// Writes the job's query to a connection that is up and idle.
    fn ask(&mut self, cx: &mut Cx, key: usize, job: Job) {
        let c = &mut self.slots[key];
        match &job {
            Job::Attempt { attempt, work, until } => {
                // Opening the connection took time: it may be over, or what was told since forbid the send.
                if *until <= cx.now || !cx.core.may_write(cx.now, *attempt) {
                    self.settle(cx, key);
                    self.report(cx, job, Reply::bare(Ending::Moot));
                    return;
                }
                c.machine.run(work, u64::try_from((until - cx.now) / 1000).unwrap_or(1).max(1));
                self.attempts.insert(*attempt, key);
            }
            Job::Probe { .. } | Job::Check { .. } => {
                c.machine.probe();
                self.serial += 1;
                c.turn = self.serial;
                let check = matches!(job, Job::Check { .. });
                let timeout = if check { self.check_timeout } else { self.connect_timeout };
                cx.timers.set(cx.now + timeout, Due::Probe(key, c.turn));
            }
        }
        (c.job, c.asked, c.written) = (Some(job), true, false);
        self.write(cx, key);
    }

    /// The connection has nothing to do: it waits for the next job.
    fn settle(&mut self, cx: &mut Cx, key: usize) {
        let c = &mut self.slots[key];
        (c.job, c.asked, c.written, c.idle_since) = (None, false, false, cx.now);
        if !c.machine.clean() {
            // More than its answer: nobody can tell any more which query the next bytes belong to.
            self.close(cx, key, "surplus");
        } else if cx.core.address(c.server) == Some(c.address) {
            self.idle.entry(c.server).or_default().push(key);
        } else {
            self.close(cx, key, "moved");
        }
    }

    pub fn ready(&mut self, cx: &mut Cx, key: usize) {
        if !self.slots.contains(key) {
            return;
        }
        if self.write(cx, key) {
            self.read(cx, key);
        }
    }

    /// False: the connection is gone.
    fn write(&mut self, cx: &mut Cx, key: usize) -> bool {
        let c = &mut self.slots[key];
        if !c.up && c.stream.peer_addr().is_err() {
            // Not connected yet, or refused: then no process listens. One that was reset was accepted first.
            match c.stream.take_error() {
                Ok(None) => return true,
                Ok(Some(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                    self.unreachable(cx, key, "refused", Reply::refused());
                }
                _ => self.end(cx, key, "reset"),
            }
            return false;
        }
        match stream::write(&mut c.stream, &mut c.machine.out) {
            Ok(all) => {
                if all && c.asked && !std::mem::replace(&mut c.written, true) {
                    cx.core.stats.tries += u64::from(matches!(c.job, Some(Job::Attempt { .. })));
                }
                true
            }
            Err(_) => {
                // What came before the break may be an answer or a refusal.
                if self.read(cx, key) {
                    self.end(cx, key, "reset");
                }
                false
            }
        }
    }

    /// False: the connection is gone.
    fn read(&mut self, cx: &mut Cx, key: usize) -> bool {
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
            let read = stream::read(&mut c.stream, cx.scratch, |bytes| {
                machine.feed(bytes);
                false
            });
            while let Some(heard) = self.slots.get_mut(key).and_then(|c| c.machine.next()) {
                if !self.hear(cx, key, heard) {
                    return false;
                }
            }
            match read {
                Ok(true) => return true,
                Ok(false) => {}
                Err(ended) => {
                    self.end(cx, key, if ended == Ended::Closed { "closed" } else { "reset" });
                    return false;
                }
            }
        }
    }

    /// False: the connection is gone.
    fn hear(&mut self, cx: &mut Cx, key: usize, heard: Heard) -> bool {
        let attempt = match self.slots[key].job {
            Some(Job::Attempt { attempt, .. }) => Some(attempt),
            _ => None,
        };
        match heard {
            Heard::Begun(length) => {
                self.slots[key].moved_at = cx.now;
                attempt.is_some_and(|attempt| cx.core.begun(cx.now, attempt, length)) || {
                    // Its request has its answer already: nobody wants this one.
                    attempt.into_iter().for_each(|attempt| self.stop(cx, attempt));
                    false
                }
            }
            Heard::Piece(bytes) => {
                let c = &mut self.slots[key];
                // A bounded piece at a time, and the next once the client has taken it.
                (c.paused, c.moved_at) = (c.machine.streaming(), cx.now);
                if let Some(attempt) = attempt {
                    cx.core.piece(attempt, bytes);
                }
                true
            }
            Heard::Ready => {
                self.slots[key].up = true;
                cx.core.alive(cx.now, self.slots[key].server);
                match self.slots[key].job.take() {
                    Some(job) => self.ask(cx, key, job),
                    None => self.settle(cx, key),
                }
                self.slots.contains(key)
            }
            Heard::Done(reply) => {
                let job = self.slots[key].job.take();
                self.settle(cx, key);
                if let Some(job) = job {
                    self.report(cx, job, reply);
                }
                self.slots.contains(key)
            }
            Heard::TurnedAway(reply) => {
                // 53300 is a database that is full; all else means that there is no connection to be had.
                let ending = if reply.ending == Ending::Full { Ending::Full } else { Ending::Broken };
                if let Some(job) = self.close(cx, key, "turned-away") {
                    self.report(cx, job, Reply { ending, ..reply });
                }
                false
            }
            Heard::Nonsense => {
                // The query has run and its answer is lost, but its server lives.
                self.lose(cx, key, "nonsense", Reply::bare(Ending::Error));
                false
            }
        }
    }

    /// The connection broke, or is given up. Whether the job may have run turns on whether the last
    /// byte of its query was written.
    fn end(&mut self, cx: &mut Cx, key: usize, reason: &str) {
        let reply = match self.slots[key].machine.ended() {
            Some(Heard::Done(reply)) => reply,
            _ => Reply::bare(Ending::Reset),
        };
        self.lose(cx, key, reason, reply);
    }

    /// Closes the connection; `reply` is what becomes of a job whose query was written whole.
    fn lose(&mut self, cx: &mut Cx, key: usize, reason: &str, reply: Reply) {
        let c = &self.slots[key];
        let (server, resting, written) = (c.server, c.up && !c.asked, c.written);
        let Some(job) = self.close(cx, key, reason) else { return };
        if resting {
            self.take_up(cx, server, job);
        } else {
            self.report(cx, job, if written { reply } else { Reply::bare(Ending::Broken) });
        }
    }

    /// No connection came up: no process listens, or nothing is heard of the machine.
    fn unreachable(&mut self, cx: &mut Cx, key: usize, reason: &str, reply: Reply) {
        if let Some(job) = self.close(cx, key, reason) {
            self.report(cx, job, reply);
        }
    }

    /// Closes the connection and logs why. A job that it had is handed back without an outcome.
    fn close(&mut self, cx: &mut Cx, key: usize, reason: &str) -> Option<Job> {
        let mut c = self.slots.remove(key);
        let _ = cx.registry.deregister(&mut c.stream);
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
        info!(conn = "database", server = cx.core.name(c.server), state, reason);
        c.job
    }

    fn report(&mut self, cx: &mut Cx, job: Job, reply: Reply) {
        match job {
            Job::Attempt { attempt, .. } => {
                self.attempts.remove(&attempt);
                cx.core.outcome(cx.now, attempt, reply);
            }
            Job::Probe { server } => cx.core.probed(cx.now, server, &reply),
            Job::Check { server } => cx.core.checked(cx.now, server, &reply),
        }
    }

    /// Gives an attempt up: its connection is closed, for an answer may still come on it.
    pub fn stop(&mut self, cx: &mut Cx, attempt: Attempt) {
        self.give_up(cx, attempt, Ending::Cancelled, "cancelled");
    }

    /// The attempt's time is over.
    pub fn overdue(&mut self, cx: &mut Cx, attempt: Attempt) {
        self.give_up(cx, attempt, Ending::Timeout, "timeout");
    }

    fn give_up(&mut self, cx: &mut Cx, attempt: Attempt, ending: Ending, reason: &str) {
        let Some(key) = self.attempts.get(&attempt).copied() else { return };
        if ending == Ending::Timeout && self.slots[key].machine.streaming() {
            return;
        }
        let written = self.slots[key].written;
        if !self.slots[key].asked {
            // The connection is still being opened, or rests, and may serve another.
            let job = self.slots[key].job.take();
            if self.slots[key].up {
                self.settle(cx, key);
            }
            if let Some(job) = job {
                self.report(cx, job, Reply::bare(Ending::Moot));
            }
            return;
        }
        if let Some(job) = self.close(cx, key, reason) {
            self.report(cx, job, Reply::bare(if written { ending } else { Ending::Moot }));
        }
    }

    pub fn connect_overdue(&mut self, cx: &mut Cx, key: usize, serial: u64) {
        if self.slots.get(key).is_some_and(|c| c.serial == serial && !c.up) {
            self.unreachable(cx, key, "connect-timeout", Reply::bare(Ending::ConnectFailed));
        }
    }

    pub fn probe_overdue(&mut self, cx: &mut Cx, key: usize, turn: u64) {
        let probing =
            |c: &Connection| c.turn == turn && matches!(c.job, Some(Job::Probe { .. } | Job::Check { .. }));
        if self.slots.get(key).is_some_and(probing)
            && let Some(job) = self.close(cx, key, "timeout")
        {
            self.report(cx, job, Reply::bare(Ending::Timeout));
        }
    }

    /// The client has taken what there was of a long value.
    pub fn more(&mut self, cx: &mut Cx, attempt: Attempt) {
        let Some(key) = self.attempts.get(&attempt).copied() else { return };
        let c = &mut self.slots[key];
        (c.paused, c.moved_at) = (false, cx.now);
        self.read(cx, key);
    }

    /// Closes connections that have been idle for long, and those that stand still within a long value.
    pub fn sweep(&mut self, cx: &mut Cx) {
        let stands = |c: &Connection| c.machine.streaming() && !c.paused && cx.now - c.moved_at >= STANDSTILL;
        let still: Vec<usize> = self.slots.iter().filter(|(_, c)| stands(c)).map(|(key, _)| key).collect();
        for key in still {
            self.lose(cx, key, "standstill", Reply::bare(Ending::Reset));
        }
        self.idle.retain(|_, keys| !keys.is_empty());
        let old = |k: &&usize| cx.now - self.slots[**k].idle_since >= self.idle_limit;
        let old: Vec<usize> = self.idle.values().flatten().filter(old).copied().collect();
        for key in old {
            self.close(cx, key, "idle");
        }
    }

    /// The server moved or left: its idle connections are of no more use.
    pub fn moved(&mut self, cx: &mut Cx, server: ServerId) {
        for key in self.idle.remove(&server).unwrap_or_default() {
            self.close(cx, key, "moved");
        }
    }
}

/// What the pool needs of the loop.
pub struct Cx<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub timers: &'a mut Timers<Due>,
    pub core: &'a mut Core<Work>,
    pub scratch: &'a mut [u8],
}
