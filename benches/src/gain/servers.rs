//! Simulated database servers with bounded concurrency, bounded queues, log positions and copies of the hot key.

use birchreach::{Micros, Role};
use birchreach_background_tasks::TaskId;
use std::collections::VecDeque;

/// Number of groups. The first server of each group is its primary.
pub(super) const GROUPS: u32 = 6;
pub(super) const SERVERS_PER_GROUP: u32 = 3;
pub(super) const SERVERS: u32 = GROUPS * SERVERS_PER_GROUP;
/// Delay of a replica's log behind the log of its primary.
pub(super) const REPLICATION_LAG_MICROS: Micros = 20_000;
/// Number of reads that a saturated server completes per second.
pub(super) const READS_PER_S_PER_SERVER: f64 = MAX_RUNNING_STATEMENTS as f64 * 1e6 / READ_MICROS as f64;

const MAX_RUNNING_STATEMENTS: usize = 2;
/// Queue length at which a server rejects further statements.
const MAX_QUEUED_STATEMENTS: usize = 150;
const READ_MICROS: Micros = 10_000;
const WRITE_MICROS: Micros = 8_000;
/// Duration of a read that finds no copy, and needs only an index lookup.
const COPY_MISS_MICROS: Micros = READ_MICROS / 10;
const COPY_RETENTION_MICROS: Micros = 10_000_000;

/// Returns the role of a server. Roles never change in the simulation.
pub(super) fn role(server: u32) -> Role {
    if server.is_multiple_of(SERVERS_PER_GROUP) { Role::Primary } else { Role::Replica }
}

pub(super) fn group_of(server: u32) -> u32 {
    server / SERVERS_PER_GROUP
}

/// Returns the log position of a server, which is the time up to which the server has all writes.
pub(super) fn log_position(server: u32, now: Micros) -> Micros {
    match role(server) {
        Role::Primary => now - 1,
        Role::Replica => now - REPLICATION_LAG_MICROS,
    }
}

/// Identifies a request among those of all proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct RequestKey {
    pub proxy: usize,
    pub request: u64,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptKey {
    pub request: RequestKey,
    pub attempt: u16,
}

/// The receiver of a statement's result.
#[derive(Clone, Copy, Debug)]
pub(super) enum StatementOwner {
    Attempt(AttemptKey),
    BackgroundQuery { proxy: usize, id: TaskId },
}

/// The work that a statement causes at a server.
#[derive(Clone, Copy, Debug)]
pub(super) enum StatementKind {
    Read,
    Write,
    CopyRead { required_position: Micros },
    CopyWrite,
}

/// A statement that a proxy sends to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Statement {
    pub owner: StatementOwner,
    pub kind: StatementKind,
}

/// The decision of a server about an arriving statement.
pub(super) enum Admission {
    Started { done_at: Micros },
    Queued,
    Rejected,
}

/// A statement that was started from the queue.
pub(super) struct StartedStatement {
    pub statement: Statement,
    pub done_at: Micros,
}

/// A copy of the hot key.
struct StoredCopy {
    position: Micros,
    readable_from: Micros,
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<Statement>,
    copies: Vec<StoredCopy>,
}

/// All servers, indexed by server number.
pub(super) struct Servers(Vec<Server>);

impl Servers {
    /// Creates idle servers without copies.
    pub(super) fn new() -> Servers {
        Servers((0..SERVERS).map(|_| Server::default()).collect())
    }

    /// Starts an arriving statement, or queues or rejects it if the server is busy.
    pub(super) fn admit(&mut self, now: Micros, server: u32, statement: Statement) -> Admission {
        let server = &mut self.0[server as usize];
        if server.running < MAX_RUNNING_STATEMENTS {
            server.running += 1;
            Admission::Started { done_at: now + server.duration(now, statement.kind) }
        } else if server.queue.len() < MAX_QUEUED_STATEMENTS {
            server.queue.push_back(statement);
            Admission::Queued
        } else {
            Admission::Rejected
        }
    }

    /// Ends a running statement, and starts and returns the next one from the queue.
    pub(super) fn finish(&mut self, now: Micros, server: u32) -> Option<StartedStatement> {
        let server = &mut self.0[server as usize];
        let Some(statement) = server.queue.pop_front() else {
            server.running -= 1;
            return None;
        };
        Some(StartedStatement { statement, done_at: now + server.duration(now, statement.kind) })
    }

    /// Stores a copy at a group's primary. The replicas can read the copy after the replication lag.
    pub(super) fn store_copy(&mut self, now: Micros, group: u32, position: Micros) {
        for (number, server) in (0..SERVERS).zip(&mut self.0) {
            if group_of(number) != group {
                continue;
            }
            let delay = if role(number) == Role::Primary { 0 } else { REPLICATION_LAG_MICROS };
            server.copies.retain(|copy| now - copy.readable_from < COPY_RETENTION_MICROS);
            server.copies.push(StoredCopy { position, readable_from: now + delay });
        }
    }

    /// Returns the log position of the newest copy that a server can read.
    pub(super) fn newest_copy_position(&self, now: Micros, server: u32) -> Option<Micros> {
        self.0[server as usize].newest_copy_position(now)
    }
}

impl Server {
    fn newest_copy_position(&self, now: Micros) -> Option<Micros> {
        let readable = self.copies.iter().filter(|copy| copy.readable_from <= now);
        readable.map(|copy| copy.position).max()
    }

    fn duration(&self, now: Micros, kind: StatementKind) -> Micros {
        match kind {
            StatementKind::Read => READ_MICROS,
            StatementKind::Write | StatementKind::CopyWrite => WRITE_MICROS,
            StatementKind::CopyRead { required_position } => {
                if self.newest_copy_position(now) >= Some(required_position) {
                    READ_MICROS
                } else {
                    COPY_MISS_MICROS
                }
            }
        }
    }
}
