//! Results of attempts: updates the state of the server, then retries, queues or finishes the request.

use super::Router;
use super::outlier_detection::EjectionReason;
use super::pending::{AttemptKey, InFlightAttempt, PossibleExecution};
use crate::interface::{Action, AttemptOutcome, AttemptResult, Consistency, Micros, RequestId};

/// Initial backoff before a retry at the primary, which may be the same server. Doubles with each attempt.
const RETRY_BACKOFF: Micros = 10_000;
/// Maximum number of times that the backoff doubles.
const MAX_RETRY_BACKOFF_DOUBLINGS: u16 = 4;

impl Router {
    /// Handles the result of an attempt. Ignores the result if the attempt or its server is unknown. Cost:
    /// O(members of the group).
    pub(super) fn on_attempt_completed(&mut self, result: AttemptResult, actions: &mut Vec<Action>) {
        let key = AttemptKey { request: result.request, attempt: result.attempt };
        let Some(attempt) = self.in_flight.remove(&key) else { return };
        self.decrement_unfinished_attempts(attempt.server);
        let Some(server) = self.servers.get(&attempt.server) else { return };
        let group = server.endpoint.listed().group;
        self.update_server(&attempt, result.outcome);
        self.update_latency(&attempt, result.outcome);
        self.record_throughput(result.outcome);
        self.record_miss_rate(group, &attempt, result.outcome);
        if !attempt.released {
            self.adjust_concurrency_limit(&attempt, result.outcome);
        }
        self.record_reported_state(&attempt, &result);
        self.update_outlier_detection(&attempt, result.outcome, actions);
        self.update_request(&attempt, &result, actions);
        self.retry_or_finish(result.request, result.outcome, actions);
        self.retry_queued(group, actions);
    }

    /// Updates the state of the server: attempts in flight, last response, refused connections.
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

    /// Updates the latency estimate of the class after a successful attempt, or after a timeout that had not
    /// been presumed lost.
    fn update_latency(&mut self, attempt: &InFlightAttempt, outcome: AttemptOutcome) {
        let timed_out = outcome == AttemptOutcome::Timeout && !attempt.released;
        if outcome == AttemptOutcome::Ok || timed_out {
            self.latencies.record(attempt.class, attempt.latency(self.now));
        }
    }

    /// Records the state that the server reports in its response: load, role, log position, and the commit
    /// position of a write.
    fn record_reported_state(&mut self, attempt: &InFlightAttempt, result: &AttemptResult) {
        if let Some(report) = result.load_report {
            self.record_load_report(attempt.server, report, attempt.sent_at);
        }
        let Some(status) = result.status else { return };
        self.record_status(attempt.server, status, attempt.sent_at);
        let is_write = self.settings.classes[attempt.class.index()].consistency == Consistency::Write;
        let is_committed = is_write && result.outcome == AttemptOutcome::Ok;
        if let (true, Some(session), Some(position)) = (is_committed, attempt.session, status.position) {
            self.record_session_write(session, position);
        }
    }

    /// Updates the failure rate of the server. Ejects the server at once if the outcome alone is a sufficient
    /// reason.
    fn update_outlier_detection(
        &mut self,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt.server;
        match outcome {
            // The start of the response has shown that the server is alive. The rest may have been on its
            // way for long.
            AttemptOutcome::Ok if attempt.response_started_at.is_some() => {
                self.record_outcome(id, false, actions);
            }
            AttemptOutcome::Ok | AttemptOutcome::Ineligible => self.record_answer(id, false, actions),
            AttemptOutcome::Error => self.record_answer(id, true, actions),
            AttemptOutcome::ConnectFailed => self.eject(id, EjectionReason::Unresponsive, actions),
            // Connections are lost for many reasons. If the process ended, the next connection attempt fails.
            AttemptOutcome::ClosedBeforeExecution | AttemptOutcome::ConnectionReset => {
                self.record_outcome(id, true, actions)
            }
            // An overloaded server rejects requests immediately. It would therefore seem idle and attract all
            // further requests.
            AttemptOutcome::Overloaded => self.eject(id, EjectionReason::Failures, actions),
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Updates the pending request: its attempts in flight and whether it may have run. Finishes a served
    /// request.
    fn update_request(
        &mut self,
        attempt: &InFlightAttempt,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.get_mut(&result.request) else { return };
        request.in_flight_attempts.retain(|number| *number != result.attempt);
        request.is_undelivered &= is_undelivered(result.outcome);
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
    /// costs one token of the retry budget if the last attempt may have run.
    fn retry_or_finish(&mut self, request_id: RequestId, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&request_id) else { return };
        if !request.in_flight_attempts.is_empty() {
            return;
        }
        let requires_primary = self.class_of(request).consistency.requires_primary();
        let backoff = RETRY_BACKOFF << request.attempts_sent.min(MAX_RETRY_BACKOFF_DOUBLINGS);
        let cost = f64::from(!outcome.never_executed());
        if self.now >= request.deadline || !self.retry_budget.can_spend(cost) {
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

/// Whether the server processed the request and answered it, successfully or with an error.
fn is_answer(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Ineligible | AttemptOutcome::Error)
}

/// Whether the server cannot have received the complete request.
fn is_undelivered(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{ClosedBeforeExecution, ConnectFailed, NotSent};
    matches!(outcome, ConnectFailed | ClosedBeforeExecution | NotSent)
}
