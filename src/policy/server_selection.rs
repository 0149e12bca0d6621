//! Which server, among those that may take a request.

use super::*;

/// Share of a primary's cap that reads may fill: the rest is kept for writes.
const PRIMARY_READ_FRACTION: f64 = 0.5;
/// Reads that fell back miss seldom: the last miss is some ten answers or a hundred tries past.
const LOW_MISS_RATE: f64 = 0.05;

impl Router {
    /// After its wait a suspect is one among the others, for one request at a time.
    pub(super) fn is_eligible(&self, id: ServerId, open: &PendingRequest, share: f64) -> bool {
        let Some(s) = self.accepting_server(id) else { return false };
        (!s.ejected || self.is_half_open(s))
            && !open.tried_servers.contains(&id)
            && self.has_capacity(s, share)
    }

    /// The fewest outstanding per unit weight; own zone first while no busier; ties by a lot by weight. A
    /// read that `any` replica may answer leaves the fresh ones to others: ties go to the one furthest
    /// behind, and one more is no busier where a replica is of no use to bounded reads.
    pub(super) fn least_outstanding(&mut self, among: &[ServerId], any: bool) -> Option<ServerId> {
        let bounds = self.settings.classes.iter().filter_map(|c| c.consistency.max_staleness());
        let bound = bounds.min().filter(|_| any).unwrap_or(Micros::MAX);
        let rank = |id: &ServerId| {
            let s = &self.servers[id];
            let lot = -(1.0 - self.rng.f64()).ln() / s.endpoint.weight;
            let behind = Some(s.lag).filter(|lag| *lag > bound);
            let busy =
                f64::from(s.in_flight_count.saturating_sub(u32::from(behind.is_some()))) / s.endpoint.weight;
            (busy, s.endpoint.zone != self.settings.zone, std::cmp::Reverse(behind), lot, *id)
        };
        let ranks = among.iter().map(rank);
        ranks.min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)).map(|rank| rank.4)
    }

    pub(super) fn select_server(
        &mut self,
        open: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) -> Option<ServerId> {
        let primary = self.primary(open.group);
        if self.settings.classes[open.class].consistency.requires_primary() {
            return self.select_primary(open, primary);
        }
        let Group { members, miss_rates: missed, .. } = self.groups.get(&open.group)?;
        let well = missed[1] < LOW_MISS_RATE;
        let replicas: Vec<ServerId> = members.iter().copied().filter(|m| Some(*m) != primary).collect();
        let required = self.required_position(open, self.now);
        let fresh = |r: &&ServerId| required.is_none_or(|at| self.servers[*r].position >= Some(at));
        let copy = |c: &&CopyCandidate| {
            !members.contains(&c.server) && required.is_none_or(|at| c.likely_position >= at)
        };
        let copies = open.copy_candidates.iter().filter(copy).map(|c| c.server);
        let fresh: Vec<ServerId> = replicas.iter().filter(fresh).copied().chain(copies).collect();
        let able: Vec<ServerId> = fresh.iter().copied().filter(|r| self.is_eligible(*r, open, 1.0)).collect();
        if let Some(best) =
            self.least_outstanding(&able, self.settings.classes[open.class].consistency == Consistency::Any)
        {
            return Some(best);
        }
        // Asking is not worth its price while the primary is at ease and what fell back on it was in time.
        let at_ease = |p| {
            well && (f64::MIN_POSITIVE..CONGESTION_LATENCY_RATIO / 2.0)
                .contains(&self.servers[&p].latency_ratio)
        };
        let thin = open.admission_draw >= POSITION_QUERYING_PROXIES / f64::from(self.settings.proxy_count);
        let spares = |p: ServerId| (thin || at_ease(p)) && self.is_eligible(p, open, PRIMARY_READ_FRACTION);
        let unasked = primary.is_some_and(spares) && self.admits(open, true);
        if required.is_some_and(|at| !unasked && self.query_position(open, at, &replicas, actions)) {
            return None;
        }
        if self.settings.stale_reads == StaleReadPolicy::Rejected {
            // A server that lags says so and nothing ran: the furthest ahead is worth a try.
            let able = replicas.iter().copied().filter(|r| self.is_eligible(*r, open, 1.0));
            let able = able.filter(|r| required.is_none_or(|at| !self.is_lagging(&self.servers[r], at)));
            if let Some(ahead) = able.max_by_key(|r| (self.servers[r].position, *r)) {
                return Some(ahead);
            }
        }
        if !unasked && !self.admits(open, true) {
            return None;
        }
        if let Some(p) = primary.filter(|p| self.is_eligible(*p, open, PRIMARY_READ_FRACTION)) {
            return Some(p);
        }
        // Suspicion never empties a group: the suspect due first rather than none.
        let share = |r: &ServerId| if Some(*r) == primary { PRIMARY_READ_FRACTION } else { 1.0 };
        let last = |r: &ServerId| self.accepting_server(*r).is_some_and(|s| self.has_capacity(s, share(r)));
        let any = fresh.into_iter().chain(primary).filter(last).filter(|r| !open.tried_servers.contains(r));
        any.min_by_key(|r| (self.servers[r].half_open_at, *r))
    }

    /// Where work that no client waits for may go now: a write to the primary, a read to the replica with the
    /// fewest out. A cold server is left alone, and clients' work goes first there, if it `yields`.
    pub fn background_candidate(&self, group: GroupId, write: bool, yields: bool) -> Option<ServerId> {
        let warm = |s: &Server| !s.ejected && self.slow_start_fraction(s, self.now) >= 1.0;
        let fit = |s: &Server| warm(s) && (!yields || self.has_capacity(s, PRIMARY_READ_FRACTION));
        let able = |id: &ServerId| {
            self.accepting_server(*id).is_some_and(fit) && (self.primary(group) == Some(*id)) == write
        };
        let able = self.groups.get(&group)?.members.iter().copied().filter(able);
        able.min_by_key(|id| (self.servers[id].in_flight_count, *id))
    }

    fn select_primary(&self, open: &PendingRequest, primary: Option<ServerId>) -> Option<ServerId> {
        let group = self.groups.get(&open.group)?;
        let up = |s: &Server| (!s.unresponsive || self.is_half_open(s)) && self.has_capacity(s, 1.0);
        let alive = |id: &ServerId| self.accepting_server(*id).is_some_and(up);
        let free = |id: &ServerId| !self.attempts_of(open).any(|f| f.server == *id && !f.released);
        if let Some(p) = primary.filter(|p| !self.servers[p].unresponsive) {
            return Some(p).filter(|p| alive(p) && free(p));
        }
        // A fresh read goes round only where servers check: others would answer it stale.
        let asks = self.settings.classes[open.class].consistency == Consistency::Write
            || self.settings.stale_reads == StaleReadPolicy::Rejected;
        if !asks || open.possible_execution.is_some() {
            return None;
        }
        // Nobody is known to be primary: once round the members (a miss: nothing ran), the silent last.
        let round = group.members.iter().filter(|m| alive(m) && free(m) && !open.tried_servers.contains(m));
        round.copied().min_by_key(|m| (self.servers[m].unresponsive, *m))
    }
}
