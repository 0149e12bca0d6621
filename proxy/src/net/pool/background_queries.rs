//! BackgroundQueries: statements that no client waits for, one after the other on one connection, which is one process of a database from the
//! first to the last. Whether and where one goes is decided elsewhere; here it runs, and what came back is kept for its owner.

use super::super::event_loop_context::EventLoopContext;
use super::{ConnectionTask, Pool};
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Micros, ServerId};

/// An answer that takes longer is of no more use to whoever sent the errand.
pub(super) const TIMEOUT_MICROS: Micros = 2_000_000;

/// Statements, and what they came to so far.
pub struct BackgroundQuery {
    number: u64,
    server: ServerId,
    statements: Vec<Vec<u8>>,
    replies: Vec<Reply>,
}

/// One that is over: its number, where it was, and a reply for each statement that ran; after the first that failed none did.
#[derive(Debug)]
pub struct CompletedQuery {
    pub number: u64,
    pub server: ServerId,
    pub replies: Vec<Reply>,
    pub complete: bool,
}

impl BackgroundQuery {
    pub(super) fn current_statement(&self) -> &[u8] {
        self.statements.get(self.replies.len()).map_or(&[], Vec::as_slice)
    }

    pub(super) fn complete(mut self, reply: Reply) -> CompletedQuery {
        self.replies.push(reply);
        let well = self.replies.iter().all(|r| r.outcome == AttemptOutcome::Ok);
        let whole = well && self.replies.len() == self.statements.len();
        CompletedQuery { number: self.number, server: self.server, replies: self.replies, complete: whole }
    }
}

impl Pool {
    /// Sends statements to a server, in this order.
    pub fn start_background_query(
        &mut self,
        context: &mut EventLoopContext,
        number: u64,
        server: ServerId,
        texts: Vec<Vec<u8>>,
    ) {
        self.dispatch(
            context,
            server,
            ConnectionTask::BackgroundQuery(BackgroundQuery {
                number,
                server,
                statements: texts,
                replies: Vec::new(),
            }),
        );
    }

    pub fn has_completed_queries(&self) -> bool {
        !self.completed_queries.is_empty()
    }

    /// BackgroundQueries that are over.
    pub fn take_completed_queries(&mut self) -> Vec<CompletedQuery> {
        std::mem::take(&mut self.completed_queries)
    }

    /// An answer has come: an errand that has more to say goes on, on the same connection. Else the job is handed back.
    pub(super) fn continue_background_query(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        job: Option<ConnectionTask>,
        reply: Reply,
    ) -> Option<(Option<ConnectionTask>, Reply)> {
        match job {
            Some(ConnectionTask::BackgroundQuery(mut errand))
                if reply.outcome == AttemptOutcome::Ok
                    && errand.replies.len() + 1 < errand.statements.len()
                    && self.connections[key].protocol.is_idle() =>
            {
                errand.replies.push(reply);
                self.send_query(context, key, ConnectionTask::BackgroundQuery(errand));
                None
            }
            other => Some((other, reply)),
        }
    }
}
