//! One connection to a database, and the task assigned to it.

use super::super::ids::{ConnectionSerial, QuerySerial};
use super::super::statement_payload::StatementPayload;
use super::reply_identity::ReplyIdentity;
use crate::background_query::BackgroundQuery;
use crate::core::AttemptId;
use crate::pg::backend::Backend;
use birchreach::{Micros, ServerId};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// Whether a connection is still in the pool after an operation on it.
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
    /// The statement reads the server's copy of the row, not the row itself.
    pub from_copy: bool,
}

/// The work that a connection is used for. At most one task is assigned to a connection at a time.
pub(super) enum ConnectionTask {
    Attempt(AttemptTask),
    /// A check that the router requested. Its result is reported to the router.
    HealthCheck {
        server: ServerId,
    },
    /// A check that the health monitor requested. Its result is not reported to the router.
    MonitorCheck {
        server: ServerId,
    },
    /// Statements that no client waits for.
    BackgroundQuery(BackgroundQuery),
}

/// Whether the query of a connection's task has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryProgress {
    /// The query is not in the output yet.
    NotQueued,
    /// At least a part of the query waits to be written: it cannot have run.
    Queued,
    /// The query's last byte was written to the socket: it may have run.
    Written,
}

/// A connection to a database, which may still be opening.
pub(super) struct Connection {
    pub stream: TcpStream,
    pub protocol: Backend,
    pub server: ServerId,
    /// The server's address at the time the connection was opened.
    pub address: SocketAddr,
    pub serial: ConnectionSerial,
    /// The latest query on this connection that had a timer.
    pub query_serial: QuerySerial,
    /// The startup exchange is complete.
    pub established: bool,
    pub task: Option<ConnectionTask>,
    pub query: QueryProgress,
    /// When the connection last became idle. Meaningful only while it has no query.
    pub idle_since: Micros,
    /// When the last byte of the startup message or of the latest query was written. Meaningful once it was.
    pub written_at: Micros,
    /// The time from `written_at` to the first bytes that arrived after it. `None` until then.
    pub reply_delay: Option<Micros>,
    /// `reply_delay` was measured while the process was not busy.
    pub is_delay_measured: bool,
    /// At least a part of the reply to the latest query was streamed.
    pub reply_was_streamed: bool,
    /// The last complete reply.
    pub last_reply: Option<ReplyIdentity>,
    /// A second copy of the last reply could not be told from another one.
    pub must_settle: bool,
    /// The latest query was sent before the connection had settled, so that bytes of the reply before it may still arrive.
    pub follows_recent_reply: bool,
    /// The connection has completed a query.
    pub has_completed_query: bool,
    /// When bytes last arrived, or when reading a streamed value was last resumed.
    pub last_progress_at: Micros,
    /// The core knows that the reply to the latest query has begun to arrive.
    pub arrival_reported: bool,
    /// The reply waits in the socket for memory.
    pub reply_deferred: bool,
    /// The receive buffer of the socket was enlarged for replies that wait in it.
    pub has_large_receive_buffer: bool,
    /// Reading is paused until the client has taken the bytes of a streamed value that were forwarded to it.
    pub reading_paused: bool,
}

impl Connection {
    /// Creates the state of a connection that the system has started to open.
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
            written_at: now,
            reply_delay: None,
            is_delay_measured: false,
            reply_was_streamed: false,
            last_reply: None,
            must_settle: false,
            follows_recent_reply: false,
            has_completed_query: false,
            last_progress_at: now,
            arrival_reported: false,
            reply_deferred: false,
            has_large_receive_buffer: false,
            reading_paused: false,
        }
    }

    /// Records that a query is in the output.
    pub(super) fn query_queued(&mut self, now: Micros, settling_time: Micros) {
        self.query = QueryProgress::Queued;
        self.reply_delay = None;
        self.is_delay_measured = false;
        self.reply_was_streamed = false;
        self.arrival_reported = false;
        self.follows_recent_reply = self.has_completed_query && now - self.idle_since < settling_time;
    }

    /// Records that the connection has no query any more. The cooldown begins.
    pub(super) fn query_completed(&mut self, now: Micros) {
        self.has_completed_query |= self.query == QueryProgress::Written;
        self.query = QueryProgress::NotQueued;
        self.idle_since = now;
    }

    /// Returns whether the TCP connect is still in progress or has failed.
    pub(super) fn is_connecting(&self) -> bool {
        !self.established && self.stream.peer_addr().is_err()
    }

    /// Returns whether the connection is established and no query is queued. A task that is assigned in this state waits for the
    /// end of the cooldown.
    pub(super) fn is_cooling_down(&self) -> bool {
        self.established && self.query == QueryProgress::NotQueued
    }

    /// Returns the attempt that the connection's task is for, if the task is an attempt.
    pub(super) fn attempt(&self) -> Option<AttemptId> {
        match &self.task {
            Some(ConnectionTask::Attempt(task)) => Some(task.attempt),
            _ => None,
        }
    }

    /// Returns the value of the log's `state=` field.
    pub(super) fn state_name(&self) -> &'static str {
        match (self.established, self.query) {
            (false, _) => "opening",
            (true, QueryProgress::NotQueued) => "idle",
            (true, QueryProgress::Queued | QueryProgress::Written) => "busy",
        }
    }
}
