//! The connections to databases: opened as attempts and probes need them, kept while of use, each
//! with one query out at a time.

mod background_queries;
mod expiry;
mod opening;
mod query;
mod responses;

use super::event_loop_context::EventLoopContext;
use super::statement_payload::StatementPayload;
use super::stream;
use super::timer_events::TimerEvent;
use crate::background_query::BackgroundQueryResult;
use crate::core::AttemptId;
use crate::pg::backend::Backend;
use crate::pg::report::ReportForm;
use crate::reply::Reply;
use background_queries::BackgroundQuery;
use birchreach::{LoadReportSource, Micros, ServerId};
use birchreach_settings::DeploymentSettings;
use mio::net::TcpStream;
use slab::Slab;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// What a connection was opened or taken for.
enum Job {
    Attempt {
        attempt: AttemptId,
        work: StatementPayload,
        until: Micros,
        /// The server's copy is asked for.
        copy: bool,
    },
    Probe {
        server: ServerId,
    },
    /// A probe for the balancers' sake.
    Check {
        server: ServerId,
    },
    /// Work that no client waits for.
    BackgroundQuery(BackgroundQuery),
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
    attempts: HashMap<AttemptId, usize>,
    most: usize,
    /// The system had no socket to give, and no idle connection was there to make room.
    starved: bool,
    serial: u64,
    /// A probe on a connection that is up gets as long.
    connect_timeout: Micros,
    check_timeout: Micros,
    idle_limit: Micros,
    report: ReportForm,
    /// BackgroundQueries that are over.
    done: Vec<BackgroundQueryResult>,
}

/// Share of the idle time after which databases close that a connection is kept for: a request
/// must never cross with that end.
const IDLE_KEPT: f64 = 0.6;

impl Pool {
    pub fn new(site: &DeploymentSettings, most: usize) -> Pool {
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
            done: Vec::new(),
        };
        pool.settings(site);
        pool
    }

    /// Takes what the settings say of connections to databases.
    pub fn settings(&mut self, site: &DeploymentSettings) {
        let name = |place: Option<usize>| place.and_then(|p| site.load_report_fields.get(p).cloned());
        self.connect_timeout = site.routing.connect_timeout.max(1);
        self.idle_limit = (site.connection_idle_timeout as f64 * IDLE_KEPT) as Micros;
        self.report = ReportForm {
            position: name(site.load_report_position_index),
            role: name(site.load_report_role_index),
            in_answers: site.routing.load_reports == LoadReportSource::Responses,
        };
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// So many places there are from now on; idle connections beyond them are closed.
    pub fn limit(&mut self, context: &mut EventLoopContext, most: usize) {
        self.most = most;
        while self.slots.len() > self.most && self.evict(context) {}
    }

    pub fn start(
        &mut self,
        context: &mut EventLoopContext,
        attempt: AttemptId,
        server: ServerId,
        work: StatementPayload,
        until: Micros,
        copy: bool,
    ) {
        context.timers.set(until, TimerEvent::AttemptTimeout(attempt));
        self.take_up(context, server, Job::Attempt { attempt, work, until, copy });
    }

    pub fn probe(&mut self, context: &mut EventLoopContext, server: ServerId) {
        self.take_up(context, server, Job::Probe { server });
    }

    /// A probe that the decisions did not ask for, and are not told of.
    pub fn check(&mut self, context: &mut EventLoopContext, server: ServerId) {
        self.take_up(context, server, Job::Check { server });
    }

    /// How long such a probe may be out on a connection that is up.
    pub fn check_timeout(&mut self, timeout: Micros) {
        self.check_timeout = timeout;
    }

    pub fn ready(&mut self, context: &mut EventLoopContext, key: usize) {
        if !self.slots.contains(key) {
            return;
        }
        if self.write(context, key) {
            self.read(context, key);
        }
    }

    /// False: the connection is gone.
    fn write(&mut self, context: &mut EventLoopContext, key: usize) -> bool {
        let c = &mut self.slots[key];
        if !c.up && c.stream.peer_addr().is_err() {
            // Not connected yet, or refused: then no process listens. One that was reset was accepted first.
            match c.stream.take_error() {
                Ok(None) => return true,
                Ok(Some(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                    self.unreachable(context, key, "refused", Reply::connection_refused());
                }
                _ => self.end(context, key, "reset"),
            }
            return false;
        }
        match stream::write(&mut c.stream, &mut c.machine.out) {
            Ok(all) => {
                if all && c.asked && !std::mem::replace(&mut c.written, true) {
                    context.core.stats.attempts += u64::from(matches!(c.job, Some(Job::Attempt { .. })));
                }
                true
            }
            Err(_) => {
                // What came before the break may be an answer or a refusal.
                if self.read(context, key) {
                    self.end(context, key, "reset");
                }
                false
            }
        }
    }

    /// The client has taken what there was of a long value.
    pub fn more(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        let Some(key) = self.attempts.get(&attempt).copied() else { return };
        let c = &mut self.slots[key];
        (c.paused, c.moved_at) = (false, context.now);
        self.read(context, key);
    }
}
