//! Roles and log positions: which member takes writes, which may answer a read, and how that is asked.

use super::*;

/// Sessions remembered, until one bound for all stands in for them.
const MAX_SESSIONS: usize = 65_536;
/// Replicas asked where they stand for one read, and the pause before one too far behind is again.
const MAX_POSITION_QUERIES: usize = 2;
const LAG_RECHECK_INTERVAL: Micros = 500_000;

impl Router {
    /// The member last proven primary; without proof, the one listed and not yet refuted.
    pub(super) fn primary(&self, group: GroupId) -> Option<ServerId> {
        let members = &self.groups.get(&group)?.members;
        let rank = |id: &ServerId| {
            let s = self.accepting_server(*id)?;
            let claims = s.primary_confirmed_at > s.replica_confirmed_at
                || (s.endpoint.primary && s.replica_confirmed_at.is_none());
            claims.then_some((s.primary_confirmed_at, !s.unresponsive, *id))
        };
        members.iter().filter_map(rank).max().map(|(_, _, id)| id)
    }

    /// What a server said of itself at a time up to `at`.
    pub(super) fn record_position(
        &mut self,
        id: ServerId,
        role: Option<Role>,
        position: Option<Micros>,
        at: Micros,
    ) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        // One that goes back is older than what is known, or spoilt.
        if let Some(position) = position.map(|p| p.min(self.now)).filter(|p| s.position <= Some(*p)) {
            s.position = Some(position);
            (s.lag, s.lag_observed_at) = (self.now - position, Some(self.now));
        }
        let seen = |of, was: Option<Micros>| if role == Some(of) { was.max(Some(at)) } else { was };
        (s.primary_confirmed_at, s.replica_confirmed_at) =
            (seen(Role::Primary, s.primary_confirmed_at), seen(Role::Replica, s.replica_confirmed_at));
    }

    pub(super) fn record_load_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        let Some(r) = report else { return };
        // A primary stands at the present: its position dates the report. A newer note that it is none wins.
        match (r.role, r.position) {
            (Some(Role::Primary), Some(at)) => self.record_position(id, r.role, r.position, at.min(self.now)),
            _ => self.record_position(id, None, r.position, self.now),
        }
    }

    /// The position that a server must have reached, if it matters.
    pub(super) fn required_position(&self, open: &PendingRequest, now: Micros) -> Option<Micros> {
        match self.settings.classes[open.class].consistency {
            Consistency::Any => None,
            Consistency::Write | Consistency::Strong => Some(Micros::MAX),
            Consistency::BoundedStaleness(age) => Some(now - age),
            Consistency::Session => open.required_session_position,
        }
    }

    pub(super) fn session_position_for(&self, request: &Request) -> Option<Micros> {
        (self.settings.classes[request.class.0 as usize].consistency == Consistency::Session).then_some(())?;
        let known = || request.session.and_then(|s| self.session_positions.get(&s).copied());
        if self.settings.session_positions == SessionPositionSource::FromRequest {
            request.last_write_position
        } else {
            known().or(self.evicted_sessions_position)
        }
    }

    pub(super) fn record_session_write(&mut self, session: Option<SessionId>, commit: Option<Micros>) {
        let session =
            session.filter(|_| self.settings.session_positions == SessionPositionSource::FromObservedWrites);
        let (Some(session), Some(commit)) = (session, commit) else { return };
        let newest = self.session_positions.entry(session).or_insert(commit);
        *newest = commit.max(*newest);
        if self.session_positions.len() > MAX_SESSIONS {
            // One bound stands in for all: the replicas pass it within moments.
            self.evicted_sessions_position = self.session_positions.values().copied().max();
            self.session_positions.clear();
        }
    }

    /// It was too far behind for this when last heard, a moment ago: not to be asked again yet.
    pub(super) fn is_lagging(&self, s: &Server, at: Micros) -> bool {
        at > self.now - s.lag && s.lag_observed_at >= Some(self.now - LAG_RECHECK_INTERVAL)
    }

    /// A thin router knows no replica fresh, and its reads would all fall on the primary: it asks one before
    /// the read, another if that is behind or silent; where servers check, trying is cheaper. True: it waits.
    pub(super) fn query_position(
        &mut self,
        open: &mut PendingRequest,
        at: Micros,
        of: &[ServerId],
        actions: &mut Vec<Action>,
    ) -> bool {
        let tells = self.settings.health_checks_allowed
            && self.settings.load_reports_have_position
            && self.settings.stale_reads == StaleReadPolicy::Served;
        let tells = tells && self.settings.load_reports != LoadReportSource::Never;
        let last = open.queried_servers.last().and_then(|id| self.servers.get(id));
        if open.query_until > Some(self.now) && last.is_some_and(|s| s.health_check_in_flight) {
            return true;
        }
        open.query_until = None;
        if !tells || open.queried_servers.len() >= MAX_POSITION_QUERIES {
            return false;
        }
        let near = |r: &ServerId| self.is_eligible(*r, open, 1.0) && !self.is_lagging(&self.servers[r], at);
        let able = |r: &ServerId| !open.queried_servers.contains(r) && near(r);
        let (deaf, answering): (Vec<_>, Vec<_>) =
            of.iter().filter(|r| able(r)).partition(|r| self.servers[r].health_check_failed_at.is_some());
        let first = self.least_outstanding(&answering, false);
        let Some(id) = first.or_else(|| self.least_outstanding(&deaf, false)) else { return false };
        // For a small part of the aim only: a probe may get no reply at all.
        open.query_until = Some(self.now + initial_latency(&self.settings.classes[open.class]) as Micros);
        open.queried_servers.push(id);
        self.start_health_check(id, actions);
        true
    }

    pub(super) fn start_health_check(&mut self, server: ServerId, actions: &mut Vec<Action>) {
        let asks = self
            .servers
            .get_mut(&server)
            .is_some_and(|s| !std::mem::replace(&mut s.health_check_in_flight, true));
        actions.extend(asks.then_some(Action::HealthCheck { server }));
    }

    pub(super) fn on_health_check_completed(
        &mut self,
        id: ServerId,
        ending: AttemptOutcome,
        told: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.health_check_in_flight = false;
        s.health_check_failed_at =
            Some(self.now).filter(|_| !matches!(ending, AttemptOutcome::Ok | AttemptOutcome::NotSent));
        // Beside a second copy a probe proves too little: a server may hang and still answer it.
        if !self.settings.hedging_allowed
            && matches!(
                ending,
                AttemptOutcome::Ok
                    | AttemptOutcome::Error
                    | AttemptOutcome::Overloaded
                    | AttemptOutcome::Ineligible
            )
        {
            s.last_response_at = Some(self.now);
        }
        let group = s.endpoint.group;
        self.record_load_report(id, told.filter(|_| ending == AttemptOutcome::Ok));
        self.retry_queued(group, actions);
    }
}
