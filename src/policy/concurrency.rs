//! Limits of what a server is given: its budget while it is cold, and its cap.

use super::*;

/// Share of a cold server's budget that is used: others send to it too, and work varies.
const SLOW_START_UTILIZATION: f64 = 0.75;
/// What is kept of the best yardstick of that budget after each cold time with a lower one.
const BASELINE_DECAY: f64 = 0.75;
/// The least that the caps of all routers on a server come to; one below one is kept by rests after answers.
const MIN_FLEET_CONCURRENCY: f64 = 6.0;

impl Router {
    /// How much of its capacity a server surely had at a time, for it may just have started.
    pub(super) fn slow_start_fraction(&self, server: &Server, at: Micros) -> f64 {
        let started = server.endpoint.started_at.max(server.connection_refused_at);
        let age = started.map_or(Micros::MAX, |started| at.saturating_sub(started).max(0));
        if age >= self.settings.slow_start_window || self.settings.slow_start_window <= 0 {
            return 1.0;
        }
        let risen = age as f64 / self.settings.slow_start_window as f64;
        (self.settings.slow_start_initial_fraction
            + (1.0 - self.settings.slow_start_initial_fraction) * risen)
            .clamp(0.0, 1.0)
    }

    /// A cold server falls over from what all routers send it. Each keeps to its part: what a server serves
    /// it in the mean, scaled to the capacity that the cold one surely has. Less than one send is saved up
    /// from a start drawn by lot, never rounded up: one each, from hundreds, would be many times the budget.
    pub(super) fn available_slow_start_tokens(&self, s: &Server) -> f64 {
        let (left, at) = s.slow_start_tokens;
        let warmth = (self.slow_start_fraction(s, at) + self.slow_start_fraction(s, self.now)) / 2.0;
        // Where nothing was served yet: one send from all routers together.
        let floor =
            1.0 / (f64::from(self.settings.proxy_count) * self.settings.overload_window.max(1) as f64);
        // A day may be so brisk that servers are warm before they can fall over.
        let span = (self.now - self.served.1)
            .min(self.settings.slow_start_window)
            .max(self.settings.overload_window);
        let span = if self.baseline_throughput > 0.0 { self.settings.slow_start_window } else { span }.max(1);
        let pace = self.baseline_throughput.max(self.served.0 / self.ready_count as f64) / span as f64;
        let pace = (SLOW_START_UTILIZATION * self.settings.overload_factor * warmth * pace).max(floor);
        (left + pace * (self.now - at) as f64).min((pace * self.settings.overload_window as f64).max(1.0))
    }

    /// The best of a few cold times: while most servers are cold, the present would starve them for good.
    pub(super) fn record_served(&mut self, ending: AttemptOutcome) {
        if self.now - self.served.1 >= self.settings.slow_start_window {
            let latest = self.served.0 / self.ready_count as f64;
            self.baseline_throughput = latest.max(self.baseline_throughput * BASELINE_DECAY);
            self.served = (0.0, self.now);
        }
        self.served.0 += f64::from(ending == AttemptOutcome::Ok);
    }

    /// Below this share of its cap, not over its budget as a cold server.
    pub(super) fn has_capacity(&self, s: &Server, share: f64) -> bool {
        let below = f64::from(s.in_flight_count + 1) <= (s.concurrency_limit * share).max(1.0);
        below
            && self.now >= s.resume_at
            && (self.slow_start_fraction(s, self.now) >= 1.0 || self.available_slow_start_tokens(s) >= 1.0)
    }

    /// The cap follows what answers take against their aims; `full` shrinks it.
    pub(super) fn adjust_concurrency_limit(
        &mut self,
        id: ServerId,
        ending: AttemptOutcome,
        class: usize,
        took: Micros,
    ) {
        let mean = self.latencies.mean(class);
        let ratio = (took as f64 / self.settings.classes[class].latency_objective.max(1) as f64).min(2.0);
        let Some(s) = self.servers.get_mut(&id) else { return };
        match ending {
            AttemptOutcome::Ok | AttemptOutcome::Timeout | AttemptOutcome::Cancelled => {
                update_mean(&mut s.latency_ratio, ratio, RECENT_SAMPLE_WEIGHT)
            }
            AttemptOutcome::Overloaded => {}
            _ => return,
        }
        if ending == AttemptOutcome::Overloaded || s.latency_ratio > CONGESTION_LATENCY_RATIO {
            if s.limit_reduced_at < Some(self.now - mean) {
                s.limit_reduced_at = Some(self.now);
                s.concurrency_limit = (s.concurrency_limit.min(f64::from(s.in_flight_count + 1))
                    * LIMIT_DECREASE_FACTOR)
                    .max(MIN_FLEET_CONCURRENCY / f64::from(self.settings.proxy_count));
                // The answers to come were sent under the old cap: they must not shrink it again.
                s.latency_ratio *= LIMIT_DECREASE_FACTOR;
            }
        } else if ending == AttemptOutcome::Ok
            && f64::from(s.in_flight_count + 1) >= s.concurrency_limit.floor()
        {
            let regained = if s.concurrency_limit < 1.0 {
                s.concurrency_limit / LIMIT_DECREASE_FACTOR - s.concurrency_limit
            } else {
                1.0 / s.concurrency_limit
            };
            s.concurrency_limit += if s.limit_reduced_at.is_none() { 1.0 } else { regained };
        }
        let busy = took.min(self.settings.classes[class].latency_objective) as f64;
        s.resume_at = self.now + (busy * (1.0 / s.concurrency_limit - 1.0).max(0.0)) as Micros;
    }
}
