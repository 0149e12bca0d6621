//! Position queries: a read for which no replica is known to be fresh enough can wait for the position of
//! one.
//!
//! A proxy with a small part of the traffic rarely hears from each replica, so that most of its reads would
//! fall on the primary. Where servers reject stale reads themselves, trying one costs less than a query.

use super::Router;
use super::pending::PendingRequest;
use crate::estimates::initial_latency;
use crate::interface::{Action, LoadReportSource, Micros, ServerId, StaleReadPolicy};

/// Replicas whose position is queried for one read: another one if the first is behind or silent.
const MAX_POSITION_QUERIES: usize = 2;

impl Router {
    /// Queries the position of a replica by a health check. Returns whether the read waits for it.
    pub(super) fn query_position(
        &mut self,
        request: &mut PendingRequest,
        required: Micros,
        replicas: &[ServerId],
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.is_query_in_flight(request) {
            return true;
        }
        request.query_until = None;
        if !self.health_checks_report_position() || request.queried_servers.len() >= MAX_POSITION_QUERIES {
            return false;
        }
        let Some(replica) = self.query_candidate(request, required, replicas) else { return false };
        // The response may never come: the read waits for a small part of its latency objective only.
        let max_wait = initial_latency(self.class_of(request)) as Micros;
        request.query_until = Some(self.now + max_wait);
        request.queried_servers.push(replica);
        self.start_health_check(replica, actions);
        true
    }

    /// Whether the read still waits for the position that was queried last.
    fn is_query_in_flight(&self, request: &PendingRequest) -> bool {
        let last_queried = request.queried_servers.last().and_then(|id| self.servers.get(id));
        let is_in_flight = last_queried.is_some_and(|server| server.health_check.is_in_flight());
        request.query_until > Some(self.now) && is_in_flight
    }

    /// Whether a position query can succeed, and is of use.
    fn health_checks_report_position(&self) -> bool {
        self.settings.health_checks_allowed
            && self.settings.load_reports_have_position
            && self.settings.load_reports != LoadReportSource::Never
            && self.settings.stale_reads == StaleReadPolicy::Served
    }

    /// The least loaded replica that may be fresh enough, preferably one that answers health checks.
    fn query_candidate(
        &mut self,
        request: &PendingRequest,
        required: Micros,
        replicas: &[ServerId],
    ) -> Option<ServerId> {
        let is_candidate = |id: &&ServerId| {
            let is_lagging = self.servers[*id].replication.is_lagging(Some(required), self.now);
            !request.queried_servers.contains(id) && self.is_eligible(**id, request, 1.0) && !is_lagging
        };
        let candidates = replicas.iter().filter(is_candidate).copied();
        let (failed, responsive): (Vec<ServerId>, Vec<ServerId>) =
            candidates.partition(|id| self.servers[id].health_check.has_failed());
        self.least_outstanding(&responsive, false).or_else(|| self.least_outstanding(&failed, false))
    }
}
