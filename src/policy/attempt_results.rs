//! What follows when an attempt ends: estimates and server states are updated, then the request is retried,
//! queued or finished.

use super::*;

/// Delay before a retry that has to go to the same server; doubles with each attempt.
const RESEND_PAUSE: Micros = 10_000;

impl Router {
    pub(super) fn outcome(&mut self, o: AttemptResult, out: &mut Vec<Action>) {
        let Some(flight) = self.flying.remove(&(o.request, o.attempt.0)) else { return };
        let Flight { server, sent, class, session, lost, begun } = flight;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.out = s.out.saturating_sub(u32::from(!lost));
        if matches!(o.outcome, AttemptOutcome::Ok | AttemptOutcome::Ineligible | AttemptOutcome::Error) {
            s.answered = s.answered.max(Some(sent));
            // It answers what it had before a connection was turned down: its process never ended.
            s.down_at = s.down_at.filter(|at| *at <= sent);
        } else if o.outcome == AttemptOutcome::Overloaded {
            s.last_reply = Some(self.now);
        }
        let group = s.line.group;
        let took = begun.unwrap_or(self.now) - sent;
        if o.outcome == AttemptOutcome::ConnectFailed && took < self.set.connect_timeout {
            // Turned down at once: no process runs, and the list tells seconds late of the cold one to come.
            (s.down_at, s.allowed) = (Some(self.now), (s.allowed.0.min(self.rng.f64()), self.now));
        }
        if o.outcome == AttemptOutcome::Ok || (!lost && o.outcome == AttemptOutcome::Timeout) {
            self.latency.took(class, took);
        }
        self.count_served(o.outcome);
        let RequestClass { consistency: need, latency_objective: aim, .. } = self.set.classes[class];
        let late = took > aim;
        if late
            || matches!(o.outcome, AttemptOutcome::Ok | AttemptOutcome::Timeout | AttemptOutcome::Overloaded)
        {
            let fell_back = !need.requires_primary() && self.primary(group) == Some(server);
            let missed = &mut self.groups.entry(group).or_default().missed[usize::from(fell_back)];
            let miss = f64::from(late || o.outcome != AttemptOutcome::Ok);
            blend(missed, miss, QUICK_BLEND);
            blend(&mut self.fell, miss, if fell_back { BLEND } else { 0.0 });
        }
        if !lost {
            self.ease(server, o.outcome, class, took);
        }
        self.learn_report(server, o.load_report);
        if let Some(note) = o.status {
            self.learn(server, Some(note.role), note.position, self.now);
            let written = o.outcome == AttemptOutcome::Ok && need == Consistency::Write;
            self.remember(session, note.position.filter(|_| written));
        }
        match o.outcome {
            AttemptOutcome::Ok | AttemptOutcome::Ineligible | AttemptOutcome::Error => {
                self.heard(server, o.outcome == AttemptOutcome::Error, out)
            }
            AttemptOutcome::ConnectFailed => self.suspect(server, true, out),
            // Connections break for many reasons. If its process died, the next connect will tell.
            AttemptOutcome::ClosedBeforeExecution | AttemptOutcome::ConnectionReset => {
                self.tally(server, true, out)
            }
            // It turns work away at once, so it would look idle and draw all of it.
            AttemptOutcome::Overloaded => self.suspect(server, false, out),
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        if let Some(open) = self.open.get_mut(&o.request) {
            open.out.retain(|n| *n != o.attempt.0);
            open.unsent &= matches!(
                o.outcome,
                AttemptOutcome::ConnectFailed
                    | AttemptOutcome::ClosedBeforeExecution
                    | AttemptOutcome::NotSent
            );
            if !o.outcome.never_executed() && open.ran_at.is_none_or(|r| sent < r.0) {
                open.ran_at = Some((sent, server));
            }
            if o.request_finished || o.outcome == AttemptOutcome::Ok {
                self.close(o.request, out);
            }
        }
        self.again(o.request, o.outcome, out);
        self.release(group, out);
    }

    /// After an attempt that did not serve: send again, hold, or give the final answer.
    fn again(&mut self, id: RequestId, ending: AttemptOutcome, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|open| open.out.is_empty()) else { return };
        let to_primary = self.set.classes[open.class].consistency.requires_primary();
        let pause = RESEND_PAUSE << open.attempts.min(4);
        let cost = f64::from(!ending.never_executed());
        if self.now >= open.useful || self.purse < cost {
            return self.give_up(id, out);
        }
        self.purse -= cost;
        if to_primary && ending != AttemptOutcome::Ineligible {
            self.hold(id, pause, out);
        } else {
            self.dispatch(id, out);
        }
    }
}
