//! Overdue attempts: attempts that take far longer than is usual for their class.
//!
//! If the server has not responded at all since the overdue attempt was sent, the server is considered
//! unresponsive and the request is sent to another server. This happens by a hedged request or, if hedging is
//! not allowed, by a replacement after a health check has failed as well. If the server does respond, the
//! attempt stays in flight. It is presumed lost once the server has answered an attempt that was sent later.

use super::Router;
use super::attempts::OVERDUE_DEVIATIONS;
use super::outlier_detection::EjectionReason;
use super::pending::{AttemptKey, PendingRequest};
use crate::estimates::MIN_WAKEUP_DELAY;
use crate::interface::{Action, ClassId, Idempotency, Micros, RequestId};

/// How to proceed with an overdue attempt.
enum OverdueDecision {
    KeepWaiting,
    AwaitHealthCheck,
    /// The attempt may be cancelled so that the request can be sent to another server.
    Abandon,
}

impl Router {
    /// Handles the overdue attempts of a request: sends a hedged request or cancels the attempts that are to
    /// be replaced.
    pub(super) fn handle_overdue_attempts(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&request_id) else { return };
        let (class, deadline) = (request.class, request.deadline);
        let overdue_after = self.latencies.upper_bound(class, OVERDUE_DEVIATIONS);
        let overdue = self.overdue_attempts(request, overdue_after);
        let mut abandoned = Vec::new();
        let mut recheck_after = overdue_after;
        for key in &overdue {
            match self.assess_overdue_attempt(*key, overdue_after, actions) {
                OverdueDecision::KeepWaiting => {}
                OverdueDecision::AwaitHealthCheck => {
                    recheck_after = self.settings.connect_timeout.max(MIN_WAKEUP_DELAY);
                }
                OverdueDecision::Abandon => abandoned.push(key.attempt),
            }
        }
        if !overdue.is_empty() && self.send_hedged_request(request_id, actions) {
            return;
        }
        if self.may_replace_attempts(class) {
            let cancel = |attempt| Action::Cancel { request: request_id, attempt };
            actions.extend(abandoned.into_iter().map(cancel));
        }
        self.schedule_wakeup(request_id, deadline.min(self.now + recheck_after));
    }

    /// The attempts of the request that were sent at least `overdue_after` ago.
    fn overdue_attempts(&self, request: &PendingRequest, overdue_after: Micros) -> Vec<AttemptKey> {
        let request_id = request.queue_position.request;
        let keys = request.in_flight_attempts.iter();
        let keys = keys.map(|attempt| AttemptKey { request: request_id, attempt: *attempt });
        let is_overdue = |key: &AttemptKey| {
            let attempt = self.in_flight.get(key);
            attempt.is_some_and(|attempt| self.now - attempt.sent_at >= overdue_after)
        };
        keys.filter(is_overdue).collect()
    }

    /// Decides how to proceed with an overdue attempt. May eject its server, request a health check, or
    /// presume the attempt lost.
    fn assess_overdue_attempt(
        &mut self,
        key: AttemptKey,
        overdue_after: Micros,
        actions: &mut Vec<Action>,
    ) -> OverdueDecision {
        let Some(attempt) = self.in_flight.get_mut(&key) else { return OverdueDecision::KeepWaiting };
        let Some(server) = self.servers.get_mut(&attempt.server) else { return OverdueDecision::KeepWaiting };
        let server_id = attempt.server;
        if attempt.released {
            let is_long_overdue = self.now - attempt.sent_at >= 2 * overdue_after;
            return if is_long_overdue { OverdueDecision::Abandon } else { OverdueDecision::KeepWaiting };
        }
        if server.outlier.has_no_response_since(attempt.sent_at) {
            let needs_health_check = !self.settings.hedging_allowed
                && self.settings.health_checks_allowed
                && !server.health_check.has_failed_since(attempt.sent_at)
                && !server.outlier.is_unresponsive();
            if needs_health_check {
                self.start_health_check(server_id, actions);
                return OverdueDecision::AwaitHealthCheck;
            }
            self.eject(server_id, EjectionReason::Unresponsive, actions);
            return OverdueDecision::Abandon;
        }
        if server.outlier.answered_attempt_sent_after(attempt.sent_at) {
            attempt.released = true;
            server.concurrency.attempt_released();
        }
        OverdueDecision::KeepWaiting
    }

    /// Sends an additional attempt if hedging and the retry budget allow it and a server can take it. Returns
    /// whether an attempt was sent.
    fn send_hedged_request(&mut self, request_id: RequestId, actions: &mut Vec<Action>) -> bool {
        let is_allowed = self.settings.hedging_allowed && self.retry_budget.can_spend(1.0);
        let is_sent = is_allowed && self.dispatch(request_id, actions);
        if is_sent {
            self.retry_budget.spend(1.0);
        }
        is_sent
    }

    /// Whether attempts in flight may be cancelled and replaced by an attempt at another server.
    fn may_replace_attempts(&self, class: ClassId) -> bool {
        !self.settings.hedging_allowed
            && self.settings.cancellation_allowed
            && self.settings.classes[class.index()].idempotency == Idempotency::Idempotent
            && self.retry_budget.can_spend(1.0)
    }
}
