//! Concurrency limits: the number of attempts that this proxy may have in flight at a server. The limit
//! adapts to the latency of the server: additive increase while the limit is reached, multiplicative decrease
//! under congestion.

use super::pending::InFlightAttempt;
use super::servers::Server;
use super::{RECENT_SAMPLE_WEIGHT, Router};
use crate::estimates::update_mean;
use crate::interface::{AttemptOutcome, Micros};

/// A server is congested if its mean latency exceeds this fraction of the latency objective.
pub(super) const CONGESTION_LATENCY_RATIO: f64 = 0.4;
/// Factor by which congestion reduces the limit.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// Limit of a newly listed server.
const INITIAL_CONCURRENCY_LIMIT: f64 = 4.0;
/// Minimum sum of the limits that all proxies have for one server.
const MIN_FLEET_CONCURRENCY: f64 = 6.0;
/// Maximum value of a sample of the latency ratio; higher samples are clamped.
const MAX_LATENCY_RATIO: f64 = 2.0;

/// The concurrency limit of a server and the number of attempts that count against it.
pub(super) struct ConcurrencyLimit {
    /// Number of attempts in flight, except those that are presumed lost or whose response has started.
    in_flight_count: u32,
    /// Maximum number of attempts in flight. A limit below 1 is enforced by a pause after each response.
    limit: f64,
    /// Running mean of latency divided by latency objective.
    latency_ratio: f64,
    /// Time of the last decrease; `None` before the first.
    decreased_at: Option<Micros>,
    /// End of the current pause. No attempt is sent before this time.
    resume_at: Micros,
}

/// The properties of a finished attempt on which the limit depends.
struct LimitSample {
    outcome: AttemptOutcome,
    latency: Micros,
    latency_objective: Micros,
    /// Mean latency of the class.
    mean_latency: Micros,
}

impl ConcurrencyLimit {
    /// The initial limit of a newly listed server.
    pub(super) fn new() -> Self {
        ConcurrencyLimit {
            in_flight_count: 0,
            limit: INITIAL_CONCURRENCY_LIMIT,
            latency_ratio: 0.0,
            decreased_at: None,
            resume_at: 0,
        }
    }

    /// Resets the limit to half the initial limit. Attempts in flight still count.
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

    /// Whether the latency of recent attempts is known and below half the congestion threshold.
    pub(super) fn is_lightly_loaded(&self) -> bool {
        (f64::MIN_POSITIVE..CONGESTION_LATENCY_RATIO / 2.0).contains(&self.latency_ratio)
    }

    /// Whether one more attempt is within this fraction of the limit. One attempt is always within it, except
    /// during a pause.
    fn has_capacity(&self, limit_fraction: f64, now: Micros) -> bool {
        let allowed = (self.limit * limit_fraction).max(1.0);
        f64::from(self.in_flight_count + 1) <= allowed && now >= self.resume_at
    }

    /// Adapts the limit to the result of an attempt. Outcomes that do not indicate load are ignored.
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
        let is_limit_reached = f64::from(self.in_flight_count + 1) >= self.limit.floor();
        if is_congested {
            self.decrease(sample.mean_latency, now, proxy_count);
        } else if sample.outcome == AttemptOutcome::Ok && is_limit_reached {
            self.increase();
        }
        self.pause(sample.latency.min(sample.latency_objective), now);
    }

    /// Decreases the limit, at most once per mean latency: attempts that end sooner were sent under the
    /// previous limit. The latency ratio decreases by the same factor, since its samples stem from the
    /// previous limit.
    fn decrease(&mut self, mean_latency: Micros, now: Micros, proxy_count: u32) {
        if self.decreased_at >= Some(now - mean_latency) {
            return;
        }
        self.decreased_at = Some(now);
        let min_limit = MIN_FLEET_CONCURRENCY / f64::from(proxy_count);
        let used_limit = self.limit.min(f64::from(self.in_flight_count + 1));
        self.limit = (used_limit * LIMIT_DECREASE_FACTOR).max(min_limit);
        self.latency_ratio *= LIMIT_DECREASE_FACTOR;
    }

    /// Increases the limit after a successful attempt: by 1 until the first decrease, after that by about 1
    /// per `limit` successful attempts. For a limit below 1, reverts one decrease.
    fn increase(&mut self) {
        self.limit += if self.decreased_at.is_none() {
            1.0
        } else if self.limit < 1.0 {
            self.limit / LIMIT_DECREASE_FACTOR - self.limit
        } else {
            1.0 / self.limit
        };
    }

    /// With a limit below 1, pauses after a response, so that the server is busy for this fraction of the
    /// time.
    fn pause(&mut self, busy_time: Micros, now: Micros) {
        let pause = busy_time as f64 * (1.0 / self.limit - 1.0).max(0.0);
        self.resume_at = now + pause as Micros;
    }
}

impl Router {
    /// Whether one more attempt at the server is within this fraction of its concurrency limit and within its
    /// slow-start budget.
    pub(super) fn has_capacity(&self, server: &Server, limit_fraction: f64) -> bool {
        server.concurrency.has_capacity(limit_fraction, self.now)
            && (self.is_warmed_up(server) || self.available_slow_start_tokens(server) >= 1.0)
    }

    /// Adapts the limit of a server to the result of an attempt that counted against it.
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
