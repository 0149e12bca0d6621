//! Background queries: statements that no client waits for, run one after the other on one connection to a database, and their
//! replies.

#[cfg(test)]
mod tests;

use crate::reply::Reply;
use birchreach::{AttemptOutcome, ServerId};
use std::fmt;

/// The sender's number for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BackgroundQueryId(pub u64);

/// The id in the comment of a background statement, as clients' statements have one. The statements of one query share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BackgroundStatementId(pub u64);

/// Hands out the ids of this process's background statements. They count on from its incarnation, so that they differ among
/// incarnations.
#[derive(Debug)]
pub(crate) struct BackgroundStatementIds {
    last: BackgroundStatementId,
}

/// Statements, and the replies so far.
pub(crate) struct BackgroundQuery {
    id: BackgroundQueryId,
    server: ServerId,
    statements: Vec<Vec<u8>>,
    replies: Vec<Reply>,
}

/// The result of a query.
#[derive(Debug)]
pub(crate) struct BackgroundQueryResult {
    /// The sender's number for it.
    pub id: BackgroundQueryId,
    /// The server that it was sent to.
    pub server: ServerId,
    /// A reply for each statement that was sent; none is sent after the first that failed.
    pub replies: Vec<Reply>,
    /// Every statement was sent and succeeded.
    pub complete: bool,
}

impl fmt::Display for BackgroundStatementId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl BackgroundStatementIds {
    /// No id is handed out yet.
    pub(crate) fn new(incarnation: u64) -> BackgroundStatementIds {
        BackgroundStatementIds { last: BackgroundStatementId(incarnation) }
    }

    /// The id after the one that was handed out last.
    pub(crate) fn next_id(&mut self) -> BackgroundStatementId {
        self.last = BackgroundStatementId(self.last.0.wrapping_add(1));
        self.last
    }
}

impl BackgroundQuery {
    /// Statements for a server, in this order.
    pub(crate) fn new(id: BackgroundQueryId, server: ServerId, statements: Vec<Vec<u8>>) -> BackgroundQuery {
        BackgroundQuery { id, server, statements, replies: Vec::new() }
    }

    /// The first statement without a reply.
    pub(crate) fn current_statement(&self) -> &[u8] {
        self.statements.get(self.replies.len()).map_or(&[], Vec::as_slice)
    }

    /// Whether another statement follows the one with this reply.
    pub(crate) fn continues_after(&self, reply: &Reply) -> bool {
        reply.outcome == AttemptOutcome::Ok && self.replies.len() + 1 < self.statements.len()
    }

    /// Adds the reply to the current statement, after which another one follows.
    pub(crate) fn add_reply(&mut self, reply: Reply) {
        self.replies.push(reply);
    }

    /// The result, with the last reply.
    pub(crate) fn complete(mut self, reply: Reply) -> BackgroundQueryResult {
        self.replies.push(reply);
        let all_succeeded = self.replies.iter().all(|reply| reply.outcome == AttemptOutcome::Ok);
        let complete = all_succeeded && self.replies.len() == self.statements.len();
        BackgroundQueryResult { id: self.id, server: self.server, replies: self.replies, complete }
    }
}
