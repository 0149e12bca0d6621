//! Which connection a task gets: an idle one whose cooldown is over, an idle one that is still cooling down, or a new one.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::{ConnectionKey, ConnectionSerial};
use super::super::timer_events::TimerEvent;
use super::Pool;
use super::close_reason::DatabaseCloseReason;
use super::connection::{Connection, ConnectionState, ConnectionTask};
use birchreach::{Micros, ServerId};

/// A connection is not used for this time after a response: unexpected data or a close that immediately follows the response must
/// not be taken for an answer to the next query.
const COOLDOWN_MICROS: Micros = 1_000;

/// An idle connection that was taken for a task.
enum IdleConnection {
    /// A query may be sent at once.
    Ready(ConnectionKey),
    /// A query may be sent once the cooldown is over.
    CoolingDown(ConnectionKey),
}

impl Pool {
    /// Gives a task to a connection of a server, or completes it if there can be none.
    pub(super) fn dispatch(
        &mut self,
        context: &mut EventLoopContext,
        server: ServerId,
        task: ConnectionTask,
    ) {
        while let Some(idle) = self.take_idle(context, server) {
            match idle {
                // The cooldown ends sooner than a new connection could be established.
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

    /// Takes the idle connection that was used last; one that is cooling down only if no other is idle.
    fn take_idle(&mut self, context: &EventLoopContext, server: ServerId) -> Option<IdleConnection> {
        let keys = self.idle.get_mut(&server)?;
        let has_cooled_down =
            |key: &ConnectionKey| context.now - self.connections[*key].idle_since >= COOLDOWN_MICROS;
        match keys.iter().rposition(has_cooled_down) {
            Some(index) => Some(IdleConnection::Ready(keys.remove(index))),
            None => keys.pop().map(IdleConnection::CoolingDown),
        }
    }

    /// Assigns a task whose query is sent once the connection's cooldown is over.
    fn assign_after_cooldown(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        task: ConnectionTask,
    ) {
        let connection = &self.connections[key];
        let cooldown_ends_at = connection.idle_since + COOLDOWN_MICROS;
        context.timers.set(cooldown_ends_at, TimerEvent::CooldownEnded(key, connection.serial));
        self.assign(key, task);
    }

    /// Assigns a task whose query is sent once the connection is established, which is bounded by the connect timeout.
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

    /// Records the task, and which connection an attempt has.
    fn assign(&mut self, key: ConnectionKey, task: ConnectionTask) {
        if let ConnectionTask::Attempt(task) = &task {
            self.attempt_connections.insert(task.attempt, key);
        }
        self.connections[key].task = Some(task);
    }

    /// Reads a connection right before a query is written to it: its end may have arrived with the event that led here, and the
    /// query would count as one that may have run.
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

    /// The connection's cooldown is over, and a task may wait for that.
    pub(crate) fn cooldown_ended(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        serial: ConnectionSerial,
    ) {
        let is_waiting =
            |connection: &&mut Connection| connection.serial == serial && connection.is_cooling_down();
        let Some(connection) = self.connections.get_mut(key).filter(is_waiting) else { return };
        let (server, address) = (connection.server, connection.address);
        let Some(task) = connection.task.take() else { return };
        if context.core.address(server) != Some(address) {
            self.close(context, key, DatabaseCloseReason::Moved);
            self.dispatch(context, server, task);
        } else if self.verify_usable(context, key) == ConnectionState::Open {
            self.send_query(context, key, task);
        } else {
            self.dispatch(context, server, task);
        }
    }
}
