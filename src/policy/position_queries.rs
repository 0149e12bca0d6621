//! Position queries: if no replica is known to be fresh enough for a read, the router can query the position
//! of a replica while the read waits.
//!
//! A proxy with a small share of the traffic rarely receives a position from each replica, so that most of
//! its reads would go to the primary. No queries are sent if servers reject stale reads themselves, since an
//! attempt that is rejected costs less than a query.

use super::Router;
use super::pending::PendingRequest;
use crate::estimates::initial_latency;
use crate::interface::{Action, LoadReportSource, Micros, ServerId, StaleReadPolicy};

/// Maximum number of replicas queried for one read. The second is queried if the first is behind or does not
/// respond.
const MAX_POSITION_QUERIES: usize = 2;

impl Router {
    /// Queries the position of a replica by a health check. Returns whether the read waits for the result.
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
        if !self.are_position_queries_useful() || request.queried_servers.len() >= MAX_POSITION_QUERIES {
            return false;
        }
        let Some(replica) = self.query_candidate(request, required, replicas) else { return false };
        // The response may never arrive. The read waits only for a small part of its latency objective.
        let max_wait = initial_latency(self.class_of(request)) as Micros;
        request.query_until = Some(self.now + max_wait);
        request.queried_servers.push(replica);
        self.start_health_check(replica, actions);
        true
    }

    /// Whether the read still waits for the last position query.
    fn is_query_in_flight(&self, request: &PendingRequest) -> bool {
        let last_queried = request.queried_servers.last().and_then(|id| self.servers.get(id));
        let is_in_flight = last_queried.is_some_and(|server| server.health_check.is_in_flight());
        request.query_until > Some(self.now) && is_in_flight
    }

    /// Whether health checks report positions and servers serve stale reads, so that position queries are
    /// useful.
    fn are_position_queries_useful(&self) -> bool {
        self.settings.health_checks_allowed
            && self.settings.load_reports_have_position
            && self.settings.load_reports != LoadReportSource::Never
            && self.settings.stale_reads == StaleReadPolicy::Served
    }

    /// Returns the least loaded of the replicas that may be fresh enough. Replicas whose last health check
    /// succeeded are preferred.
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
