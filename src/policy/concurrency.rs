//! Concurrency limits: how many attempts of this proxy a server may have in flight. The limit of each server
//! adapts to the latency of its answers: additive increase while it binds, multiplicative decrease under
//! congestion.

use super::pending::InFlightAttempt;
use super::servers::Server;
use super::{RECENT_SAMPLE_WEIGHT, Router};
use crate::estimates::update_mean;
use crate::interface::{AttemptOutcome, Micros};

/// A server whose mean latency exceeds this fraction of the latency objective is congested.
pub(super) const CONGESTION_LATENCY_RATIO: f64 = 0.4;
/// Congestion multiplies the limit by this.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// Limit of a server of which nothing is known.
const INITIAL_CONCURRENCY_LIMIT: f64 = 4.0;
/// The limits of all proxies on a server add up to at least this.
const MIN_FLEET_CONCURRENCY: f64 = 6.0;
/// A sample of the latency ratio counts as at most this.
const MAX_LATENCY_RATIO: f64 = 2.0;

/// The concurrency limit of a server and the attempts that it applies to.
pub(super) struct ConcurrencyLimit {
    /// Attempts in flight. One that is presumed lost, or whose response has started, no longer counts.
    in_flight_count: u32,
    /// A limit below 1 is kept by a pause after each answer.
    limit: f64,
    /// Running mean of latency divided by latency objective.
    latency_ratio: f64,
    reduced_at: Option<Micros>,
    /// No attempt is sent before this time.
    resume_at: Micros,
}

/// An attempt that ended, as far as the limit depends on it.
struct LimitSample {
    outcome: AttemptOutcome,
    latency: Micros,
    latency_objective: Micros,
    /// Mean latency of the class.
    mean_latency: Micros,
}

impl ConcurrencyLimit {
    /// The limit of a server of which nothing is known.
    pub(super) fn new() -> Self {
        ConcurrencyLimit {
            in_flight_count: 0,
            limit: INITIAL_CONCURRENCY_LIMIT,
            latency_ratio: 0.0,
            reduced_at: None,
            resume_at: 0,
        }
    }

    /// A new process starts with half the initial limit. Attempts in flight are still counted.
    pub(super) fn reset_for_new_process(&mut self) {
        let limit = INITIAL_CONCURRENCY_LIMIT / 2.0;
        *self = ConcurrencyLimit { in_flight_count: self.in_flight_count, limit, ..ConcurrencyLimit::new() };
    }

    pub(super) fn in_flight_count(&self) -> u32 {
        self.in_flight_count
    }

    pub(super) fn attempt_sent(&mut self) {
        self.in_flight_count += 1;
    }

    pub(super) fn attempt_released(&mut self) {
        self.in_flight_count = self.in_flight_count.saturating_sub(1);
    }

    /// The last answers took less than half of what counts as congestion.
    pub(super) fn is_lightly_loaded(&self) -> bool {
        (f64::MIN_POSITIVE..CONGESTION_LATENCY_RATIO / 2.0).contains(&self.latency_ratio)
    }

    /// Whether one more attempt stays within this fraction of the limit.
    fn has_capacity(&self, limit_fraction: f64, now: Micros) -> bool {
        let allowed = (self.limit * limit_fraction).max(1.0);
        f64::from(self.in_flight_count + 1) <= allowed && now >= self.resume_at
    }

    /// Adapts the limit to an attempt that ended. Outcomes that say nothing of the load change nothing.
    fn adjust(&mut self, sample: LimitSample, now: Micros, proxy_count: u32) {
        let latency_ratio = sample.latency as f64 / sample.latency_objective.max(1) as f64;
        match sample.outcome {
            AttemptOutcome::Ok | AttemptOutcome::Timeout | AttemptOutcome::Cancelled => {
                update_mean(
                    &mut self.latency_ratio,
                    latency_ratio.min(MAX_LATENCY_RATIO),
                    RECENT_SAMPLE_WEIGHT,
                );
            }
            AttemptOutcome::Overloaded => {}
            _ => return,
        }
        let is_congested =
            sample.outcome == AttemptOutcome::Overloaded || self.latency_ratio > CONGESTION_LATENCY_RATIO;
        let limit_binds = f64::from(self.in_flight_count + 1) >= self.limit.floor();
        if is_congested {
            self.decrease(sample.mean_latency, now, proxy_count);
        } else if sample.outcome == AttemptOutcome::Ok && limit_binds {
            self.increase();
        }
        self.pause(sample.latency.min(sample.latency_objective), now);
    }

    /// Decreases the limit, at most once within the mean latency: answers that come sooner were sent under
    /// the limit before. The latency ratio falls with it for the same reason.
    fn decrease(&mut self, mean_latency: Micros, now: Micros, proxy_count: u32) {
        if self.reduced_at >= Some(now - mean_latency) {
            return;
        }
        self.reduced_at = Some(now);
        let min_limit = MIN_FLEET_CONCURRENCY / f64::from(proxy_count);
        let used = self.limit.min(f64::from(self.in_flight_count + 1));
        self.limit = (used * LIMIT_DECREASE_FACTOR).max(min_limit);
        self.latency_ratio *= LIMIT_DECREASE_FACTOR;
    }

    /// Increases the limit by 1 for each answer until it was first decreased, then by 1 for each `limit`
    /// answers.
    fn increase(&mut self) {
        self.limit += if self.reduced_at.is_none() {
            1.0
        } else if self.limit < 1.0 {
            self.limit / LIMIT_DECREASE_FACTOR - self.limit
        } else {
            1.0 / self.limit
        };
    }

    /// With a limit below 1, the server rests after an answer so that it is in use that fraction of the time.
    fn pause(&mut self, busy_time: Micros, now: Micros) {
        let pause = busy_time as f64 * (1.0 / self.limit - 1.0).max(0.0);
        self.resume_at = now + pause as Micros;
    }
}

impl Router {
    /// Whether the server may be sent one more attempt: within this fraction of its concurrency limit, and
    /// within the slow-start budget.
    pub(super) fn has_capacity(&self, server: &Server, limit_fraction: f64) -> bool {
        server.concurrency.has_capacity(limit_fraction, self.now)
            && (self.is_warmed_up(server) || self.available_slow_start_tokens(server) >= 1.0)
    }

    /// Adapts the limit of a server after an attempt that counted against it.
    pub(super) fn adjust_concurrency_limit(&mut self, attempt: &InFlightAttempt, outcome: AttemptOutcome) {
        let sample = LimitSample {
            outcome,
            latency: attempt.latency(self.now),
            latency_objective: self.settings.classes[attempt.class.index()].latency_objective,
            mean_latency: self.latencies.mean(attempt.class),
        };
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.concurrency.adjust(sample, self.now, self.settings.proxy_count);
        }
    }
}
