//! Background queries: statements that no client waits for, and their replies. The statements of a query run one after the other
//! on one connection to a database.

#[cfg(test)]
mod tests;

use crate::reply::Reply;
use birchreach::{AttemptOutcome, ServerId};
use std::fmt;

/// Identifies a query. The sender assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BackgroundQueryId(pub u64);

/// The id in the comment of a background statement. Statements of clients have such an id too. All statements of one query have
/// the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BackgroundStatementId(pub u64);

/// Generates the ids of this process's background statements. The first id follows the incarnation of the process, so that the
/// ids of different incarnations differ.
#[derive(Debug)]
pub(crate) struct BackgroundStatementIds {
    last: BackgroundStatementId,
}

/// The statements of a query, and the replies that have arrived.
pub(crate) struct BackgroundQuery {
    id: BackgroundQueryId,
    server: ServerId,
    statements: Vec<Vec<u8>>,
    replies: Vec<Reply>,
}

/// The result of a query after its last statement, or after the first statement that failed.
#[derive(Debug)]
pub(crate) struct BackgroundQueryResult {
    /// The number that the sender assigned to the query.
    pub id: BackgroundQueryId,
    /// The server to which the query was sent.
    pub server: ServerId,
    /// One reply for each statement that was sent, in the order of the statements. The last reply may be a failure.
    pub replies: Vec<Reply>,
    /// Whether every statement was sent and succeeded.
    pub complete: bool,
}

impl fmt::Display for BackgroundStatementId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl BackgroundStatementIds {
    /// Creates a generator whose first id is the incarnation plus one.
    pub(crate) fn new(incarnation: u64) -> BackgroundStatementIds {
        BackgroundStatementIds { last: BackgroundStatementId(incarnation) }
    }

    /// Returns the next id. Ids wrap around to zero.
    pub(crate) fn next_id(&mut self) -> BackgroundStatementId {
        self.last = BackgroundStatementId(self.last.0.wrapping_add(1));
        self.last
    }
}

impl BackgroundQuery {
    /// Creates a query that sends these statements to a server in this order.
    pub(crate) fn new(id: BackgroundQueryId, server: ServerId, statements: Vec<Vec<u8>>) -> BackgroundQuery {
        BackgroundQuery { id, server, statements, replies: Vec::new() }
    }

    /// Returns the first statement without a reply, or an empty slice if every statement has a reply.
    pub(crate) fn current_statement(&self) -> &[u8] {
        self.statements.get(self.replies.len()).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a statement has a reply.
    pub(crate) fn has_begun(&self) -> bool {
        !self.replies.is_empty()
    }

    /// Returns whether another statement must be sent after this reply to the current statement.
    pub(crate) fn continues_after(&self, reply: &Reply) -> bool {
        reply.outcome == AttemptOutcome::Ok && self.replies.len() + 1 < self.statements.len()
    }

    /// Adds the reply to the current statement. The next statement becomes the current one.
    pub(crate) fn add_reply(&mut self, reply: Reply) {
        self.replies.push(reply);
    }

    /// Returns the result of the query. `reply` is the last reply.
    pub(crate) fn complete(mut self, reply: Reply) -> BackgroundQueryResult {
        self.replies.push(reply);
        let all_succeeded = self.replies.iter().all(|reply| reply.outcome == AttemptOutcome::Ok);
        let complete = all_succeeded && self.replies.len() == self.statements.len();
        BackgroundQueryResult { id: self.id, server: self.server, replies: self.replies, complete }
    }
}
