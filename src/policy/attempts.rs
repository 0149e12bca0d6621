//! Attempts: sends requests to servers and decides whether a request may be sent again.

use super::Router;
use super::pending::{AttemptKey, InFlightAttempt, PendingRequest, PossibleExecution};
use super::servers::Server;
use crate::interface::{
    Action, AttemptNumber, Consistency, DedupScope, Idempotency, Micros, RequestId, ServerId, StaleReadPolicy,
};

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
    fn in_flight_attempt(
        &self,
        request: &PendingRequest,
        attempt: AttemptNumber,
    ) -> Option<&InFlightAttempt> {
        let key = AttemptKey { request: request.queue_position.request, attempt };
        self.in_flight.get(&key)
    }

    /// Returns whether the request may be executed on this server at this time. If an earlier attempt may
    /// have executed it, that depends on the hedging setting and on the idempotency of the request's class.
    pub(super) fn may_execute_on(&self, request: &PendingRequest, server_id: ServerId, now: Micros) -> bool {
        self.may_execute_besides(request, request.in_flight_attempts.iter(), server_id, now)
    }

    /// Returns whether the request may be executed on this server at this time, besides these attempts in
    /// flight and the completed ones.
    fn may_execute_besides<'a>(
        &self,
        request: &PendingRequest,
        in_flight: impl Iterator<Item = &'a AttemptNumber>,
        server_id: ServerId,
        now: Micros,
    ) -> bool {
        let in_flight = in_flight.filter_map(|attempt| self.in_flight_attempt(request, *attempt));
        let first_in_flight = in_flight
            .map(|attempt| PossibleExecution { sent_at: attempt.sent_at, server: attempt.server })
            .min();
        if first_in_flight.is_some() && !self.settings.hedging_allowed {
            return false;
        }
        let Some(first) = first_in_flight.into_iter().chain(request.possible_execution).min() else {
            return true;
        };
        match self.class_of(request).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { scope, dedup_window } => {
                let zone_of = |id| self.servers.get(&id).map(|server| server.endpoint.listed().zone);
                let is_in_window = now - first.sent_at < dedup_window;
                is_in_window && (scope != DedupScope::Zone || zone_of(server_id) == zone_of(first.server))
            }
        }
    }

    /// Whether an attempt may still be written to its server. The caller has to check this just before
    /// writing: while the connection was established, the server may have started to drain or lost its role,
    /// its data may have become too old, another process of it may have started, another attempt may have
    /// started to respond, and the time within which a request that may have run may be repeated may have
    /// passed.
    pub fn may_still_send(&self, now: Micros, request_id: RequestId, attempt: AttemptNumber) -> bool {
        let now = now.max(self.now);
        let Some(request) = self.pending.get(&request_id) else { return false };
        let Some(in_flight) = self.in_flight_attempt(request, attempt) else { return false };
        let other_attempts = || request.in_flight_attempts.iter().filter(|other| **other != attempt);
        self.accepting_server(in_flight.server).is_some_and(|server| {
            self.may_execute_besides(request, other_attempts(), in_flight.server, now)
                && !other_attempts().any(|other| self.has_response_started(request, *other))
                && self.is_within_slow_start_budget(in_flight, server)
                && self.has_required_data(request, in_flight.server, server, now)
        })
    }

    /// Whether the slow-start budget of a server covers an attempt. It does not if the attempt was sent by a
    /// decision that did not know of the server's current process.
    fn is_within_slow_start_budget(&self, attempt: &InFlightAttempt, server: &Server) -> bool {
        server.process_listed_at <= Some(attempt.sent_at) || self.is_warmed_up(server)
    }

    /// Whether the response of an attempt in flight has started.
    fn has_response_started(&self, request: &PendingRequest, attempt: AttemptNumber) -> bool {
        let attempt = self.in_flight_attempt(request, attempt);
        attempt.is_some_and(|attempt| attempt.response_started_at.is_some())
    }

    /// Whether a server has the data of the request's group, as new as the request requires it at this time.
    fn has_required_data(
        &self,
        request: &PendingRequest,
        id: ServerId,
        server: &Server,
        now: Micros,
    ) -> bool {
        // A server of another group checks the position of its copy itself. Without a copy, it has left the
        // group since the request was assigned to it.
        if server.endpoint.listed().group != request.group {
            return request.copy_candidates.iter().any(|copy| copy.server == id);
        }
        match self.class_of(request).consistency {
            Consistency::Write | Consistency::Any => true,
            Consistency::Strong | Consistency::Session | Consistency::BoundedStaleness(_) => {
                self.settings.stale_reads == StaleReadPolicy::Rejected
                    || self.primary(request.group) == Some(id)
                    || server.replication.has_reached(self.required_position(request, now))
            }
        }
    }

    /// Handles the start of a response that is forwarded to the client. The request no longer has a deadline,
    /// its other attempts are cancelled, and the attempt no longer counts against the concurrency limit.
    pub(super) fn on_response_started(&mut self, key: AttemptKey, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&key.request) else { return };
        let Some(attempt) = self.in_flight.get_mut(&key) else { return };
        self.wakeups.cancel(key.request, request.next_wakeup);
        attempt.response_started_at = Some(self.now);
        let was_released = std::mem::replace(&mut attempt.released, true);
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            if !was_released {
                server.concurrency.attempt_released();
            }
            server.outlier.record_response(self.now);
        }
        if self.settings.cancellation_allowed {
            let others = request.in_flight_attempts.iter().filter(|attempt| **attempt != key.attempt);
            actions.extend(others.map(|attempt| Action::Cancel { request: key.request, attempt: *attempt }));
        }
    }
}
