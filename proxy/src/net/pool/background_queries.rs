//! Background queries: statements that no client waits for. They run one after the other on one connection, so that the same
//! process of a database runs all of them. The owner decides whether and where they run; the pool runs them and keeps the
//! replies for the owner.

use super::super::event_loop_context::EventLoopContext;
use super::super::ids::ConnectionKey;
use super::Pool;
use super::connection::ConnectionTask;
use crate::background_query::{BackgroundQuery, BackgroundQueryId, BackgroundQueryResult};
use crate::reply::Reply;
use birchreach::{Micros, ServerId};

/// The timeout for the reply to one statement. The owner has no use for a later reply.
pub(super) const BACKGROUND_QUERY_TIMEOUT_MICROS: Micros = 2_000_000;

impl Pool {
    /// Runs `statements` in this order on one connection to `server`. The result is available from `take_completed_queries`.
    pub(crate) fn start_background_query(
        &mut self,
        context: &mut EventLoopContext,
        id: BackgroundQueryId,
        server: ServerId,
        statements: Vec<Vec<u8>>,
    ) {
        let query = BackgroundQuery::new(id, server, statements);
        self.dispatch(context, server, ConnectionTask::BackgroundQuery(query));
    }

    /// Returns whether a result waits to be taken with `take_completed_queries`.
    pub(crate) fn has_completed_queries(&self) -> bool {
        !self.completed_queries.is_empty()
    }

    /// Takes the results of the background queries that have completed since the last call.
    pub(crate) fn take_completed_queries(&mut self) -> Vec<BackgroundQueryResult> {
        std::mem::take(&mut self.completed_queries)
    }

    /// Sends the next statement of a background query on the same connection after the cooldown. Returns the task and its reply if the task has no
    /// next statement to send.
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
                query.add_reply(reply);
                let connection = &mut self.connections[key];
                connection.query_completed(context.now);
                self.assign_after_cooldown(context, key, ConnectionTask::BackgroundQuery(query));
                None
            }
            task => Some((task, reply)),
        }
    }
}
