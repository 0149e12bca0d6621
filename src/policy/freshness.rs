//! Roles and log positions: which member takes writes, which may answer a read, and how that is asked.

use super::*;

/// Sessions remembered, until one bound for all stands in for them.
const SESSIONS: usize = 65_536;
/// Replicas asked where they stand for one read, and the pause before one too far behind is again.
const ASKS: usize = 2;
const FAR_PAUSE: Micros = 500_000;

impl Router {
    /// The member last proven primary; without proof, the one listed and not yet refuted.
    pub(super) fn primary(&self, group: GroupId) -> Option<ServerId> {
        let members = &self.groups.get(&group)?.members;
        let rank = |id: &ServerId| {
            let s = self.ready(*id)?;
            let claims = s.primary_at > s.replica_at || (s.line.primary && s.replica_at.is_none());
            claims.then_some((s.primary_at, !s.mute, *id))
        };
        members.iter().filter_map(rank).max().map(|(_, _, id)| id)
    }

    /// What a server said of itself at a time up to `at`.
    pub(super) fn learn(&mut self, id: ServerId, role: Option<Role>, position: Option<Micros>, at: Micros) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        // One that goes back is older than what is known, or spoilt.
        if let Some(position) = position.map(|p| p.min(self.now)).filter(|p| s.position <= Some(*p)) {
            s.position = Some(position);
            (s.lag, s.lag_at) = (self.now - position, Some(self.now));
        }
        let seen = |of, was: Option<Micros>| if role == Some(of) { was.max(Some(at)) } else { was };
        (s.primary_at, s.replica_at) = (seen(Role::Primary, s.primary_at), seen(Role::Replica, s.replica_at));
    }

    pub(super) fn learn_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        let Some(r) = report else { return };
        // A primary stands at the present: its position dates the report. A newer note that it is none wins.
        match (r.role, r.position) {
            (Some(Role::Primary), Some(at)) => self.learn(id, r.role, r.position, at.min(self.now)),
            _ => self.learn(id, None, r.position, self.now),
        }
    }

    /// The position that a server must have reached, if it matters.
    pub(super) fn required(&self, open: &Open, now: Micros) -> Option<Micros> {
        match self.set.classes[open.class].consistency {
            Consistency::Any => None,
            Consistency::Write | Consistency::Strong => Some(Micros::MAX),
            Consistency::BoundedStaleness(age) => Some(now - age),
            Consistency::Session => open.token,
        }
    }

    pub(super) fn token(&self, request: &Request) -> Option<Micros> {
        (self.set.classes[request.class.0 as usize].consistency == Consistency::Session).then_some(())?;
        let known = || request.session.and_then(|s| self.sessions.get(&s).copied());
        if self.set.session_positions == SessionPositionSource::FromRequest {
            request.last_write_position
        } else {
            known().or(self.forgotten)
        }
    }

    pub(super) fn remember(&mut self, session: Option<SessionId>, commit: Option<Micros>) {
        let session =
            session.filter(|_| self.set.session_positions == SessionPositionSource::FromObservedWrites);
        let (Some(session), Some(commit)) = (session, commit) else { return };
        let newest = self.sessions.entry(session).or_insert(commit);
        *newest = commit.max(*newest);
        if self.sessions.len() > SESSIONS {
            // One bound stands in for all: the replicas pass it within moments.
            self.forgotten = self.sessions.values().copied().max();
            self.sessions.clear();
        }
    }

    /// It was too far behind for this when last heard, a moment ago: not to be asked again yet.
    pub(super) fn far(&self, s: &Server, at: Micros) -> bool {
        at > self.now - s.lag && s.lag_at >= Some(self.now - FAR_PAUSE)
    }

    /// A thin router knows no replica fresh, and its reads would all fall on the primary: it asks one before
    /// the read, another if that is behind or silent; where servers check, trying is cheaper. True: it waits.
    pub(super) fn ask(
        &mut self,
        open: &mut Open,
        at: Micros,
        of: &[ServerId],
        out: &mut Vec<Action>,
    ) -> bool {
        let tells = self.set.health_checks_allowed
            && self.set.load_reports_have_position
            && self.set.stale_reads == StaleReadPolicy::Served;
        let tells = tells && self.set.load_reports != LoadReportSource::Never;
        let last = open.asked.last().and_then(|id| self.servers.get(id));
        if open.ask_until > Some(self.now) && last.is_some_and(|s| s.probe_out) {
            return true;
        }
        open.ask_until = None;
        if !tells || open.asked.len() >= ASKS {
            return false;
        }
        let near = |r: &ServerId| self.usable(*r, open, 1.0) && !self.far(&self.servers[r], at);
        let able = |r: &ServerId| !open.asked.contains(r) && near(r);
        let (deaf, answering): (Vec<_>, Vec<_>) =
            of.iter().filter(|r| able(r)).partition(|r| self.servers[r].unprobed.is_some());
        let first = self.least(&answering, false);
        let Some(id) = first.or_else(|| self.least(&deaf, false)) else { return false };
        // For a small part of the aim only: a probe may get no reply at all.
        open.ask_until = Some(self.now + guess(&self.set.classes[open.class]) as Micros);
        open.asked.push(id);
        self.probe(id, out);
        true
    }

    pub(super) fn probe(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let asks = self.servers.get_mut(&server).is_some_and(|s| !std::mem::replace(&mut s.probe_out, true));
        out.extend(asks.then_some(Action::HealthCheck { server }));
    }

    pub(super) fn probed(
        &mut self,
        id: ServerId,
        ending: AttemptOutcome,
        told: Option<LoadReport>,
        out: &mut Vec<Action>,
    ) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.probe_out = false;
        s.unprobed =
            Some(self.now).filter(|_| !matches!(ending, AttemptOutcome::Ok | AttemptOutcome::NotSent));
        // Beside a second copy a probe proves too little: a server may hang and still answer it.
        if !self.set.hedging_allowed
            && matches!(
                ending,
                AttemptOutcome::Ok
                    | AttemptOutcome::Error
                    | AttemptOutcome::Overloaded
                    | AttemptOutcome::Ineligible
            )
        {
            s.last_reply = Some(self.now);
        }
        let group = s.line.group;
        self.learn_report(id, told.filter(|_| ending == AttemptOutcome::Ok));
        self.release(group, out);
    }
}
