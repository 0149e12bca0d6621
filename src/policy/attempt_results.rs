//! What follows when an attempt ends: first the state of its server is updated, then the request is retried,
//! queued or finished.

use super::Router;
use super::outlier_detection::EjectionReason;
use super::pending::{AttemptKey, InFlightAttempt, PossibleExecution};
use crate::interface::{Action, AttemptOutcome, AttemptResult, Consistency, Micros, RequestId, ServerId};

/// Backoff before a retry at the primary, which may be the same server; doubles with each attempt.
const RETRY_BACKOFF: Micros = 10_000;
/// The backoff is not doubled more often.
const MAX_RETRY_BACKOFF_DOUBLINGS: u16 = 4;

impl Router {
    /// An attempt ended. The result of one that is unknown, or whose server is, is ignored.
    /// Cost: O(members of the group).
    pub(super) fn on_attempt_completed(&mut self, result: AttemptResult, actions: &mut Vec<Action>) {
        let key = AttemptKey { request: result.request, attempt: result.attempt };
        let Some(attempt) = self.in_flight.remove(&key) else { return };
        self.forget_attempt_at(attempt.server);
        let Some(server) = self.servers.get(&attempt.server) else { return };
        let group = server.endpoint.listed().group;
        self.update_server(&attempt, result.outcome);
        self.update_latency(&attempt, result.outcome);
        self.record_throughput(result.outcome);
        self.record_miss_rate(group, &attempt, result.outcome);
        if !attempt.released {
            self.adjust_concurrency_limit(&attempt, result.outcome);
        }
        self.record_statements(&attempt, &result);
        self.update_outlier_detection(attempt.server, result.outcome, actions);
        self.update_request(&attempt, &result, actions);
        self.retry_or_finish(result.request, result.outcome, actions);
        self.retry_queued(group, actions);
    }

    /// Updates the server's own state: attempts in flight, signs of life, refused connections.
    fn update_server(&mut self, attempt: &InFlightAttempt, outcome: AttemptOutcome) {
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        if !attempt.released {
            server.concurrency.attempt_released();
        }
        if is_answer(outcome) {
            server.outlier.record_answer_to_attempt_sent_at(attempt.sent_at);
            server.slow_start.record_answer_to_attempt_sent_at(attempt.sent_at);
        } else if outcome == AttemptOutcome::Overloaded {
            server.outlier.record_response(self.now);
        }
        let failed_before_timeout = attempt.latency(self.now) < self.settings.connect_timeout;
        if outcome == AttemptOutcome::ConnectFailed && failed_before_timeout {
            self.record_refused_connection(attempt.server);
        }
    }

    /// Updates the latency estimates of the class, by an answer or by a timeout that was not presumed lost
    /// before.
    fn update_latency(&mut self, attempt: &InFlightAttempt, outcome: AttemptOutcome) {
        let timed_out = outcome == AttemptOutcome::Timeout && !attempt.released;
        if outcome == AttemptOutcome::Ok || timed_out {
            self.latencies.record(attempt.class, attempt.latency(self.now));
        }
    }

    /// Records what the server states in its response: load, role, log position, commit position of a write.
    fn record_statements(&mut self, attempt: &InFlightAttempt, result: &AttemptResult) {
        if let Some(report) = result.load_report {
            self.record_load_report(attempt.server, report);
        }
        let Some(status) = result.status else { return };
        self.record_status(attempt.server, status);
        let is_write = self.settings.classes[attempt.class.index()].consistency == Consistency::Write;
        let is_committed = is_write && result.outcome == AttemptOutcome::Ok;
        if let (true, Some(session), Some(position)) = (is_committed, attempt.session, status.position) {
            self.record_session_write(session, position);
        }
    }

    /// Counts the outcome for or against the server, and ejects it where the outcome alone is reason
    /// enough.
    fn update_outlier_detection(&mut self, id: ServerId, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        match outcome {
            AttemptOutcome::Ok | AttemptOutcome::Ineligible => self.record_sign_of_life(id, false, actions),
            AttemptOutcome::Error => self.record_sign_of_life(id, true, actions),
            AttemptOutcome::ConnectFailed => self.eject(id, EjectionReason::Unresponsive, actions),
            // Connections break for many reasons. If the process ended, the next connection attempt will
            // fail.
            AttemptOutcome::ClosedBeforeExecution | AttemptOutcome::ConnectionReset => {
                self.record_outcome(id, true, actions)
            }
            // It rejects requests at once, so that it would look idle and attract all of them.
            AttemptOutcome::Overloaded => self.eject(id, EjectionReason::Failures, actions),
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Updates the pending request: attempts in flight and what may have run. A served request is finished.
    fn update_request(
        &mut self,
        attempt: &InFlightAttempt,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.get_mut(&result.request) else { return };
        request.in_flight_attempts.retain(|number| *number != result.attempt);
        request.reached_no_server &= reached_no_server(result.outcome);
        let first = request.possible_execution;
        let is_first = first.is_none_or(|first| attempt.sent_at < first.sent_at);
        if !result.outcome.never_executed() && is_first {
            let execution = PossibleExecution { sent_at: attempt.sent_at, server: attempt.server };
            request.possible_execution = Some(execution);
        }
        if result.request_finished || result.outcome == AttemptOutcome::Ok {
            self.finish(result.request, actions);
        }
    }

    /// Retries, queues or finishes a request that was not served and has no other attempt in flight. A retry
    /// of an attempt that may have run costs a token of the retry budget.
    fn retry_or_finish(&mut self, request_id: RequestId, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&request_id) else { return };
        if !request.in_flight_attempts.is_empty() {
            return;
        }
        let requires_primary = self.class_of(request).consistency.requires_primary();
        let backoff = RETRY_BACKOFF << request.attempts_sent.min(MAX_RETRY_BACKOFF_DOUBLINGS);
        let cost = f64::from(!outcome.never_executed());
        if self.now >= request.useful_until || !self.retry_budget.can_spend(cost) {
            return self.finish_unserved(request_id, actions);
        }
        self.retry_budget.spend(cost);
        if requires_primary && outcome != AttemptOutcome::Ineligible {
            self.enqueue(request_id, backoff, actions);
        } else {
            self.dispatch(request_id, actions);
        }
    }
}

/// Whether the server answered the request itself.
fn is_answer(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Ineligible | AttemptOutcome::Error)
}

/// Whether the server cannot have received the complete request.
fn reached_no_server(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{ClosedBeforeExecution, ConnectFailed, NotSent};
    matches!(outcome, ConnectFailed | ClosedBeforeExecution | NotSent)
}
