//! Requests that come, wait and go without a server: let in, held, given up.

use super::*;

/// Held work starts only with the mean latency and this many mean deviations left.
const HOLD_DEVIATIONS: f64 = 2.0;
/// Held reads, and writes, tried again by one event: released work doubles with each answer.
const RELEASE: usize = 2;
/// Advice on return when an answer could still be of use by then.
const RETURN: Micros = 500_000;
/// Reads let in per share of their group's last attempts in time, and what each takes back of the distance.
const ADMIT: f64 = 1.4;
const RECOVER: f64 = 0.01;

impl Router {
    pub(super) fn request(&mut self, request: Request, out: &mut Vec<Action>) {
        let class = request.class.0 as usize;
        if self.open.contains_key(&request.id) {
            return;
        }
        let Some(c) = self.set.classes.get(class) else {
            return out.push(Action::Reject { request: request.id, retry_after: None });
        };
        let patience = request.timeout.max(0);
        let useful = self.now.saturating_add(if c.late_weight_fraction > 0.0 {
            patience
        } else {
            patience.min(c.latency_objective)
        });
        self.purse = (self.purse + EARN).min((PURSES / f64::from(self.set.proxy_count)).max(1.0));
        self.arrivals += 1;
        let open = Open {
            class,
            group: request.group,
            session: request.session,
            token: self.token(&request),
            copy_candidates: request.copy_candidates,
            useful,
            unsent: true,
            most: self.set.max_attempts,
            half: self.now + patience / 2 - SOON,
            lot: self.rng.f64(),
            key: (
                c.consistency != Consistency::Write,
                -(c.priority_weight * 1000.0) as i64,
                -self.arrivals,
                request.id,
            ),
            ..Open::default()
        };
        let admitted = c.consistency == Consistency::Write || self.admits(&open, false);
        self.open.insert(request.id, open);
        if admitted {
            self.dispatch(request.id, out);
        } else {
            self.give_up(request.id, out);
        }
    }

    /// A thin router has nothing out when overload begins, so no cap binds: it lets in a share of its
    /// reads of a group, by what became of the last ones there, and recovers by itself. It meets a group's
    /// primary too seldom to learn of each: the more routers, the more those that fall back count for all.
    pub(super) fn admits(&mut self, open: &Open, fell_back: bool) -> bool {
        let missed = &mut self.groups.entry(open.group).or_default().missed[usize::from(fell_back)];
        blend(missed, 0.0, RECOVER);
        blend(&mut self.fell, 0.0, if fell_back { RECOVER } else { 0.0 });
        let thin = (1.0 - ASKERS / f64::from(self.set.proxy_count)).max(0.0);
        let share = 1.0 - if fell_back { missed.max(self.fell * thin) } else { *missed };
        open.lot < if fell_back { share * share } else { share * ADMIT }
    }

    pub(super) fn hold(&mut self, id: RequestId, pause: Micros, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let ran_out = open.ran_at.is_some_and(|(_, on)| !self.may_repeat(open, on));
        // A read that waits for a probe is as good as sent.
        let (pause, needed) = match open.ask_until.filter(|at| *at > self.now) {
            Some(at) => (at - self.now, 0),
            None => (pause, self.latency.within(open.class, HOLD_DEVIATIONS)),
        };
        // What can no longer be answered in time is given up at once.
        let end = if open.unsent { open.useful.min(open.half + needed) } else { open.useful };
        if self.now + needed >= end || open.attempts >= open.most || ran_out {
            return self.give_up(id, out);
        }
        let at = (self.now + pause).min(end - needed);
        self.groups.entry(open.group).or_default().held.insert(open.key);
        self.set_wake(id, at);
    }

    pub(super) fn unhold(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(group) = self.groups.get_mut(&open.group) else { return };
        group.held.remove(&open.key);
        if group.members.is_empty() && group.held.is_empty() {
            // A group that no server is of: clients may name any.
            self.groups.remove(&open.group);
        }
    }

    /// Tries held requests of a group again, on evidence that something changed.
    pub(super) fn release(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group) else { return };
        let pool = |reads: bool| g.held.iter().filter(move |h| h.0 == reads).take(RELEASE).map(|h| h.3);
        for id in pool(false).chain(pool(true)).collect::<Vec<_>>() {
            if self.open.get(&id).is_some_and(|o| o.tried.is_empty()) {
                self.dispatch(id, out);
            }
        }
    }

    /// The final answer when nothing more can be done: refused if that is known to be harmless.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let clean = open.ran_at.is_none() && open.out.is_empty();
        if clean || self.set.classes[open.class].idempotency == Idempotency::Idempotent {
            // Past the aim of a class that earns nothing late, no return can help: stay away longest.
            let late = self.set.classes[open.class].late_weight_fraction <= 0.0;
            let retry_after = self.set.max_retry_after.map(|m| if late { m } else { m.min(RETURN) });
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.close(id, out);
    }

    /// Forgets a finished request and calls off what is still out for it.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.unhold(id);
        let Some(open) = self.open.remove(&id) else { return };
        self.wakes.remove(&(open.wake, id));
        let called_off = open.out.into_iter().filter(|_| self.set.cancellation_allowed);
        out.extend(called_off.map(|n| Action::Cancel { request: id, attempt: AttemptNo(n) }));
    }
}
