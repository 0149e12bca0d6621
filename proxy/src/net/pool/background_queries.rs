//! Background queries: statements that no client waits for, one after the other on one connection, so that the same process of a
//! database runs all of them. The owner decides whether and where they run; the pool runs them and keeps the replies for the owner.

use super::super::database_ids::ConnectionKey;
use super::super::event_loop_context::EventLoopContext;
use super::Pool;
use super::connection::ConnectionTask;
use crate::background_query::BackgroundQueryResult;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Micros, ServerId};

/// A later reply to one statement is of no more use to the owner.
pub(super) const BACKGROUND_QUERY_TIMEOUT_MICROS: Micros = 2_000_000;

/// Statements, and the replies so far.
pub(super) struct BackgroundQuery {
    number: u64,
    server: ServerId,
    statements: Vec<Vec<u8>>,
    replies: Vec<Reply>,
}

impl BackgroundQuery {
    /// The statement that comes after those that have replies.
    pub fn current_statement(&self) -> &[u8] {
        self.statements.get(self.replies.len()).map_or(&[], Vec::as_slice)
    }

    /// Another statement follows the one that came to this reply.
    fn continues_after(&self, reply: &Reply) -> bool {
        reply.outcome == AttemptOutcome::Ok && self.replies.len() + 1 < self.statements.len()
    }

    /// Takes the last reply.
    pub fn complete(mut self, reply: Reply) -> BackgroundQueryResult {
        self.replies.push(reply);
        let all_succeeded = self.replies.iter().all(|reply| reply.outcome == AttemptOutcome::Ok);
        let complete = all_succeeded && self.replies.len() == self.statements.len();
        BackgroundQueryResult { number: self.number, server: self.server, replies: self.replies, complete }
    }
}

impl Pool {
    /// Runs statements at a server, in this order.
    pub fn start_background_query(
        &mut self,
        context: &mut EventLoopContext,
        number: u64,
        server: ServerId,
        statements: Vec<Vec<u8>>,
    ) {
        let query = BackgroundQuery { number, server, statements, replies: Vec::new() };
        self.dispatch(context, server, ConnectionTask::BackgroundQuery(query));
    }

    /// Background queries are over whose owner has not taken them yet.
    pub fn has_completed_queries(&self) -> bool {
        !self.completed_queries.is_empty()
    }

    /// Hands out the background queries that are over.
    pub fn take_completed_queries(&mut self) -> Vec<BackgroundQueryResult> {
        std::mem::take(&mut self.completed_queries)
    }

    /// Sends the next statement of a background query on the same connection, or hands back the task and the reply that ends it.
    pub(super) fn continue_background_query(
        &mut self,
        context: &mut EventLoopContext,
        key: ConnectionKey,
        task: ConnectionTask,
        reply: Reply,
    ) -> Option<(ConnectionTask, Reply)> {
        match task {
            ConnectionTask::BackgroundQuery(mut query)
                if query.continues_after(&reply) && self.connections[key].protocol.is_idle() =>
            {
                query.replies.push(reply);
                self.send_query(context, key, ConnectionTask::BackgroundQuery(query));
                None
            }
            task => Some((task, reply)),
        }
    }
}
