//! Attempts: whether to send, and what follows when one is late or over.

use super::*;

/// An attempt is overdue beyond the mean latency by this many mean deviations (as TCP does).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Pace of trying held requests again.
const QUEUE_RETRY_INTERVAL: Micros = 100_000;

impl Router {
    pub(super) fn schedule_wake(&mut self, id: RequestId, at: Micros) {
        if let Some(open) = self.pending.get_mut(&id) {
            self.wakes.remove(&(std::mem::replace(&mut open.next_wake, at), id));
            self.wakes.insert((at, id));
        }
    }

    pub(super) fn attempts_of<'a>(
        &'a self,
        open: &'a PendingRequest,
    ) -> impl Iterator<Item = &'a InFlightAttempt> {
        open.in_flight_attempts.iter().filter_map(|n| self.in_flight.get(&(open.queue_position.3, *n)))
    }

    /// May another attempt go to this server, by what a repeat would do?
    pub(super) fn may_repeat(&self, open: &PendingRequest, to: ServerId) -> bool {
        let first = self.attempts_of(open).map(|f| (f.sent_at, f.server)).min();
        let Some((at, ran_on)) = open.possible_execution.into_iter().chain(first).min() else { return true };
        match self.settings.classes[open.class].idempotency {
            _ if !open.in_flight_attempts.is_empty() && !self.settings.hedging_allowed => false,
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { scope, dedup_window: window } => {
                let zone = |id| self.servers.get(&id).map(|s| s.endpoint.zone);
                self.now - at < window && (scope != DedupScope::Zone || zone(to) == zone(ran_on))
            }
        }
    }

    /// Sends the request to the server chosen, or holds it. True if it was sent.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut open) = self.pending.remove(&id) else { return false };
        let left = open.attempts_sent < open.max_attempts && self.now < open.useful_until;
        let to = if left { self.select_server(&mut open, actions) } else { None };
        let to = to.filter(|to| self.may_repeat(&open, *to));
        let alone = open.in_flight_attempts.is_empty();
        self.pending.insert(id, open);
        match to {
            Some(server) => self.send(id, server, actions),
            None if alone => self.enqueue(id, QUEUE_RETRY_INTERVAL, actions),
            None => {}
        }
        to.is_some()
    }

    fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        self.dequeue(id);
        // A warm server has no budget, and takes no debt along if it turns cold.
        let cost = |s: &Server| f64::from(self.slow_start_fraction(s, self.now) < 1.0);
        let left = self.servers.get(&to).map_or(0.0, |s| self.available_slow_start_tokens(s) - cost(s));
        let (Some(open), Some(s)) = (self.pending.get_mut(&id), self.servers.get_mut(&to)) else { return };
        (s.in_flight_count, s.slow_start_tokens) = (s.in_flight_count + 1, (left, self.now));
        open.in_flight_attempts.push(open.attempts_sent);
        open.tried_servers.push(to);
        let PendingRequest { class, session, useful_until: useful, .. } = *open;
        let flight = InFlightAttempt {
            server: to,
            sent_at: self.now,
            class,
            session,
            released: false,
            response_started_at: None,
        };
        self.in_flight.insert((id, open.attempts_sent), flight);
        open.attempts_sent += 1;
        actions.push(Action::Send { request: id, server: to, timeout: useful - self.now });
        self.schedule_wake(id, useful.min(self.now + self.latencies.upper_bound(class, OVERDUE_DEVIATIONS)));
    }

    /// May an attempt that is out still be written? Asked just before, for connections may be long in coming:
    /// the server may drain or be gone since, its role may have changed, and data ages.
    pub fn may_still_send(&self, now: Micros, id: RequestId, attempt: AttemptNo) -> bool {
        let (Some(open), Some(f)) = (self.pending.get(&id), self.in_flight.get(&(id, attempt.0))) else {
            return false;
        };
        let Some(s) = self.accepting_server(f.server) else { return false };
        match self.settings.classes[open.class].consistency {
            // A copy proves itself.
            _ if s.endpoint.group != open.group => true,
            Consistency::Write | Consistency::Any => true,
            _ if self.settings.stale_reads == StaleReadPolicy::Rejected
                || self.primary(open.group) == Some(f.server) =>
            {
                true
            }
            _ => self.required_position(open, now.max(self.now)).is_none_or(|at| s.position >= Some(at)),
        }
    }

    /// The position that a copy must have to answer a read, if any does.
    pub fn required_copy_position(&self, now: Micros, id: RequestId) -> Option<Micros> {
        self.required_position(self.pending.get(&id)?, now.max(self.now))
    }

    pub(super) fn on_wake(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.get_mut(&id) else { return };
        if self.now >= open.useful_until {
            self.finish_unserved(id, actions);
        } else if open.in_flight_attempts.is_empty() {
            open.tried_servers.clear();
            self.dispatch(id, actions);
        } else {
            self.handle_overdue_attempts(id, actions);
        }
    }

    /// An attempt takes far longer than usual. If its server has answered nothing since, it is taken for
    /// mute, and the read goes elsewhere: beside the first attempt, or, where that may not be, once a probe
    /// was silent too. What only takes long keeps its work, if not twice as long while others are answered.
    fn handle_overdue_attempts(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open @ &PendingRequest { class, useful_until: useful, .. }) = self.pending.get(&id) else {
            return;
        };
        let overdue = self.latencies.upper_bound(class, OVERDUE_DEVIATIONS);
        let (mut over, mut wait) = (Vec::new(), overdue);
        let mut late = open.in_flight_attempts.clone();
        late.retain(|n| self.in_flight.get(&(id, *n)).is_some_and(|f| self.now - f.sent_at >= overdue));
        for n in &late {
            let Some(f) = self.in_flight.get_mut(&(id, *n)) else { continue };
            let Some(s) = self.servers.get_mut(&f.server) else { continue };
            let (server, sent, quiet) = (f.server, f.sent_at, s.last_response_at < Some(f.sent_at));
            let asks = !self.settings.hedging_allowed
                && self.settings.health_checks_allowed
                && s.health_check_failed_at < Some(sent)
                && !s.unresponsive;
            if f.released {
                over.extend(Some(*n).filter(|_| self.now - sent >= 2 * overdue));
            } else if quiet && asks {
                self.start_health_check(server, actions);
                wait = self.settings.connect_timeout.max(MIN_WAKE_DELAY);
            } else if quiet {
                self.eject(server, true, actions);
                over.push(*n);
            } else if s.newest_answered_sent_at > Some(sent) {
                // It has answered what it was sent later: this one is lost, and gives its place back.
                f.released = true;
                s.in_flight_count = s.in_flight_count.saturating_sub(1);
            }
        }
        if self.retry_budget >= 1.0
            && self.settings.hedging_allowed
            && !late.is_empty()
            && self.dispatch(id, actions)
        {
            self.retry_budget -= 1.0;
            return;
        }
        let safe = self.settings.classes[class].idempotency == Idempotency::Idempotent;
        over.retain(|_| {
            self.retry_budget >= 1.0
                && !self.settings.hedging_allowed
                && safe
                && self.settings.cancellation_allowed
        });
        actions.extend(over.iter().map(|n| Action::Cancel { request: id, attempt: AttemptNo(*n) }));
        self.schedule_wake(id, useful.min(self.now + wait));
    }

    /// The answer belongs to the client now: no deadline, no other copy. The server's own work is done.
    pub(super) fn on_response_started(&mut self, id: RequestId, attempt: u16, actions: &mut Vec<Action>) {
        let (Some(open), Some(f)) = (self.pending.get(&id), self.in_flight.get_mut(&(id, attempt))) else {
            return;
        };
        self.wakes.remove(&(open.next_wake, id));
        f.response_started_at = Some(self.now);
        if let Some(s) = self.servers.get_mut(&f.server) {
            s.in_flight_count =
                s.in_flight_count.saturating_sub(u32::from(!std::mem::replace(&mut f.released, true)));
            s.last_response_at = Some(self.now);
        }
        for n in
            open.in_flight_attempts.iter().filter(|n| self.settings.cancellation_allowed && **n != attempt)
        {
            actions.push(Action::Cancel { request: id, attempt: AttemptNo(*n) });
        }
    }
}
