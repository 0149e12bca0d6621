//! Final responses to requests that were not served, and removal of finished requests.

use super::Router;
use crate::interface::{Action, Idempotency, Micros, RequestClass, RequestId};

/// Maximum suggested retry delay for a class whose late responses still have value.
const SHORT_RETRY_AFTER: Micros = 500_000;

impl Router {
    /// Sends the final response to a request that no server could serve: [`Action::Reject`] if a retry by the
    /// client is safe, otherwise [`Action::Fail`].
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

    /// Retry delay to suggest to clients. If late responses of the class have no value, a retry after the
    /// latency objective is useless, and the longest delay that clients honour is suggested.
    fn retry_after(&self, class: &RequestClass) -> Option<Micros> {
        let has_no_late_value = class.late_weight_fraction <= 0.0;
        let max_retry_after = self.settings.max_retry_after?;
        Some(if has_no_late_value { max_retry_after } else { max_retry_after.min(SHORT_RETRY_AFTER) })
    }

    /// Removes a request that has its final response or needs none. Cancels its attempts in flight.
    pub(super) fn finish(&mut self, request_id: RequestId, actions: &mut Vec<Action>) {
        self.dequeue(request_id);
        let Some(request) = self.pending.remove(&request_id) else { return };
        self.wakeups.cancel(request_id, request.next_wakeup);
        if self.settings.cancellation_allowed {
            let cancel = |attempt| Action::Cancel { request: request_id, attempt };
            actions.extend(request.in_flight_attempts.into_iter().map(cancel));
        }
    }
}
