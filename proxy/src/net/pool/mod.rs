//! The pool of connections to databases. Connections are opened when attempts, checks and background queries need them, and are
//! kept for reuse until they have been idle too long. Each has at most one query in flight.

mod background_queries;
mod close_reason;
mod closing;
mod connection;
mod connection_table;
mod deferred_replies;
mod dispatch;
mod expiry;
mod opening;
mod query;
mod reply_identity;
mod responses;
mod round_trip;
mod socket_io;
#[cfg(test)]
mod test_attempt;
#[cfg(test)]
mod tests;

use super::event_loop_context::EventLoopContext;
use super::ids::{ConnectionKey, ConnectionSerial, QuerySerial};
use super::statement_payload::StatementPayload;
use super::timer_events::TimerEvent;
use crate::background_query::BackgroundQueryResult;
use crate::core::AttemptId;
use crate::memory::HeldBytes;
use crate::pg::load_report::LoadReportFormat;
use birchreach::{LoadReportSource, Micros, ServerId};
use birchreach_settings::DeploymentSettings;
use connection::{AttemptTask, ConnectionTask};
use connection_table::ConnectionTable;
use deferred_replies::DeferredReplies;
use round_trip::RoundTrips;
use rustc_hash::FxHashMap;

/// Idle connections are kept for this fraction of the time after which databases close them, so that no query is sent while the
/// database closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// The connections to all databases, and the settings that apply to them.
pub(super) struct Pool {
    connections: ConnectionTable,
    /// Idle connections by server, in the order in which they became idle. Of those that have settled the last one is taken first, so
    /// that connections that are not needed reach the idle timeout and are closed.
    idle: FxHashMap<ServerId, Vec<ConnectionKey>>,
    /// The connection of each attempt that has not completed.
    attempt_connections: FxHashMap<AttemptId, ConnectionKey>,
    round_trips: RoundTrips,
    deferred_replies: DeferredReplies,
    max_connections: usize,
    /// The system had no free descriptor, and no connection was idle that could be closed.
    descriptors_exhausted: bool,
    last_connection: ConnectionSerial,
    last_query: QuerySerial,
    /// The timeout for establishing a connection, and for a health check on an established one.
    connect_timeout: Micros,
    /// The timeout for a check of the health monitor on an established connection.
    monitor_check_timeout: Micros,
    /// Connections that have been idle for this time are closed. See `IDLE_TIMEOUT_FRACTION`.
    idle_timeout: Micros,
    load_report_format: LoadReportFormat,
    completed_queries: Vec<BackgroundQueryResult>,
}

impl Pool {
    /// Creates a pool without connections. It keeps at most `max_connections` open at a time.
    pub(super) fn new(settings: &DeploymentSettings, max_connections: usize) -> Pool {
        let mut pool = Pool {
            connections: ConnectionTable::default(),
            idle: FxHashMap::default(),
            attempt_connections: FxHashMap::default(),
            round_trips: RoundTrips::default(),
            deferred_replies: DeferredReplies::default(),
            max_connections,
            descriptors_exhausted: false,
            last_connection: ConnectionSerial::default(),
            last_query: QuerySerial::default(),
            connect_timeout: 0,
            monitor_check_timeout: 0,
            idle_timeout: 0,
            load_report_format: LoadReportFormat::default(),
            completed_queries: Vec::new(),
        };
        pool.apply_settings(settings);
        pool
    }

    /// Applies the timeouts, and the load report format of connections that are opened later.
    pub(super) fn apply_settings(&mut self, settings: &DeploymentSettings) {
        let field_name =
            |index: Option<usize>| index.and_then(|index| settings.load_report_fields.get(index).cloned());
        self.connect_timeout = settings.routing.connect_timeout.max(1);
        self.idle_timeout = (settings.connection_idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Micros;
        self.load_report_format = LoadReportFormat {
            position_field: field_name(settings.load_report_position_index),
            role_field: field_name(settings.load_report_role_index),
            in_responses: settings.routing.load_reports == LoadReportSource::Responses,
        };
    }

    /// Returns the number of connections, whether opening, busy or idle.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes that the connections hold. Statements are those of the clients, which hold them too.
    pub(super) fn held_bytes(&self) -> HeldBytes {
        let mut held = HeldBytes::default();
        for (_, connection) in self.connections.iter() {
            held.input += connection.protocol.input_bytes();
            held.output += connection.protocol.outbox.held_bytes();
        }
        held
    }

    /// Sets the limit on the number of connections. Idle connections above the limit are closed.
    pub(super) fn set_limit(&mut self, context: &mut EventLoopContext, max_connections: usize) {
        self.max_connections = max_connections;
        while self.connections.len() > self.max_connections && self.evict_oldest_idle(context) {}
    }

    /// Sets the timeout for a check of the health monitor on an established connection.
    pub(super) fn set_monitor_check_timeout(&mut self, timeout: Micros) {
        self.monitor_check_timeout = timeout;
    }

    /// Starts an attempt at a client's request. The attempt times out at `deadline`; `from_copy` makes it read the server's copy.
    pub(super) fn start_attempt(
        &mut self,
        context: &mut EventLoopContext,
        attempt: AttemptId,
        server: ServerId,
        statement: StatementPayload,
        deadline: Micros,
        from_copy: bool,
    ) {
        context.timers.set(deadline, TimerEvent::AttemptTimeout(attempt));
        let task = AttemptTask { attempt, statement, deadline, from_copy };
        self.dispatch(context, server, ConnectionTask::Attempt(task));
    }

    /// Starts a health check for the router. Its result is reported to the router.
    pub(super) fn start_health_check(&mut self, context: &mut EventLoopContext, server: ServerId) {
        self.dispatch(context, server, ConnectionTask::HealthCheck { server });
    }

    /// Starts a check for the health monitor. Its result is not reported to the router.
    pub(super) fn start_monitor_check(&mut self, context: &mut EventLoopContext, server: ServerId) {
        self.dispatch(context, server, ConnectionTask::MonitorCheck { server });
    }
}
