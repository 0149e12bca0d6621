//! The final answer of a request that was not served, and the end of every request.

use super::Router;
use crate::interface::{Action, Idempotency, Micros, RequestClass, RequestId};

/// Retry-After for a class whose late answers still have value.
const SHORT_RETRY_AFTER: Micros = 500_000;

impl Router {
    /// Gives the final answer when no server can serve the request: `Reject` if a retry by the client is
    /// safe.
    pub(super) fn finish_unserved(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&request_id) else { return };
        let class = self.class_of(request);
        let cannot_have_run = request.possible_execution.is_none() && request.in_flight_attempts.is_empty();
        if cannot_have_run || class.idempotency == Idempotency::Idempotent {
            let retry_after = self.retry_after(class);
            actions.push(Action::Reject { request: request_id, retry_after });
        } else {
            actions.push(Action::Fail { request: request_id });
        }
        self.finish(request_id, actions);
    }

    /// A retry after the latency objective is worthless for a class whose late answers have no value: its
    /// clients are asked to stay away as long as they honour.
    fn retry_after(&self, class: &RequestClass) -> Option<Micros> {
        let is_late_answer_useless = class.late_weight_fraction <= 0.0;
        let max_retry_after = self.settings.max_retry_after?;
        Some(if is_late_answer_useless { max_retry_after } else { max_retry_after.min(SHORT_RETRY_AFTER) })
    }

    /// Removes a request that has its final answer, or needs none, and cancels its attempts in flight.
    pub(super) fn finish(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        self.dequeue(request_id);
        let Some(request) = self.pending.remove(&request_id) else { return };
        self.wakes.cancel(request_id, request.next_wake);
        if self.settings.cancellation_allowed {
            let cancel = |attempt| Action::Cancel { request: request_id, attempt };
            actions.extend(request.in_flight_attempts.into_iter().map(cancel));
        }
    }
}
