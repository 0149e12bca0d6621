//! Conditions under which an attempt may be sent: they hold when the attempt is decided, and again just
//! before it is written.

use super::Router;
use super::pending::{InFlightAttempt, PendingRequest, PossibleExecution};
use super::servers::Server;
use crate::interface::{
    AttemptNumber, Consistency, DedupScope, Idempotency, Micros, RequestId, ServerId, StaleReadPolicy,
};

impl Router {
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
}
