//! Assigns tasks to connections. In order of preference, a task gets an idle connection that has settled, another idle connection once
//! its rest has ended, or a new connection.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::{ConnectionKey, ConnectionSerial};
use super::super::timer_events::TimerEvent;
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::{Connection, ConnectionState, ConnectionTask};
use super::round_trip::COOLDOWN_MICROS;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Micros, ServerId};

/// An idle connection that was taken for a task.
enum IdleConnection {
    /// A query may be sent at once.
    Ready(ConnectionKey),
    /// A query may be sent once the cooldown is over.
    CoolingDown(ConnectionKey),
}

impl Pool {
    /// Assigns a task to a connection to `server`, or completes the task if no connection can be opened.
    pub(super) fn dispatch(
        &mut self,
        context: &mut EventLoopContext,
        server: ServerId,
        task: ConnectionTask,
    ) {
        while let Some(idle) = self.take_idle(context, server) {
            match idle {
                IdleConnection::CoolingDown(key) => return self.assign_after_cooldown(context, key, task),
                IdleConnection::Ready(key) => {
                    if self.verify_usable(context, key) == ConnectionState::Open {
                        return self.send_query(context, key, task);
                    }
                }
            }
        }
        match self.open_connection(context, server) {
            Ok(key) => self.assign_when_established(context, key, task),
            Err(error) => self.complete_task(context, task, error.reply()),
        }
    }

    /// Takes an idle connection to a server, if there is one.
    fn take_idle(&mut self, context: &EventLoopContext, server: ServerId) -> Option<IdleConnection> {
        let index = self.choose_idle(context, server)?;
        let key = self.idle.get_mut(&server)?.remove(index);
        Some(if self.rest_ends_at(context, key) <= context.now {
            IdleConnection::Ready(key)
        } else {
            IdleConnection::CoolingDown(key)
        })
    }

    /// Returns the position of the idle connection to use: the most recently used one that has settled, else the one whose rest ended
    /// first. If all have still to rest, the most recently used one, or the one whose rest ends first if that one rests longer than usual.
    fn choose_idle(&self, context: &EventLoopContext, server: ServerId) -> Option<usize> {
        let keys = self.idle.get(&server)?;
        let settled_since = context.now - self.round_trips.settling_time(server);
        let settled = keys.iter().rposition(|key| self.connections[*key].idle_since <= settled_since);
        if settled.is_some() {
            return settled;
        }
        let rest_ends_at = |index: usize| self.rest_ends_at(context, keys[index]);
        let first_rested = (0..keys.len()).min_by_key(|index| rest_ends_at(*index))?;
        let last = keys.len() - 1;
        let all_rest = rest_ends_at(first_rested) > context.now;
        let last_rests_shortly = rest_ends_at(last) <= context.now + COOLDOWN_MICROS;
        Some(if all_rest && last_rests_shortly { last } else { first_rested })
    }

    /// Returns when a connection has rested after its last reply: no later than another one might take to open.
    fn rest_ends_at(&self, context: &EventLoopContext, key: ConnectionKey) -> Micros {
        let connection = &self.connections[key];
        connection.idle_since + self.round_trips.rest(connection, context.now).min(self.connect_timeout)
    }

    /// Assigns a task whose query is sent once the connection's cooldown is over.
    pub(super) fn assign_after_cooldown(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        task: ConnectionTask,
    ) {
        let rest_ends_at = self.rest_ends_at(context, key);
        let serial = self.connections[key].serial;
        context.timers.set(rest_ends_at, TimerEvent::CooldownEnded(key, serial));
        self.assign(key, task);
    }

    /// Assigns a task whose query is sent once the connection is established. The connect timeout limits the wait.
    fn assign_when_established(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        task: ConnectionTask,
    ) {
        let serial = self.connections[key].serial;
        context.timers.set(context.now + self.connect_timeout, TimerEvent::ConnectTimeout(key, serial));
        self.assign(key, task);
    }

    /// Records the connection's task, and for an attempt the connection's key.
    fn assign(&mut self, key: ConnectionKey, task: ConnectionTask) {
        if let ConnectionTask::Attempt(task) = &task {
            self.attempt_connections.insert(task.attempt, key);
        }
        self.connections[key].task = Some(task);
    }

    /// Reads a connection right before a query is written to it, and closes the connection if it has ended or holds unexpected
    /// data. The end may have arrived with the event that is being handled; a query written after the end would count as one
    /// that may have run.
    fn verify_usable(&mut self, context: &mut EventLoopContext, key: ConnectionKey) -> ConnectionState {
        if self.read(context, key) == ConnectionState::Closed {
            return ConnectionState::Closed;
        }
        if self.connections[key].protocol.is_idle() {
            return ConnectionState::Open;
        }
        self.close(context, key, DatabaseCloseReason::UnexpectedData);
        ConnectionState::Closed
    }

    /// Sends the query of a task that waited for the end of the connection's cooldown, if there is one.
    pub(crate) fn cooldown_ended(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        serial: ConnectionSerial,
    ) {
        let still_cooling_down =
            |connection: &&mut Connection| connection.serial == serial && connection.is_cooling_down();
        let Some(connection) = self.connections.get_mut(key).filter(still_cooling_down) else { return };
        let (server, address) = (connection.server, connection.address);
        let Some(task) = connection.task.take() else { return };
        if context.core.address(server) != Some(address) {
            self.close(context, key, DatabaseCloseReason::Moved);
            self.reassign(context, server, task);
        } else if self.verify_usable(context, key) == ConnectionState::Open {
            self.send_query(context, key, task);
        } else {
            self.reassign(context, server, task);
        }
    }

    /// Assigns a task whose connection was lost during the cooldown to another connection. A background query that has begun is
    /// completed instead, since all its statements run on one connection.
    pub(super) fn reassign(
        &mut self,
        context: &mut EventLoopContext,
        server: ServerId,
        task: ConnectionTask,
    ) {
        match &task {
            ConnectionTask::BackgroundQuery(query) if query.has_begun() => {
                self.complete_task(context, task, Reply::with_outcome(AttemptOutcome::ClosedBeforeExecution));
            }
            _ => self.dispatch(context, server, task),
        }
    }
}
