//! Server selection: chooses the server for an attempt among those that are eligible for it.

use super::pending::PendingRequest;
use super::{POSITION_QUERYING_PROXIES, Router};
use crate::interface::{
    Action, Consistency, CopyCandidate, Endpoint, GroupId, Micros, ServerId, StaleReadPolicy,
};
use std::cmp::{Ordering, Reverse};

/// Fraction of a primary's concurrency limit that reads may use; the rest is reserved for writes.
const PRIMARY_READ_FRACTION: f64 = 0.5;

/// Rank of an eligible server. The server with the lowest rank is selected.
#[derive(PartialEq, PartialOrd)]
struct SelectionRank {
    /// Outstanding attempts per unit of weight.
    utilization: f64,
    is_in_other_zone: bool,
    /// Lag of a replica that is too far behind for reads with bounded staleness; `None` for other servers.
    lag: Reverse<Option<Micros>>,
    /// Random number, on average lower for a higher weight.
    tie_break: f64,
    server: ServerId,
}

/// Servers that can serve a read.
struct ReadCandidates {
    primary: Option<ServerId>,
    /// Members of the group other than the primary.
    replicas: Vec<ServerId>,
    /// Replicas that are known to be fresh enough, and servers of other groups whose copy probably is.
    fresh: Vec<ServerId>,
    /// Log position that the read has to see, if there is one.
    required: Option<Micros>,
}

impl Router {
    /// Selects the server for the next attempt of a request; `None` if no server can take it now. May start a
    /// position query, in which case the read waits for the result.
    pub(super) fn select_server(
        &mut self,
        request: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) -> Option<ServerId> {
        if self.class_of(request).consistency.requires_primary() {
            return self.select_primary(request);
        }
        let candidates = self.read_candidates(request)?;
        if let Some(replica) = self.select_fresh_replica(request, &candidates) {
            return Some(replica);
        }
        let skips_query = self.prefers_primary_to_query(request, &candidates);
        if let Some(required) = candidates.required
            && !skips_query
            && self.query_position(request, required, &candidates.replicas, actions)
        {
            return None;
        }
        if let Some(replica) = self.select_most_advanced_replica(request, &candidates) {
            return Some(replica);
        }
        if !skips_query && !self.admits_fallback(request) {
            return None;
        }
        let primary = candidates.primary.filter(|id| self.is_eligible(*id, request, PRIMARY_READ_FRACTION));
        primary.or_else(|| self.select_ejected(request, &candidates))
    }

    /// Whether a server may be sent the request: it was not tried before, it is not ejected or is due for a
    /// retry, and it has capacity within this fraction of its concurrency limit.
    pub(super) fn is_eligible(&self, id: ServerId, request: &PendingRequest, limit_fraction: f64) -> bool {
        let Some(server) = self.accepting_server(id) else { return false };
        let is_in_rotation = !server.outlier.is_ejected() || self.is_due_for_retry(server);
        is_in_rotation && !request.tried_servers.contains(&id) && self.has_capacity(server, limit_fraction)
    }

    /// Returns the candidate with the fewest outstanding attempts per unit of weight. Ties go to servers in
    /// the proxy's own zone.
    ///
    /// Reads that `accept_any_staleness` leave the fresh replicas to reads with bounded staleness. A replica
    /// that is too far behind for the latter counts as having one outstanding attempt less, and ties go to
    /// the replica that is furthest behind.
    pub(super) fn least_outstanding(
        &mut self,
        candidates: &[ServerId],
        accept_any_staleness: bool,
    ) -> Option<ServerId> {
        let max_fresh_lag = if accept_any_staleness { self.min_staleness_bound() } else { Micros::MAX };
        let rank = |id: &ServerId| {
            let server = &self.servers[id];
            let Endpoint { weight, zone, .. } = *server.endpoint.listed();
            let tie_break = -(1.0 - self.rng.f64()).ln() / weight;
            let lag = Some(server.replication.lag()).filter(|lag| *lag > max_fresh_lag);
            let outstanding = server.concurrency.in_flight_count().saturating_sub(u32::from(lag.is_some()));
            SelectionRank {
                utilization: f64::from(outstanding) / weight,
                is_in_other_zone: zone != self.settings.zone,
                lag: Reverse(lag),
                tie_break,
                server: *id,
            }
        };
        let ranks = candidates.iter().map(rank);
        let lowest = ranks.min_by(|left, right| left.partial_cmp(right).unwrap_or(Ordering::Equal));
        lowest.map(|rank| rank.server)
    }

    /// The lowest staleness bound of all classes.
    fn min_staleness_bound(&self) -> Micros {
        let bounds = self.settings.classes.iter().filter_map(|class| class.consistency.max_staleness());
        bounds.min().unwrap_or(Micros::MAX)
    }

    /// The servers that can serve the read; `None` if the group is unknown.
    fn read_candidates(&self, request: &PendingRequest) -> Option<ReadCandidates> {
        let primary = self.primary(request.group);
        let members = &self.groups.get(request.group)?.members;
        let required = self.required_position(request, self.now);
        let replicas: Vec<ServerId> = members.iter().copied().filter(|id| Some(*id) != primary).collect();
        let is_fresh = |id: &ServerId| self.servers[id].replication.has_reached(required);
        let is_likely_fresh =
            |copy: &&CopyCandidate| required.is_none_or(|required| copy.likely_position >= required);
        let copies = request.copy_candidates.iter().filter(|copy| !members.contains(&copy.server));
        let fresh_copies = copies.filter(is_likely_fresh).map(|copy| copy.server);
        let mut fresh: Vec<ServerId> = replicas.iter().copied().filter(is_fresh).collect();
        fresh.extend(fresh_copies);
        Some(ReadCandidates { primary, replicas, fresh, required })
    }

