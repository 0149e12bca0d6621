//! One connection to a database, and the task that it was opened or taken for.

use super::super::ids::{ConnectionSerial, QuerySerial};
use super::super::statement_payload::StatementPayload;
use crate::background_query::BackgroundQuery;
use crate::core::AttemptId;
use crate::pg::backend::Backend;
use birchreach::{Micros, ServerId};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// Whether a connection is still there after an operation on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Open,
    Closed,
}

/// An attempt at a client's request.
pub(super) struct AttemptTask {
    pub attempt: AttemptId,
    pub statement: StatementPayload,
    pub deadline: Micros,
    /// The copy at the server is to be read, not the row itself.
    pub from_copy: bool,
}

/// What a connection was opened or taken for.
pub(super) enum ConnectionTask {
    Attempt(AttemptTask),
    /// Asked for by the routing decisions, which learn the result.
    HealthCheck {
        server: ServerId,
    },
    /// Asked for by the health monitor, which alone learns the result.
    MonitorCheck {
        server: ServerId,
    },
    /// Statements that no client waits for.
    BackgroundQuery(BackgroundQuery),
}

/// Whether the query of a connection's task has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryProgress {
    /// Nothing of it is in the output.
    NotQueued,
    /// It waits to be written, in part at least: it cannot have run.
    Queued,
    /// Its last byte was written to the socket: it may have run.
    Written,
}

/// One connection to a database.
pub(super) struct Connection {
    pub stream: TcpStream,
    pub protocol: Backend,
    pub server: ServerId,
    /// Where the server was when the connection was opened.
    pub address: SocketAddr,
    pub serial: ConnectionSerial,
    /// The latest query that had a timer.
    pub query_serial: QuerySerial,
    /// The startup exchange is complete.
    pub established: bool,
    pub task: Option<ConnectionTask>,
    /// Whether the task's query has been sent.
    pub query: QueryProgress,
    /// When it became idle, if it is.
    pub idle_since: Micros,
    /// When more of a streamed value came, or reading it was resumed.
    pub last_progress_at: Micros,
    /// No more is read until the client has taken what it was sent of a streamed value.
    pub reading_paused: bool,
}

impl Connection {
    /// A connection that the system has started to open.
    pub(super) fn new(
        stream: TcpStream,
        protocol: Backend,
        server: ServerId,
        address: SocketAddr,
        serial: ConnectionSerial,
        now: Micros,
    ) -> Connection {
        Connection {
            stream,
            protocol,
            server,
            address,
            serial,
            query_serial: QuerySerial::default(),
            established: false,
            task: None,
            query: QueryProgress::NotQueued,
            idle_since: now,
            last_progress_at: now,
            reading_paused: false,
        }
    }

    /// The system has not finished opening it, or could not.
    pub(super) fn is_connecting(&self) -> bool {
        !self.established && self.stream.peer_addr().is_err()
    }

    /// It is established and no query is queued: a task that it has waits for the end of the cooldown.
    pub(super) fn is_cooling_down(&self) -> bool {
        self.established && self.query == QueryProgress::NotQueued
    }

    /// The attempt that it carries, if its task is one.
    pub(super) fn attempt(&self) -> Option<AttemptId> {
        match &self.task {
            Some(ConnectionTask::Attempt(task)) => Some(task.attempt),
            _ => None,
        }
    }

    /// The name of the state in the log.
    pub(super) fn state_name(&self) -> &'static str {
        match (self.established, self.query) {
            (false, _) => "opening",
            (true, QueryProgress::NotQueued) => "idle",
            (true, QueryProgress::Queued | QueryProgress::Written) => "busy",
        }
    }
}
