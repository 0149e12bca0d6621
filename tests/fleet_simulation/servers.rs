//! Simulated database servers. Each server runs one statement at a time, and replicas lag behind their
//! primary.

use birchreach::{Micros, Role};

/// Number of servers per group: a primary, which has the lowest id, and its replicas.
pub(crate) const SERVERS_PER_GROUP: u32 = 3;
/// Time within which the speed of a started server rises to full speed.
pub(crate) const WARM_UP_MICROS: Micros = 10_000_000;
/// Speed of a server that has just started, as a fraction of full speed.
pub(crate) const INITIAL_SPEED: f64 = 0.2;

/// Mean execution time of a statement at full speed.
const STATEMENT_MICROS: f64 = 100_000.0;
/// Maximum time that a statement may wait. A server rejects a statement that would wait longer.
const MAX_QUEUE_MICROS: Micros = 1_000_000;
/// Replication lag of most replicas.
const LAG_MICROS: Micros = 50_000;
/// Replication lag of the last replica of every second group. It exceeds the staleness bound of every class.
const LONG_LAG_MICROS: Micros = 1_000_000;
/// One in this many groups has a replica with a long lag.
const GROUPS_PER_LONG_LAG: u32 = 2;

/// How a server handles an arriving statement.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Admission {
    /// The statement is queued or runs, and ends at `done_at`.
    Runs { done_at: Micros },
    /// The statement would have to wait longer than [`MAX_QUEUE_MICROS`].
    Rejected,
    /// The server is stopped and refuses the connection.
    Refused,
    /// The server does not respond.
    Unanswered,
}

/// A simulated database server.
#[derive(Default)]
pub(crate) struct Server {
    is_stopped: bool,
    started_at: Option<Micros>,
    unresponsive_until: Micros,
    /// Instant at which the last accepted statement ends.
    idle_at: Micros,
}

impl Server {
    /// Stops the server, which then refuses connections.
    pub(crate) fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Starts the server with an empty queue at its initial speed.
    pub(crate) fn start(&mut self, now: Micros) {
        *self = Server { started_at: Some(now), idle_at: now, ..Server::default() };
    }

    /// Leaves all statements and health checks that arrive before `until` unanswered.
    pub(crate) fn hang(&mut self, until: Micros) {
        self.unresponsive_until = until;
    }

    /// Whether the server responds to health checks.
    pub(crate) fn is_answering(&self, now: Micros) -> bool {
        !self.is_stopped && now >= self.unresponsive_until
    }

    /// Handles an arriving statement. Draws the execution time of an accepted statement.
    pub(crate) fn admit(&mut self, now: Micros, rng: &mut fastrand::Rng) -> Admission {
        if self.is_stopped {
            return Admission::Refused;
        }
        if now < self.unresponsive_until {
            return Admission::Unanswered;
        }
        let starts_at = self.idle_at.max(now);
        if starts_at - now > MAX_QUEUE_MICROS {
            return Admission::Rejected;
        }
        let duration = (0.5 + rng.f64()) * STATEMENT_MICROS / self.speed(now);
        self.idle_at = starts_at + duration as Micros;
        Admission::Runs { done_at: self.idle_at }
    }

    /// Current speed as a fraction of full speed.
    fn speed(&self, now: Micros) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed_fraction = (now - started_at) as f64 / WARM_UP_MICROS as f64;
        (INITIAL_SPEED + (1.0 - INITIAL_SPEED) * elapsed_fraction).min(1.0)
    }
}

/// Role of a server. Roles never change in the simulation.
pub(crate) fn role(server: u32) -> Role {
    if server.is_multiple_of(SERVERS_PER_GROUP) { Role::Primary } else { Role::Replica }
}

/// Id of the group that a server belongs to.
pub(crate) fn group_of(server: u32) -> u32 {
    server / SERVERS_PER_GROUP
}

/// Log position of a server: the instant up to which it has applied all writes.
pub(crate) fn log_position(server: u32, now: Micros) -> Micros {
    let is_last_replica = server % SERVERS_PER_GROUP == SERVERS_PER_GROUP - 1;
    match role(server) {
        Role::Primary => now - 1,
        Role::Replica
            if is_last_replica && group_of(server) % GROUPS_PER_LONG_LAG == GROUPS_PER_LONG_LAG - 1 =>
        {
            now - LONG_LAG_MICROS
        }
        Role::Replica => now - LAG_MICROS,
    }
}
