//! Limits of what a server is given: its budget while it is cold, and its cap.

use super::*;

/// Share of a cold server's budget that is used: others send to it too, and work varies.
const COLD_USE: f64 = 0.75;
/// What is kept of the best yardstick of that budget after each cold time with a lower one.
const USUAL_KEPT: f64 = 0.75;
/// The least that the caps of all routers on a server come to; one below one is kept by rests after answers.
const LEAST_CAPS: f64 = 6.0;

impl Router {
    /// How much of its capacity a server surely had at a time, for it may just have started.
    pub(super) fn warmth(&self, server: &Server, at: Micros) -> f64 {
        let started = server.line.started_at.max(server.down_at);
        let age = started.map_or(Micros::MAX, |started| at.saturating_sub(started).max(0));
        if age >= self.set.slow_start_window || self.set.slow_start_window <= 0 {
            return 1.0;
        }
        let risen = age as f64 / self.set.slow_start_window as f64;
        (self.set.slow_start_initial_fraction + (1.0 - self.set.slow_start_initial_fraction) * risen)
            .clamp(0.0, 1.0)
    }

    /// A cold server falls over from what all routers send it. Each keeps to its part: what a server serves
    /// it in the mean, scaled to the capacity that the cold one surely has. Less than one send is saved up
    /// from a start drawn by lot, never rounded up: one each, from hundreds, would be many times the budget.
    pub(super) fn allowance(&self, s: &Server) -> f64 {
        let (left, at) = s.allowed;
        let warmth = (self.warmth(s, at) + self.warmth(s, self.now)) / 2.0;
        // Where nothing was served yet: one send from all routers together.
        let floor = 1.0 / (f64::from(self.set.proxy_count) * self.set.overload_window.max(1) as f64);
        // A day may be so brisk that servers are warm before they can fall over.
        let span = (self.now - self.served.1).min(self.set.slow_start_window).max(self.set.overload_window);
        let span = if self.usual > 0.0 { self.set.slow_start_window } else { span }.max(1);
        let pace = self.usual.max(self.served.0 / self.ready_count as f64) / span as f64;
        let pace = (COLD_USE * self.set.overload_factor * warmth * pace).max(floor);
        (left + pace * (self.now - at) as f64).min((pace * self.set.overload_window as f64).max(1.0))
    }

    /// The best of a few cold times: while most servers are cold, the present would starve them for good.
    pub(super) fn count_served(&mut self, ending: AttemptOutcome) {
        if self.now - self.served.1 >= self.set.slow_start_window {
            let latest = self.served.0 / self.ready_count as f64;
            self.usual = latest.max(self.usual * USUAL_KEPT);
            self.served = (0.0, self.now);
        }
        self.served.0 += f64::from(ending == AttemptOutcome::Ok);
    }

    /// Below this share of its cap, not over its budget as a cold server.
    pub(super) fn room(&self, s: &Server, share: f64) -> bool {
        let below = f64::from(s.out + 1) <= (s.cap * share).max(1.0);
        below && self.now >= s.rest && (self.warmth(s, self.now) >= 1.0 || self.allowance(s) >= 1.0)
    }

    /// The cap follows what answers take against their aims; `full` shrinks it.
    pub(super) fn ease(&mut self, id: ServerId, ending: AttemptOutcome, class: usize, took: Micros) {
        let mean = self.latency.mean(class);
        let ratio = (took as f64 / self.set.classes[class].latency_objective.max(1) as f64).min(2.0);
        let Some(s) = self.servers.get_mut(&id) else { return };
        match ending {
            AttemptOutcome::Ok | AttemptOutcome::Timeout | AttemptOutcome::Cancelled => {
                blend(&mut s.strain, ratio, QUICK_BLEND)
            }
            AttemptOutcome::Overloaded => {}
            _ => return,
        }
        if ending == AttemptOutcome::Overloaded || s.strain > CONGESTED {
            if s.eased_at < Some(self.now - mean) {
                s.eased_at = Some(self.now);
                s.cap = (s.cap.min(f64::from(s.out + 1)) * SHRINK)
                    .max(LEAST_CAPS / f64::from(self.set.proxy_count));
                // The answers to come were sent under the old cap: they must not shrink it again.
                s.strain *= SHRINK;
            }
        } else if ending == AttemptOutcome::Ok && f64::from(s.out + 1) >= s.cap.floor() {
            let regained = if s.cap < 1.0 { s.cap / SHRINK - s.cap } else { 1.0 / s.cap };
            s.cap += if s.eased_at.is_none() { 1.0 } else { regained };
        }
        let busy = took.min(self.set.classes[class].latency_objective) as f64;
        s.rest = self.now + (busy * (1.0 / s.cap - 1.0).max(0.0)) as Micros;
    }
}
