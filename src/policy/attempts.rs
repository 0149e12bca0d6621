//! Attempts: sends requests to servers.

use super::Router;
use super::pending::{AttemptKey, InFlightAttempt, PendingRequest};
use crate::interface::{Action, AttemptNumber, Micros, RequestId, ServerId};

/// An attempt is overdue after the mean latency plus this many mean deviations, as in TCP's retransmission
/// timeout.
pub(super) const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Interval at which queued requests are retried.
const QUEUE_RETRY_INTERVAL: Micros = 100_000;

impl Router {
    /// Sends the request to a server if one can take it now. Otherwise queues the request, unless an attempt
    /// is in flight. Returns whether the request was sent.
    pub(super) fn dispatch(&mut self, request_id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut request) = self.pending.remove(&request_id) else { return false };
        let may_send = request.attempts_sent < request.max_attempts && self.now < request.deadline;
        let selected = if may_send { self.select_server(&mut request, actions) } else { None };
        let selected = selected.filter(|server| self.may_execute_on(&request, *server, self.now));
        let has_attempt_in_flight = !request.in_flight_attempts.is_empty();
        self.pending.insert(request_id, request);
        match selected {
            Some(server) => self.send(request_id, server, actions),
            None if has_attempt_in_flight => {}
            None => self.enqueue(request_id, QUEUE_RETRY_INTERVAL, actions),
        }
        selected.is_some()
    }

    /// Sends the next attempt of a request to this server. Removes the request from the queue.
    fn send(&mut self, request_id: RequestId, server_id: ServerId, actions: &mut Vec<Action>) {
        self.dequeue(request_id);
        let Some(server) = self.servers.get(&server_id) else { return };
        let tokens = self.slow_start_tokens_after_attempt(server);
        let Some(request) = self.pending.get_mut(&request_id) else { return };
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.slow_start.set_tokens(tokens, self.now);
        server.concurrency.attempt_sent();
        server.unfinished_attempt_count += 1;
        let attempt = AttemptNumber(request.attempts_sent);
        request.attempts_sent += 1;
        request.in_flight_attempts.push(attempt);
        request.tried_servers.push(server_id);
        let in_flight = InFlightAttempt {
            server: server_id,
            sent_at: self.now,
            class: request.class,
            session: request.session,
            released: false,
            response_arriving_at: None,
            response_started_at: None,
        };
        let deadline = request.deadline;
        let overdue_at = self.now + self.latencies.upper_bound(request.class, OVERDUE_DEVIATIONS);
        let replaced = self.in_flight.insert(AttemptKey { request: request_id, attempt }, in_flight);
        if let Some(replaced) = replaced {
            self.decrement_unfinished_attempts(replaced.server);
        }
        let timeout = deadline - self.now;
        actions.push(Action::Send { request: request_id, server: server_id, timeout });
        self.schedule_wakeup(request_id, deadline.min(overdue_at));
    }

    /// Counts an attempt at this server as finished.
    pub(super) fn decrement_unfinished_attempts(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.unfinished_attempt_count -= 1;
        }
    }

    /// The attempts of the request that are in flight.
    pub(super) fn attempts_of(&self, request: &PendingRequest) -> impl Iterator<Item = &InFlightAttempt> {
        request.in_flight_attempts.iter().filter_map(|attempt| self.in_flight_attempt(request, *attempt))
    }

    /// The attempt with this number, if it is in flight.
    pub(super) fn in_flight_attempt(
        &self,
        request: &PendingRequest,
        attempt: AttemptNumber,
    ) -> Option<&InFlightAttempt> {
        let key = AttemptKey { request: request.queue_position.request, attempt };
        self.in_flight.get(&key)
    }

    /// Handles the first bytes of a response of which nothing is forwarded yet. The server has done its work,
    /// so the attempt no longer counts against the concurrency limit. The request keeps its deadline.
    pub(super) fn on_response_arriving(&mut self, key: AttemptKey) {
        let Some(attempt) = self.in_flight.get_mut(&key) else { return };
        attempt.response_arriving_at.get_or_insert(self.now);
        let was_released = std::mem::replace(&mut attempt.released, true);
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        if !was_released {
            server.concurrency.attempt_released();
        }
        server.outlier.record_sign_of_life(self.now);
    }

    /// Handles the start of a response that is forwarded to the client. The request no longer has a deadline,
    /// its other attempts are cancelled, and the attempt no longer counts against the concurrency limit.
    pub(super) fn on_response_started(&mut self, key: AttemptKey, actions: &mut Vec<Action>) {
        if !self.pending.contains_key(&key.request) {
            return;
        }
        self.on_response_arriving(key);
        let Some(request) = self.pending.get(&key.request) else { return };
        let Some(attempt) = self.in_flight.get_mut(&key) else { return };
        self.wakeups.cancel(key.request, request.next_wakeup);
        attempt.response_started_at = Some(self.now);
        if self.settings.cancellation_allowed {
            let others = request.in_flight_attempts.iter().filter(|attempt| **attempt != key.attempt);
            actions.extend(others.map(|attempt| Action::Cancel { request: key.request, attempt: *attempt }));
        }
    }
}
