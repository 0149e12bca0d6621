//! Queueing: each group has a queue of requests that wait for a server.

use super::Router;
use super::pending::PendingRequest;
use crate::interface::{Action, GroupId, Micros, RequestId};
use std::cmp::Reverse;

/// A queued request is retried only if the time to its deadline exceeds the mean latency plus this many mean
/// deviations.
const QUEUE_DEVIATIONS: f64 = 2.0;
/// Maximum number of queued reads, and of queued writes, that one event retries. Each response to them
/// retries the same number again, so that the queue drains at a growing rate but not all at once.
const QUEUE_RETRY_BATCH: usize = 2;

/// Order of queued requests: writes before reads, then by descending priority weight, then newest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub is_read: bool,
    pub priority_weight_thousandths: Reverse<i64>,
    pub arrival: Reverse<i64>,
    pub request: RequestId,
}

/// Lowest possible position of a read, which separates writes from reads.
const FIRST_READ: QueuePosition = QueuePosition {
    is_read: true,
    priority_weight_thousandths: Reverse(i64::MAX),
    arrival: Reverse(i64::MAX),
    request: RequestId(0),
};

impl Router {
    /// Queues a request and schedules a retry after the delay. Finishes the request instead if it can no
    /// longer be served in time or may not be retried.
    pub(super) fn enqueue(&mut self, request_id: RequestId, delay: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&request_id) else { return };
        let (delay, required_time) = match request.query_until.filter(|at| *at > self.now) {
            // The request waits for the position of a replica and needs no time for an attempt yet.
            Some(query_until) => (query_until - self.now, 0),
            None => (delay, self.latencies.upper_bound(request.class, QUEUE_DEVIATIONS)),
        };
        let deadline = if request.is_undelivered {
            request.deadline.min(request.delivery_deadline + required_time)
        } else {
            request.deadline
        };
        let is_too_late = self.now + required_time >= deadline;
        let attempts_exhausted = request.attempts_sent >= request.max_attempts;
        if is_too_late || attempts_exhausted || self.is_retry_forbidden(request) {
            return self.finish_unserved(request_id, actions);
        }
        let retry_at = (self.now + delay).min(deadline - required_time);
        let position = request.queue_position;
        self.groups.get_or_create(request.group).queued.insert(position);
        self.schedule_wakeup(request_id, retry_at);
    }

    /// Whether the request may have run and may not be sent again, not even to the server that may have run
    /// it.
    fn is_retry_forbidden(&self, request: &PendingRequest) -> bool {
        request.possible_execution.is_some_and(|first| !self.may_execute_on(request, first.server, self.now))
    }

    pub(super) fn dequeue(&mut self, request_id: RequestId) {
        let Some(request) = self.pending.get(&request_id) else { return };
        self.groups.dequeue(request.group, &request.queue_position);
    }

    /// Retries queued requests of a group after an event that may have freed capacity or advanced the known
    /// position of a replica. Cost: O(log of the queue's length) and the dispatch of at most two batches.
    pub(super) fn retry_queued(&mut self, group_id: GroupId, actions: &mut Vec<Action>) {
        let Some(group) = self.groups.get(group_id) else { return };
        let writes = group.queued.range(..FIRST_READ).take(QUEUE_RETRY_BATCH);
        let reads = group.queued.range(FIRST_READ..).take(QUEUE_RETRY_BATCH);
        let request_ids: Vec<RequestId> = writes.chain(reads).map(|position| position.request).collect();
        for request_id in request_ids {
            let is_untried =
                self.pending.get(&request_id).is_some_and(|request| request.tried_servers.is_empty());
            if is_untried {
                self.dispatch(request_id, actions);
            }
        }
    }
}
