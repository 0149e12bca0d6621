//! BackgroundQueries: statements that no client waits for, one after the other on one connection, which is one process of a database from the
//! first to the last. Whether and where one goes is decided elsewhere; here it runs, and what came back is kept for its owner.

use super::super::event_loop_context::EventLoopContext;
use super::{Job, Pool};
use crate::background_query::BackgroundQueryResult;
use crate::reply::Reply;
use birchreach::{AttemptOutcome, Micros, ServerId};

/// An answer that takes longer is of no more use to whoever sent the errand.
pub(super) const PATIENCE: Micros = 2_000_000;

/// Statements, and what they came to so far.
pub struct BackgroundQuery {
    number: u64,
    server: ServerId,
    texts: Vec<Vec<u8>>,
    replies: Vec<Reply>,
}

impl BackgroundQuery {
    pub(super) fn text(&self) -> &[u8] {
        self.texts.get(self.replies.len()).map_or(&[], Vec::as_slice)
    }

    pub(super) fn over(mut self, reply: Reply) -> BackgroundQueryResult {
        self.replies.push(reply);
        let well = self.replies.iter().all(|r| r.outcome == AttemptOutcome::Ok);
        let complete = well && self.replies.len() == self.texts.len();
        BackgroundQueryResult { number: self.number, server: self.server, replies: self.replies, complete }
    }
}

impl Pool {
    /// Sends statements to a server, in this order.
    pub fn errand(
        &mut self,
        context: &mut EventLoopContext,
        number: u64,
        server: ServerId,
        texts: Vec<Vec<u8>>,
    ) {
        self.take_up(
            context,
            server,
            Job::BackgroundQuery(BackgroundQuery { number, server, texts, replies: Vec::new() }),
        );
    }

    pub fn has_done(&self) -> bool {
        !self.done.is_empty()
    }

    /// BackgroundQueries that are over.
    pub fn done(&mut self) -> Vec<BackgroundQueryResult> {
        std::mem::take(&mut self.done)
    }

    /// An answer has come: an errand that has more to say goes on, on the same connection. Else the job is handed back.
    pub(super) fn next_step(
        &mut self,
        context: &mut EventLoopContext,
        key: usize,
        job: Option<Job>,
        reply: Reply,
    ) -> Option<(Option<Job>, Reply)> {
        match job {
            Some(Job::BackgroundQuery(mut errand))
                if reply.outcome == AttemptOutcome::Ok
                    && errand.replies.len() + 1 < errand.texts.len()
                    && self.slots[key].machine.clean() =>
            {
                errand.replies.push(reply);
                self.ask(context, key, Job::BackgroundQuery(errand));
                None
            }
            other => Some((other, reply)),
        }
    }
}
