//! Attempts: whether to send, and what follows when one is late or over.

use super::*;

/// An attempt is overdue beyond the mean latency by this many mean deviations (as TCP does).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Pace of trying held requests again.
const PACE: Micros = 100_000;

impl Router {
    pub(super) fn set_wake(&mut self, id: RequestId, at: Micros) {
        if let Some(open) = self.open.get_mut(&id) {
            self.wakes.remove(&(std::mem::replace(&mut open.wake, at), id));
            self.wakes.insert((at, id));
        }
    }

    pub(super) fn flights<'a>(&'a self, open: &'a Open) -> impl Iterator<Item = &'a Flight> {
        open.out.iter().filter_map(|n| self.flying.get(&(open.key.3, *n)))
    }

    /// May another attempt go to this server, by what a repeat would do?
    pub(super) fn may_repeat(&self, open: &Open, to: ServerId) -> bool {
        let first = self.flights(open).map(|f| (f.sent, f.server)).min();
        let Some((at, ran_on)) = open.ran_at.into_iter().chain(first).min() else { return true };
        match self.set.classes[open.class].idempotency {
            _ if !open.out.is_empty() && !self.set.hedging_allowed => false,
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { scope, dedup_window: window } => {
                let zone = |id| self.servers.get(&id).map(|s| s.line.zone);
                self.now - at < window && (scope != DedupScope::Zone || zone(to) == zone(ran_on))
            }
        }
    }

    /// Sends the request to the server chosen, or holds it. True if it was sent.
    pub(super) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(mut open) = self.open.remove(&id) else { return false };
        let left = open.attempts < open.most && self.now < open.useful;
        let to = if left { self.choose(&mut open, out) } else { None };
        let to = to.filter(|to| self.may_repeat(&open, *to));
        let alone = open.out.is_empty();
        self.open.insert(id, open);
        match to {
            Some(server) => self.send(id, server, out),
            None if alone => self.hold(id, PACE, out),
            None => {}
        }
        to.is_some()
    }

    fn send(&mut self, id: RequestId, to: ServerId, out: &mut Vec<Action>) {
        self.unhold(id);
        // A warm server has no budget, and takes no debt along if it turns cold.
        let cost = |s: &Server| f64::from(self.warmth(s, self.now) < 1.0);
        let left = self.servers.get(&to).map_or(0.0, |s| self.allowance(s) - cost(s));
        let (Some(open), Some(s)) = (self.open.get_mut(&id), self.servers.get_mut(&to)) else { return };
        (s.out, s.allowed) = (s.out + 1, (left, self.now));
        open.out.push(open.attempts);
        open.tried.push(to);
        let Open { class, session, useful, .. } = *open;
        let flight = Flight { server: to, sent: self.now, class, session, lost: false, begun: None };
        self.flying.insert((id, open.attempts), flight);
        open.attempts += 1;
        out.push(Action::Send { request: id, server: to, timeout: useful - self.now });
        self.set_wake(id, useful.min(self.now + self.latency.within(class, OVERDUE_DEVIATIONS)));
    }

    /// May an attempt that is out still be written? Asked just before, for connections may be long in coming:
    /// the server may drain or be gone since, its role may have changed, and data ages.
    pub fn may_still_send(&self, now: Micros, id: RequestId, attempt: AttemptNo) -> bool {
        let (Some(open), Some(f)) = (self.open.get(&id), self.flying.get(&(id, attempt.0))) else {
            return false;
        };
        let Some(s) = self.ready(f.server) else { return false };
        match self.set.classes[open.class].consistency {
            // A copy proves itself.
            _ if s.line.group != open.group => true,
            Consistency::Write | Consistency::Any => true,
            _ if self.set.stale_reads == StaleReadPolicy::Rejected
                || self.primary(open.group) == Some(f.server) =>
            {
                true
            }
            _ => self.required(open, now.max(self.now)).is_none_or(|at| s.position >= Some(at)),
        }
    }

    /// The position that a copy must have to answer a read, if any does.
    pub fn required_copy_position(&self, now: Micros, id: RequestId) -> Option<Micros> {
        self.required(self.open.get(&id)?, now.max(self.now))
    }

    pub(super) fn wake(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if self.now >= open.useful {
            self.give_up(id, out);
        } else if open.out.is_empty() {
            open.tried.clear();
            self.dispatch(id, out);
        } else {
            self.late(id, out);
        }
    }

    /// An attempt takes far longer than usual. If its server has answered nothing since, it is taken for
    /// mute, and the read goes elsewhere: beside the first attempt, or, where that may not be, once a probe
    /// was silent too. What only takes long keeps its work, if not twice as long while others are answered.
    fn late(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open @ &Open { class, useful, .. }) = self.open.get(&id) else { return };
        let overdue = self.latency.within(class, OVERDUE_DEVIATIONS);
        let (mut over, mut wait) = (Vec::new(), overdue);
        let mut late = open.out.clone();
        late.retain(|n| self.flying.get(&(id, *n)).is_some_and(|f| self.now - f.sent >= overdue));
        for n in &late {
            let Some(f) = self.flying.get_mut(&(id, *n)) else { continue };
            let Some(s) = self.servers.get_mut(&f.server) else { continue };
            let (server, sent, quiet) = (f.server, f.sent, s.last_reply < Some(f.sent));
            let asks = !self.set.hedging_allowed
                && self.set.health_checks_allowed
                && s.unprobed < Some(sent)
                && !s.mute;
            if f.lost {
                over.extend(Some(*n).filter(|_| self.now - sent >= 2 * overdue));
            } else if quiet && asks {
                self.probe(server, out);
                wait = self.set.connect_timeout.max(SOON);
            } else if quiet {
                self.suspect(server, true, out);
                over.push(*n);
            } else if s.answered > Some(sent) {
                // It has answered what it was sent later: this one is lost, and gives its place back.
                f.lost = true;
                s.out = s.out.saturating_sub(1);
            }
        }
        if self.purse >= 1.0 && self.set.hedging_allowed && !late.is_empty() && self.dispatch(id, out) {
            self.purse -= 1.0;
            return;
        }
        let safe = self.set.classes[class].idempotency == Idempotency::Idempotent;
        over.retain(|_| {
            self.purse >= 1.0 && !self.set.hedging_allowed && safe && self.set.cancellation_allowed
        });
        out.extend(over.iter().map(|n| Action::Cancel { request: id, attempt: AttemptNo(*n) }));
        self.set_wake(id, useful.min(self.now + wait));
    }

    /// The answer belongs to the client now: no deadline, no other copy. The server's own work is done.
    pub(super) fn started(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let (Some(open), Some(f)) = (self.open.get(&id), self.flying.get_mut(&(id, attempt))) else { return };
        self.wakes.remove(&(open.wake, id));
        f.begun = Some(self.now);
        if let Some(s) = self.servers.get_mut(&f.server) {
            s.out = s.out.saturating_sub(u32::from(!std::mem::replace(&mut f.lost, true)));
            s.last_reply = Some(self.now);
        }
        for n in open.out.iter().filter(|n| self.set.cancellation_allowed && **n != attempt) {
            out.push(Action::Cancel { request: id, attempt: AttemptNo(*n) });
        }
    }
}
