//! Which server, among those that may take a request.

use super::*;

/// Share of a primary's cap that reads may fill: the rest is kept for writes.
const READ_SHARE: f64 = 0.5;
/// Reads that fell back miss seldom: the last miss is some ten answers or a hundred tries past.
const SELDOM: f64 = 0.05;

impl Router {
    /// After its wait a suspect is one among the others, for one request at a time.
    pub(super) fn usable(&self, id: ServerId, open: &Open, share: f64) -> bool {
        let Some(s) = self.ready(id) else { return false };
        (!s.suspect || self.trial_due(s)) && !open.tried.contains(&id) && self.room(s, share)
    }

    /// The fewest outstanding per unit weight; own zone first while no busier; ties by a lot by weight. A
    /// read that `any` replica may answer leaves the fresh ones to others: ties go to the one furthest
    /// behind, and one more is no busier where a replica is of no use to bounded reads.
    pub(super) fn least(&mut self, among: &[ServerId], any: bool) -> Option<ServerId> {
        let bounds = self.set.classes.iter().filter_map(|c| c.consistency.max_staleness());
        let bound = bounds.min().filter(|_| any).unwrap_or(Micros::MAX);
        let rank = |id: &ServerId| {
            let s = &self.servers[id];
            let lot = -(1.0 - self.rng.f64()).ln() / s.line.weight;
            let behind = Some(s.lag).filter(|lag| *lag > bound);
            let busy = f64::from(s.out.saturating_sub(u32::from(behind.is_some()))) / s.line.weight;
            (busy, s.line.zone != self.set.zone, std::cmp::Reverse(behind), lot, *id)
        };
        let ranks = among.iter().map(rank);
        ranks.min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)).map(|rank| rank.4)
    }

    pub(super) fn choose(&mut self, open: &mut Open, out: &mut Vec<Action>) -> Option<ServerId> {
        let primary = self.primary(open.group);
        if self.set.classes[open.class].consistency.requires_primary() {
            return self.choose_primary(open, primary);
        }
        let Group { members, missed, .. } = self.groups.get(&open.group)?;
        let well = missed[1] < SELDOM;
        let replicas: Vec<ServerId> = members.iter().copied().filter(|m| Some(*m) != primary).collect();
        let required = self.required(open, self.now);
        let fresh = |r: &&ServerId| required.is_none_or(|at| self.servers[*r].position >= Some(at));
        let copy = |c: &&CopyCandidate| {
            !members.contains(&c.server) && required.is_none_or(|at| c.likely_position >= at)
        };
        let copies = open.copy_candidates.iter().filter(copy).map(|c| c.server);
        let fresh: Vec<ServerId> = replicas.iter().filter(fresh).copied().chain(copies).collect();
        let able: Vec<ServerId> = fresh.iter().copied().filter(|r| self.usable(*r, open, 1.0)).collect();
        if let Some(best) = self.least(&able, self.set.classes[open.class].consistency == Consistency::Any) {
            return Some(best);
        }
        // Asking is not worth its price while the primary is at ease and what fell back on it was in time.
        let at_ease = |p| well && (f64::MIN_POSITIVE..CONGESTED / 2.0).contains(&self.servers[&p].strain);
        let thin = open.lot >= ASKERS / f64::from(self.set.proxy_count);
        let spares = |p: ServerId| (thin || at_ease(p)) && self.usable(p, open, READ_SHARE);
        let unasked = primary.is_some_and(spares) && self.admits(open, true);
        if required.is_some_and(|at| !unasked && self.ask(open, at, &replicas, out)) {
            return None;
        }
        if self.set.stale_reads == StaleReadPolicy::Rejected {
            // A server that lags says so and nothing ran: the furthest ahead is worth a try.
            let able = replicas.iter().copied().filter(|r| self.usable(*r, open, 1.0));
            let able = able.filter(|r| required.is_none_or(|at| !self.far(&self.servers[r], at)));
            if let Some(ahead) = able.max_by_key(|r| (self.servers[r].position, *r)) {
                return Some(ahead);
            }
        }
        if !unasked && !self.admits(open, true) {
            return None;
        }
        if let Some(p) = primary.filter(|p| self.usable(*p, open, READ_SHARE)) {
            return Some(p);
        }
        // Suspicion never empties a group: the suspect due first rather than none.
        let share = |r: &ServerId| if Some(*r) == primary { READ_SHARE } else { 1.0 };
        let last = |r: &ServerId| self.ready(*r).is_some_and(|s| self.room(s, share(r)));
        let any = fresh.into_iter().chain(primary).filter(last).filter(|r| !open.tried.contains(r));
        any.min_by_key(|r| (self.servers[r].trial_at, *r))
    }

    /// Where work that no client waits for may go now: a write to the primary, a read to the replica with the
    /// fewest out. A cold server is left alone, and clients' work goes first there, if it `yields`.
    pub fn background_candidate(&self, group: GroupId, write: bool, yields: bool) -> Option<ServerId> {
        let warm = |s: &Server| !s.suspect && self.warmth(s, self.now) >= 1.0;
        let fit = |s: &Server| warm(s) && (!yields || self.room(s, READ_SHARE));
        let able =
            |id: &ServerId| self.ready(*id).is_some_and(fit) && (self.primary(group) == Some(*id)) == write;
        let able = self.groups.get(&group)?.members.iter().copied().filter(able);
        able.min_by_key(|id| (self.servers[id].out, *id))
    }

    fn choose_primary(&self, open: &Open, primary: Option<ServerId>) -> Option<ServerId> {
        let group = self.groups.get(&open.group)?;
        let up = |s: &Server| (!s.mute || self.trial_due(s)) && self.room(s, 1.0);
        let alive = |id: &ServerId| self.ready(*id).is_some_and(up);
        let free = |id: &ServerId| !self.flights(open).any(|f| f.server == *id && !f.lost);
        if let Some(p) = primary.filter(|p| !self.servers[p].mute) {
            return Some(p).filter(|p| alive(p) && free(p));
        }
        // A fresh read goes round only where servers check: others would answer it stale.
        let asks = self.set.classes[open.class].consistency == Consistency::Write
            || self.set.stale_reads == StaleReadPolicy::Rejected;
        if !asks || open.ran_at.is_some() {
            return None;
        }
        // Nobody is known to be primary: once round the members (a miss: nothing ran), the silent last.
        let round = group.members.iter().filter(|m| alive(m) && free(m) && !open.tried.contains(m));
        round.copied().min_by_key(|m| (self.servers[m].mute, *m))
    }
}
