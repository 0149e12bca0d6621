//! What follows when an attempt ends: estimates and server states are updated, then the request is retried,
//! queued or finished.

use super::*;

/// Delay before a retry that has to go to the same server; doubles with each attempt.
const RESEND_BACKOFF: Micros = 10_000;

impl Router {
    pub(super) fn on_attempt_completed(&mut self, o: AttemptResult, actions: &mut Vec<Action>) {
        let Some(flight) = self.in_flight.remove(&(o.request, o.attempt.0)) else { return };
        let InFlightAttempt {
            server,
            sent_at: sent,
            class,
            session,
            released: lost,
            response_started_at: begun,
        } = flight;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.in_flight_count = s.in_flight_count.saturating_sub(u32::from(!lost));
        if matches!(o.outcome, AttemptOutcome::Ok | AttemptOutcome::Ineligible | AttemptOutcome::Error) {
            s.newest_answered_sent_at = s.newest_answered_sent_at.max(Some(sent));
            // It answers what it had before a connection was turned down: its process never ended.
            s.connection_refused_at = s.connection_refused_at.filter(|at| *at <= sent);
        } else if o.outcome == AttemptOutcome::Overloaded {
            s.last_response_at = Some(self.now);
        }
        let group = s.endpoint.group;
        let took = begun.unwrap_or(self.now) - sent;
        if o.outcome == AttemptOutcome::ConnectFailed && took < self.settings.connect_timeout {
            // Turned down at once: no process runs, and the list tells seconds late of the cold one to come.
            (s.connection_refused_at, s.slow_start_tokens) =
                (Some(self.now), (s.slow_start_tokens.0.min(self.rng.f64()), self.now));
        }
        if o.outcome == AttemptOutcome::Ok || (!lost && o.outcome == AttemptOutcome::Timeout) {
            self.latencies.record(class, took);
        }
        self.record_served(o.outcome);
        let RequestClass { consistency: need, latency_objective: aim, .. } = self.settings.classes[class];
        let late = took > aim;
        if late
            || matches!(o.outcome, AttemptOutcome::Ok | AttemptOutcome::Timeout | AttemptOutcome::Overloaded)
        {
            let fell_back = !need.requires_primary() && self.primary(group) == Some(server);
            let missed = &mut self.groups.entry(group).or_default().miss_rates[usize::from(fell_back)];
            let miss = f64::from(late || o.outcome != AttemptOutcome::Ok);
            update_mean(missed, miss, RECENT_SAMPLE_WEIGHT);
            update_mean(&mut self.fallback_miss_rate, miss, if fell_back { MEAN_SAMPLE_WEIGHT } else { 0.0 });
        }
        if !lost {
            self.adjust_concurrency_limit(server, o.outcome, class, took);
        }
        self.record_load_report(server, o.load_report);
        if let Some(note) = o.status {
            self.record_position(server, Some(note.role), note.position, self.now);
            let written = o.outcome == AttemptOutcome::Ok && need == Consistency::Write;
            self.record_session_write(session, note.position.filter(|_| written));
        }
        match o.outcome {
            AttemptOutcome::Ok | AttemptOutcome::Ineligible | AttemptOutcome::Error => {
                self.record_sign_of_life(server, o.outcome == AttemptOutcome::Error, actions)
            }
            AttemptOutcome::ConnectFailed => self.eject(server, true, actions),
            // Connections break for many reasons. If its process died, the next connect will tell.
            AttemptOutcome::ClosedBeforeExecution | AttemptOutcome::ConnectionReset => {
                self.record_outcome(server, true, actions)
            }
            // It turns work away at once, so it would look idle and draw all of it.
            AttemptOutcome::Overloaded => self.eject(server, false, actions),
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
        if let Some(open) = self.pending.get_mut(&o.request) {
            open.in_flight_attempts.retain(|n| *n != o.attempt.0);
            open.reached_no_server &= matches!(
                o.outcome,
                AttemptOutcome::ConnectFailed
                    | AttemptOutcome::ClosedBeforeExecution
                    | AttemptOutcome::NotSent
            );
            if !o.outcome.never_executed() && open.possible_execution.is_none_or(|r| sent < r.0) {
                open.possible_execution = Some((sent, server));
            }
            if o.request_finished || o.outcome == AttemptOutcome::Ok {
                self.finish(o.request, actions);
            }
        }
        self.retry_or_finish(o.request, o.outcome, actions);
        self.retry_queued(group, actions);
    }

    /// After an attempt that did not serve: send again, hold, or give the final answer.
    fn retry_or_finish(&mut self, id: RequestId, ending: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(open) = self.pending.get(&id).filter(|open| open.in_flight_attempts.is_empty()) else {
            return;
        };
        let to_primary = self.settings.classes[open.class].consistency.requires_primary();
        let pause = RESEND_BACKOFF << open.attempts_sent.min(4);
        let cost = f64::from(!ending.never_executed());
        if self.now >= open.useful_until || self.retry_budget < cost {
            return self.finish_unserved(id, actions);
        }
        self.retry_budget -= cost;
        if to_primary && ending != AttemptOutcome::Ineligible {
            self.enqueue(id, pause, actions);
        } else {
            self.dispatch(id, actions);
        }
    }
}