    /// Selects the least loaded among the eligible servers that are fresh enough.
    fn select_fresh_replica(
        &mut self,
        request: &PendingRequest,
        candidates: &ReadCandidates,
    ) -> Option<ServerId> {
        let eligible = candidates.fresh.iter().copied().filter(|id| self.is_eligible(*id, request, 1.0));
        let eligible: Vec<ServerId> = eligible.collect();
        let accept_any_staleness = self.class_of(request).consistency == Consistency::Any;
        self.least_outstanding(&eligible, accept_any_staleness)
    }

    /// Whether the read goes to the primary without a position query. This is the case if the fleet is so
    /// large that queries would add notable load, or if the primary is lightly loaded and serves such reads
    /// in time.
    fn prefers_primary_to_query(&mut self, request: &PendingRequest, candidates: &ReadCandidates) -> bool {
        let Some(primary) = candidates.primary else { return false };
        let querying_fraction = POSITION_QUERYING_PROXIES / f64::from(self.settings.proxy_count);
        let may_query = request.admission_draw < querying_fraction;
        let is_fallback_on_time =
            self.groups.get(request.group).is_some_and(|group| group.miss_rates.is_fallback_on_time());
        let has_spare_capacity =
            is_fallback_on_time && self.servers[&primary].concurrency.is_lightly_loaded();
        (!may_query || has_spare_capacity)
            && self.is_eligible(primary, request, PRIMARY_READ_FRACTION)
            && self.admits_fallback(request)
    }

    /// Selects the replica with the highest known log position, if servers reject stale reads before
    /// execution: a rejected attempt then costs little.
    fn select_most_advanced_replica(
        &self,
        request: &PendingRequest,
        candidates: &ReadCandidates,
    ) -> Option<ServerId> {
        if self.settings.stale_reads != StaleReadPolicy::Rejected {
            return None;
        }
        let replication = |id: &ServerId| &self.servers[id].replication;
        let eligible = candidates.replicas.iter().copied().filter(|id| {
            self.is_eligible(*id, request, 1.0) && !replication(id).is_lagging(candidates.required, self.now)
        });
        eligible.max_by_key(|id| (replication(id).position(), *id))
    }

    /// Selects the ejected server that is due first for a retry, so that ejection never leaves a group
    /// without a server.
    fn select_ejected(&self, request: &PendingRequest, candidates: &ReadCandidates) -> Option<ServerId> {
        let has_capacity = |id: &ServerId| {
            let is_primary = Some(*id) == candidates.primary;
            let limit_fraction = if is_primary { PRIMARY_READ_FRACTION } else { 1.0 };
            self.accepting_server(*id).is_some_and(|server| self.has_capacity(server, limit_fraction))
        };
        let servers = candidates.fresh.iter().copied().chain(candidates.primary);
        let available = servers.filter(|id| has_capacity(id) && !request.tried_servers.contains(id));
        available.min_by_key(|id| (self.servers[id].outlier.half_open_at(), *id))
    }

    /// Selects the primary for a write or a strong read. While no responsive server is known to be primary,
    /// the members are tried one after the other, unresponsive members last. This is safe, since a replica
    /// rejects the request before execution.
    fn select_primary(&self, request: &PendingRequest) -> Option<ServerId> {
        let group = self.groups.get(request.group)?;
        let is_available = |id: &ServerId| self.is_available_as_primary(*id, request);
        let primary = self.primary(request.group);
        if let Some(primary) = primary.filter(|id| !self.servers[id].outlier.is_unresponsive()) {
            return Some(primary).filter(is_available);
        }
        // Unless replicas reject stale reads, they would serve a strong read from stale data.
        let is_rejected_by_replicas = self.class_of(request).consistency == Consistency::Write
            || self.settings.stale_reads == StaleReadPolicy::Rejected;
        if !is_rejected_by_replicas || request.possible_execution.is_some() {
            return None;
        }
        let members = group.members.iter().copied();
        let untried = members.filter(|id| is_available(id) && !request.tried_servers.contains(id));
        untried.min_by_key(|id| (self.servers[id].outlier.is_unresponsive(), *id))
    }

    /// Whether a server may be sent a request that requires the primary. Ejection for failures does not
    /// prevent this.
    fn is_available_as_primary(&self, id: ServerId, request: &PendingRequest) -> bool {
        let Some(server) = self.accepting_server(id) else { return false };
        let is_alive = !server.outlier.is_unresponsive() || self.is_due_for_retry(server);
        let mut attempts = self.attempts_of(request);
        let has_attempt = attempts.any(|attempt| attempt.server == id && !attempt.released);
        is_alive && !has_attempt && self.has_capacity(server, 1.0)
    }

    /// The server for background work that no client waits for: the primary for writes, the replica with the
    /// fewest outstanding attempts for reads. Ejected servers and servers in slow start are excluded; if the
    /// work `yields_to_clients`, so are servers without spare capacity.
    pub fn background_candidate(
        &self,
        group: GroupId,
        is_write: bool,
        yields_to_clients: bool,
    ) -> Option<ServerId> {
        let members = &self.groups.get(group)?.members;
        let primary = self.primary(group);
        let is_candidate = |id: &ServerId| {
            let Some(server) = self.accepting_server(*id) else { return false };
            (primary == Some(*id)) == is_write
                && !server.outlier.is_ejected()
                && self.is_warmed_up(server)
                && (!yields_to_clients || self.has_capacity(server, PRIMARY_READ_FRACTION))
        };
        let candidates = members.iter().copied().filter(is_candidate);
        candidates.min_by_key(|id| (self.servers[id].concurrency.in_flight_count(), *id))
    }
}
