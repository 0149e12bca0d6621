//! The end of attempts, by a server's result or by timeout.

use super::classes::class;
use super::events::StatementResult;
use super::proxies::HOT_KEY;
use super::servers::{AttemptKey, RequestKey, StatementKind, StatementOwner, role};
use super::simulation::Simulation;
use birchreach::{
    AttemptNumber, AttemptOutcome, AttemptResult, Event, Micros, RequestId, ServerId, ServerStatus,
};

/// The data of an ended attempt that the router's event needs.
struct FinishedAttempt {
    key: AttemptKey,
    server: u32,
    sent_at: Micros,
}

impl Simulation {
    pub(super) fn time_out_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.finish_attempt(key) else { return };
        self.report_outcome(&attempt, AttemptOutcome::Timeout, None);
    }

    /// Delivers a result to the attempt or background query that waits for it.
    pub(super) fn handle_result(&mut self, result: StatementResult) {
        match result.statement.owner {
            StatementOwner::Attempt(key) => self.handle_attempt_result(key, &result),
            StatementOwner::BackgroundQuery { proxy, id } => {
                self.continue_background_query(proxy, id, &result);
            }
        }
    }

    fn handle_attempt_result(&mut self, key: AttemptKey, result: &StatementResult) {
        let Some(attempt) = self.finish_attempt(key) else { return };
        if let StatementKind::CopyRead { .. } = result.statement.kind {
            self.record_copy_answer(key.request.proxy, result);
        }
        if result.outcome == AttemptOutcome::Ok {
            self.finish_request(key.request);
        }
        let status = (result.outcome != AttemptOutcome::Overloaded)
            .then(|| ServerStatus { role: role(result.server), position: Some(result.position) });
        self.report_outcome(&attempt, result.outcome, status);
    }

    /// Marks an attempt as finished. Returns `None` if the attempt or its request has finished before.
    fn finish_attempt(&mut self, key: AttemptKey) -> Option<FinishedAttempt> {
        let pending = self.pending.get_mut(&key.request)?;
        let attempt = pending.attempts.get_mut(usize::from(key.attempt))?;
        if std::mem::replace(&mut attempt.is_finished, true) {
            return None;
        }
        Some(FinishedAttempt { key, server: attempt.server, sent_at: attempt.sent_at })
    }

    fn record_copy_answer(&mut self, proxy: usize, result: &StatementResult) {
        let position = match result.outcome {
            AttemptOutcome::Ok => self.servers.newest_copy_position(self.now, result.server),
            AttemptOutcome::Ineligible => None,
            _ => return,
        };
        self.proxies[proxy].hot_keys.record_answer(self.now, HOT_KEY, result.server, position);
    }

    /// Ends a request with a successful response. For the hot key's group, adds the priority weight of the response to the sum,
    /// reduced if the response is later than the latency objective.
    fn finish_request(&mut self, key: RequestKey) {
        let Some(pending) = self.pending.remove(&key) else { return };
        if pending.group != HOT_KEY.group {
            return;
        }
        let class = class(pending.class);
        let is_late = self.now - pending.received_at > class.latency_objective;
        let fraction = if is_late { class.late_weight_fraction } else { 1.0 };
        self.weights.served += class.priority_weight * fraction;
    }

    fn report_outcome(
        &mut self,
        attempt: &FinishedAttempt,
        outcome: AttemptOutcome,
        status: Option<ServerStatus>,
    ) {
        let AttemptKey { request: key, attempt: number } = attempt.key;
        let result = AttemptResult {
            request: RequestId(key.request),
            attempt: AttemptNumber(number),
            server: ServerId(attempt.server),
            outcome,
            elapsed: self.now - attempt.sent_at,
            request_finished: !self.pending.contains_key(&key),
            status,
            load_report: None,
        };
        self.route(key.proxy, Event::AttemptCompleted(result));
    }
}
