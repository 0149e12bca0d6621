//! Database servers on virtual time: each runs one statement after the other, and its replicas lag.

use birchreach::{Micros, Role};

/// Servers of each group: a primary, which has the lowest number, and its replicas.
pub(crate) const SERVERS_PER_GROUP: u32 = 3;
/// After a start the server's speed rises to the full one within this time.
pub(crate) const WARM_UP_MICROS: Micros = 10_000_000;
/// The speed of a server that has just started, as a fraction of the full one.
pub(crate) const INITIAL_SPEED: f64 = 0.2;

/// The mean time that a statement takes at full speed.
const STATEMENT_MICROS: f64 = 100_000.0;
/// A server rejects a statement that would wait longer.
const MAX_QUEUE_MICROS: Micros = 1_000_000;
/// How far the log of a replica is behind the primary's.
const LAG_MICROS: Micros = 50_000;
/// The same for the last replica of every second group: more than any read with a bound allows.
const LONG_LAG_MICROS: Micros = 1_000_000;
/// One group of this many has a replica with a long lag.
const GROUPS_PER_LONG_LAG: u32 = 2;

/// What a server does with a statement that arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Admission {
    Runs {
        done_at: Micros,
    },
    Rejected,
    /// The connection is refused.
    Refused,
    /// No answer comes.
    Unanswered,
}

/// A server.
#[derive(Default)]
pub(crate) struct Server {
    is_stopped: bool,
    started_at: Option<Micros>,
    unresponsive_until: Micros,
    /// When it has run all statements that it has accepted.
    free_at: Micros,
}

impl Server {
    /// Stops: it refuses connections from now on.
    pub(crate) fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Starts again, without statements and at its initial speed.
    pub(crate) fn start(&mut self, now: Micros) {
        *self = Server { started_at: Some(now), free_at: now, ..Server::default() };
    }

    /// Answers nothing that arrives before this instant.
    pub(crate) fn hang(&mut self, until: Micros) {
        self.unresponsive_until = until;
    }

    /// Whether it answers health checks.
    pub(crate) fn is_answering(&self, now: Micros) -> bool {
        !self.is_stopped && now >= self.unresponsive_until
    }

    /// Accepts a statement or not.
    pub(crate) fn admit(&mut self, now: Micros, rng: &mut fastrand::Rng) -> Admission {
        if self.is_stopped {
            return Admission::Refused;
        }
        if now < self.unresponsive_until {
            return Admission::Unanswered;
        }
        let starts_at = self.free_at.max(now);
        if starts_at - now > MAX_QUEUE_MICROS {
            return Admission::Rejected;
        }
        let duration = (0.5 + rng.f64()) * STATEMENT_MICROS / self.speed(now);
        self.free_at = starts_at + duration as Micros;
        Admission::Runs { done_at: self.free_at }
    }

    /// The speed as a fraction of the full one.
    fn speed(&self, now: Micros) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let elapsed_fraction = (now - started_at) as f64 / WARM_UP_MICROS as f64;
        (INITIAL_SPEED + (1.0 - INITIAL_SPEED) * elapsed_fraction).min(1.0)
    }
}

/// The role of a server, which stays as it is.
pub(crate) fn role(server: u32) -> Role {
    if server.is_multiple_of(SERVERS_PER_GROUP) { Role::Primary } else { Role::Replica }
}

/// The group of a server.
pub(crate) fn group_of(server: u32) -> u32 {
    server / SERVERS_PER_GROUP
}

/// The position of a server's log: the instant up to which it has all writes.
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
