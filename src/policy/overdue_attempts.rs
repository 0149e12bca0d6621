//! Overdue attempts: attempts that take far longer than their class usually does.
//!
//! If the server has responded to nothing since, it is taken for unresponsive and the request is tried
//! elsewhere: by a hedged request, or, where these are not allowed, after a health check had no response
//! either. A server that responds keeps its work; an attempt sent before others that were answered is
//! presumed lost.

use super::Router;
use super::attempts::OVERDUE_DEVIATIONS;
use super::outlier_detection::EjectionReason;
use super::pending::{AttemptKey, PendingRequest};
use crate::estimates::MIN_WAKE_DELAY;
use crate::interface::{Action, ClassId, Idempotency, Micros, RequestId};

/// What to do about an overdue attempt.
enum OverdueVerdict {
    KeepWaiting,
    AwaitHealthCheck,
    /// It may be cancelled so that the request is sent to another server.
    Abandon,
}

impl Router {
    /// Assesses the overdue attempts of a request, and sends a hedged request or cancels what is to be
    /// replaced.
    pub(super) fn handle_overdue_attempts(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&request_id) else { return };
        let (class, useful_until) = (request.class, request.useful_until);
        let overdue_after = self.latencies.upper_bound(class, OVERDUE_DEVIATIONS);
        let overdue = self.overdue_attempts(request, overdue_after);
        let mut abandoned = Vec::new();
        let mut recheck_after = overdue_after;
        for key in &overdue {
            match self.assess_overdue_attempt(*key, overdue_after, actions) {
                OverdueVerdict::KeepWaiting => {}
                OverdueVerdict::AwaitHealthCheck => {
                    recheck_after = self.settings.connect_timeout.max(MIN_WAKE_DELAY);
                }
                OverdueVerdict::Abandon => abandoned.push(key.attempt),
            }
        }
        if !overdue.is_empty() && self.send_hedged_request(request_id, actions) {
            return;
        }
        if self.may_replace_attempts(class) {
            let cancel = |attempt| Action::Cancel { request: request_id, attempt };
            actions.extend(abandoned.into_iter().map(cancel));
        }
        self.schedule_wake(request_id, useful_until.min(self.now + recheck_after));
    }

    /// The attempts of the request that were sent so long ago.
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

    /// Decides about one overdue attempt. May eject its server, request a health check, or presume the
    /// attempt lost.
    fn assess_overdue_attempt(
        &mut self,
        key: AttemptKey,
        overdue_after: Micros,
        actions: &mut Vec<Action>,
    ) -> OverdueVerdict {
        let Some(attempt) = self.in_flight.get_mut(&key) else { return OverdueVerdict::KeepWaiting };
        let Some(server) = self.servers.get_mut(&attempt.server) else { return OverdueVerdict::KeepWaiting };
        let server_id = attempt.server;
        if attempt.released {
            let is_long_overdue = self.now - attempt.sent_at >= 2 * overdue_after;
            return if is_long_overdue { OverdueVerdict::Abandon } else { OverdueVerdict::KeepWaiting };
        }
        if server.outlier.is_silent_since(attempt.sent_at) {
            let needs_health_check = !self.settings.hedging_allowed
                && self.settings.health_checks_allowed
                && !server.health_check.has_failed_since(attempt.sent_at)
                && !server.outlier.is_unresponsive();
            if needs_health_check {
                self.start_health_check(server_id, actions);
                return OverdueVerdict::AwaitHealthCheck;
            }
            self.eject(server_id, EjectionReason::Unresponsive, actions);
            return OverdueVerdict::Abandon;
        }
        if server.outlier.answered_attempt_sent_after(attempt.sent_at) {
            attempt.released = true;
            server.concurrency.attempt_released();
        }
        OverdueVerdict::KeepWaiting
    }

    /// Sends one more attempt beside those in flight, where that is allowed and a server can take it.
    fn send_hedged_request(&mut self, request_id: RequestId, actions: &mut Vec<Action>) -> bool {
        let is_allowed = self.settings.hedging_allowed && self.retry_budget.can_spend(1.0);
        let is_sent = is_allowed && self.dispatch(request_id, actions);
        if is_sent {
            self.retry_budget.spend(1.0);
        }
        is_sent
    }

    /// Whether attempts in flight may be cancelled to be sent again to another server.
    fn may_replace_attempts(&self, class: ClassId) -> bool {
        !self.settings.hedging_allowed
            && self.settings.cancellation_allowed
            && self.settings.classes[class.index()].idempotency == Idempotency::Idempotent
            && self.retry_budget.can_spend(1.0)
    }
}
