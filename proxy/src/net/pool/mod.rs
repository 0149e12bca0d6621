//! The connections to databases: opened as attempts and probes need them, kept while of use, each
//! with one query out at a time.

mod background_queries;
mod expiry;
mod opening;
mod query;
mod responses;

use super::TimerEvent;
use super::event_loop_context::EventLoopContext;
use super::stream;
use crate::core::{self, AttemptId};
use crate::pg::backend::Backend;
use crate::pg::report::LoadReportFormat;
use crate::pg::statement::Statement;
use crate::reply::Reply;
use background_queries::BackgroundQuery;
pub use background_queries::CompletedQuery;
use birchreach::{LoadReportSource, Micros, ServerId};
use birchreach_settings::DeploymentSettings;
use mio::net::TcpStream;
use slab::Slab;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

pub type SharedStatement = Rc<Statement>;

impl core::RequestPayload for SharedStatement {
    fn key(&self) -> &[u8] {
        Statement::key(self)
    }
}

/// What a connection was opened or taken for.
enum ConnectionTask {
    Attempt {
        attempt: AttemptId,
        statement: SharedStatement,
        deadline: Micros,
        /// The server's copy is asked for.
        from_copy: bool,
    },
    HealthCheck {
        server: ServerId,
    },
    /// A probe for the balancers' sake.
    MonitorCheck {
        server: ServerId,
    },
    /// Work that no client waits for.
    BackgroundQuery(BackgroundQuery),
}

struct Connection {
    stream: TcpStream,
    protocol: Backend,
    server: ServerId,
    address: SocketAddr,
    /// Its own number, and that of its latest probe: places are used again, numbers are not.
    serial: u64,
    query_serial: u64,
    /// The startup exchange is over.
    established: bool,
    task: Option<ConnectionTask>,
    /// The job's query has been handed to the machine, and whether its last byte is written.
    query_queued: bool,
    query_written: bool,
    idle_since: Micros,
    /// When more of a long value came, or could have been taken; and that no more is read until its client
    /// has taken what there was.
    last_progress_at: Micros,
    reading_paused: bool,
}

pub struct Pool {
    connections: Slab<Connection>,
    /// Idle connections of each server; the one used last is taken first, so that those too many age.
    idle: HashMap<ServerId, Vec<usize>>,
    attempt_connections: HashMap<AttemptId, usize>,
    max_connections: usize,
    /// The system had no socket to give, and no idle connection was there to make room.
    descriptors_exhausted: bool,
    last_serial: u64,
    /// A probe on a connection that is up gets as long.
    connect_timeout: Micros,
    monitor_check_timeout: Micros,
    idle_limit: Micros,
    report_form: LoadReportFormat,
    /// BackgroundQueries that are over.
    completed_queries: Vec<CompletedQuery>,
}

/// Share of the idle time after which databases close that a connection is kept for: a request
/// must never cross with that end.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

impl Pool {
    pub fn new(site: &DeploymentSettings, most: usize) -> Pool {
        let mut pool = Pool {
            connections: Slab::new(),
            idle: HashMap::new(),
            attempt_connections: HashMap::new(),
            max_connections: most,
            descriptors_exhausted: false,
            last_serial: 0,
            connect_timeout: 0,
            monitor_check_timeout: 0,
            idle_limit: 0,
            report_form: LoadReportFormat::default(),
            completed_queries: Vec::new(),
        };
        pool.apply_settings(site);
        pool
    }

    /// Takes what the settings say of connections to databases.
    pub fn apply_settings(&mut self, site: &DeploymentSettings) {
        let name = |place: Option<usize>| place.and_then(|p| site.load_report_fields.get(p).cloned());
        self.connect_timeout = site.routing.connect_timeout.max(1);
        self.idle_limit = (site.connection_idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
        self.report_form = LoadReportFormat {
            position_field: name(site.load_report_position_index),
            role_field: name(site.load_report_role_index),
            in_responses: site.routing.load_reports == LoadReportSource::Responses,
        };
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// So many places there are from now on; idle connections beyond them are closed.
    pub fn set_limit(&mut self, context: &mut EventLoopContext, most: usize) {
        self.max_connections = most;
        while self.connections.len() > self.max_connections && self.evict_oldest_idle(context) {}
    }

    pub fn start_attempt(
        &mut self,
        context: &mut EventLoopContext,
        attempt: AttemptId,
        server: ServerId,
        work: SharedStatement,
        until: Micros,
        copy: bool,
    ) {
        context.timers.set(until, TimerEvent::AttemptTimeout(attempt));
        self.dispatch(
            context,
            server,
            ConnectionTask::Attempt { attempt, statement: work, deadline: until, from_copy: copy },
        );
    }

    pub fn start_health_check(&mut self, context: &mut EventLoopContext, server: ServerId) {
        self.dispatch(context, server, ConnectionTask::HealthCheck { server });
    }

    /// A probe that the decisions did not ask for, and are not told of.
    pub fn start_monitor_check(&mut self, context: &mut EventLoopContext, server: ServerId) {
        self.dispatch(context, server, ConnectionTask::MonitorCheck { server });
    }

    /// How long such a probe may be out on a connection that is up.
    pub fn set_monitor_check_timeout(&mut self, timeout: Micros) {
        self.monitor_check_timeout = timeout;
    }

    pub fn handle_ready(&mut self, context: &mut EventLoopContext, key: usize) {
        if !self.connections.contains(key) {
            return;
        }
        if self.write(context, key) {
            self.read(context, key);
        }
    }

    /// False: the connection is gone.
    fn write(&mut self, context: &mut EventLoopContext, key: usize) -> bool {
        let c = &mut self.connections[key];
        if !c.established && c.stream.peer_addr().is_err() {
            // Not connected yet, or refused: then no process listens. One that was reset was accepted first.
            match c.stream.take_error() {
                Ok(None) => return true,
                Ok(Some(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                    self.connect_failed(context, key, "refused", Reply::connection_refused());
                }
                _ => self.connection_ended(context, key, "reset"),
            }
            return false;
        }
        match stream::write(&mut c.stream, &mut c.protocol.out) {
            Ok(all) => {
                if all && c.query_queued && !std::mem::replace(&mut c.query_written, true) {
                    context.core.stats.attempts +=
                        u64::from(matches!(c.task, Some(ConnectionTask::Attempt { .. })));
                }
                true
            }
            Err(_) => {
                // What came before the break may be an answer or a refusal.
                if self.read(context, key) {
                    self.connection_ended(context, key, "reset");
                }
                false
            }
        }
    }

    /// The client has taken what there was of a long value.
    pub fn resume_reading(&mut self, context: &mut EventLoopContext, attempt: AttemptId) {
        let Some(key) = self.attempt_connections.get(&attempt).copied() else { return };
        let c = &mut self.connections[key];
        (c.reading_paused, c.last_progress_at) = (false, context.now);
        self.read(context, key);
    }
}
