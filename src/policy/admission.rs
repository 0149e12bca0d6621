//! Requests that come, wait and go without a server: let in, held, given up.

use super::*;

/// Held work starts only with the mean latency and this many mean deviations left.
const QUEUE_DEVIATIONS: f64 = 2.0;
/// Held reads, and writes, tried again by one event: released work doubles with each answer.
const QUEUE_RETRY_BATCH: usize = 2;
/// Advice on return when an answer could still be of use by then.
const SHORT_RETRY_AFTER: Micros = 500_000;
/// Reads let in per share of their group's last attempts in time, and what each takes back of the distance.
const ADMISSION_GAIN: f64 = 1.4;
const MISS_RATE_DECAY: f64 = 0.01;

impl Router {
    pub(super) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let class = request.class.0 as usize;
        if self.pending.contains_key(&request.id) {
            return;
        }
        let Some(c) = self.settings.classes.get(class) else {
            return actions.push(Action::Reject { request: request.id, retry_after: None });
        };
        let patience = request.timeout.max(0);
        let useful = self.now.saturating_add(if c.late_weight_fraction > 0.0 {
            patience
        } else {
            patience.min(c.latency_objective)
        });
        self.retry_budget = (self.retry_budget + RETRY_TOKENS_PER_REQUEST)
            .min((RETRY_BUDGET_MAX_TOKENS / f64::from(self.settings.proxy_count)).max(1.0));
        self.arrival_count += 1;
        let open = PendingRequest {
            class,
            group: request.group,
            session: request.session,
            required_session_position: self.session_position_for(&request),
            copy_candidates: request.copy_candidates,
            useful_until: useful,
            reached_no_server: true,
            max_attempts: self.settings.max_attempts,
            unsent_until: self.now + patience / 2 - MIN_WAKE_DELAY,
            admission_draw: self.rng.f64(),
            queue_position: (
                c.consistency != Consistency::Write,
                -(c.priority_weight * 1000.0) as i64,
                -self.arrival_count,
                request.id,
            ),
            ..PendingRequest::default()
        };
        let admitted = c.consistency == Consistency::Write || self.admits(&open, false);
        self.pending.insert(request.id, open);
        if admitted {
            self.dispatch(request.id, actions);
        } else {
            self.finish_unserved(request.id, actions);
        }
    }

    /// A thin router has nothing out when overload begins, so no cap binds: it lets in a share of its
    /// reads of a group, by what became of the last ones there, and recovers by itself. It meets a group's
    /// primary too seldom to learn of each: the more routers, the more those that fall back count for all.
    pub(super) fn admits(&mut self, open: &PendingRequest, fell_back: bool) -> bool {
        let missed = &mut self.groups.entry(open.group).or_default().miss_rates[usize::from(fell_back)];
        update_mean(missed, 0.0, MISS_RATE_DECAY);
        update_mean(&mut self.fallback_miss_rate, 0.0, if fell_back { MISS_RATE_DECAY } else { 0.0 });
        let thin = (1.0 - POSITION_QUERYING_PROXIES / f64::from(self.settings.proxy_count)).max(0.0);
        let share = 1.0 - if fell_back { missed.max(self.fallback_miss_rate * thin) } else { *missed };
        open.admission_draw < if fell_back { share * share } else { share * ADMISSION_GAIN }
    }

    pub(super) fn enqueue(&mut self, id: RequestId, pause: Micros, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.get(&id) else { return };
        let ran_out = open.possible_execution.is_some_and(|(_, on)| !self.may_repeat(open, on));
        // A read that waits for a probe is as good as sent.
        let (pause, needed) = match open.query_until.filter(|at| *at > self.now) {
            Some(at) => (at - self.now, 0),
            None => (pause, self.latencies.upper_bound(open.class, QUEUE_DEVIATIONS)),
        };
        // What can no longer be answered in time is given up at once.
        let end = if open.reached_no_server {
            open.useful_until.min(open.unsent_until + needed)
        } else {
            open.useful_until
        };
        if self.now + needed >= end || open.attempts_sent >= open.max_attempts || ran_out {
            return self.finish_unserved(id, actions);
        }
        let at = (self.now + pause).min(end - needed);
        self.groups.entry(open.group).or_default().queued.insert(open.queue_position);
        self.schedule_wake(id, at);
    }

    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(open) = self.pending.get(&id) else { return };
        let Some(group) = self.groups.get_mut(&open.group) else { return };
        group.queued.remove(&open.queue_position);
        if group.members.is_empty() && group.queued.is_empty() {
            // A group that no server is of: clients may name any.
            self.groups.remove(&open.group);
        }
    }

    /// Tries held requests of a group again, on evidence that something changed.
    pub(super) fn retry_queued(&mut self, group: GroupId, actions: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group) else { return };
        let pool =
            |reads: bool| g.queued.iter().filter(move |h| h.0 == reads).take(QUEUE_RETRY_BATCH).map(|h| h.3);
        for id in pool(false).chain(pool(true)).collect::<Vec<_>>() {
            if self.pending.get(&id).is_some_and(|o| o.tried_servers.is_empty()) {
                self.dispatch(id, actions);
            }
        }
    }

    /// The final answer when nothing more can be done: refused if that is known to be harmless.
    pub(super) fn finish_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.get(&id) else { return };
        let clean = open.possible_execution.is_none() && open.in_flight_attempts.is_empty();
        if clean || self.settings.classes[open.class].idempotency == Idempotency::Idempotent {
            // Past the aim of a class that earns nothing late, no return can help: stay away longest.
            let late = self.settings.classes[open.class].late_weight_fraction <= 0.0;
            let retry_after =
                self.settings.max_retry_after.map(|m| if late { m } else { m.min(SHORT_RETRY_AFTER) });
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish(id, actions);
    }

    /// Forgets a finished request and calls off what is still out for it.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(open) = self.pending.remove(&id) else { return };
        self.wakes.remove(&(open.next_wake, id));
        let called_off = open.in_flight_attempts.into_iter().filter(|_| self.settings.cancellation_allowed);
        actions.extend(called_off.map(|n| Action::Cancel { request: id, attempt: AttemptNo(n) }));
    }
}
