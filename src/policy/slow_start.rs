//! Slow start: limits the attempts at a server that has just started by a budget that grows with its
//! capacity.
//!
//! A server in slow start fails if the load from all proxies together exceeds its capacity. Each proxy
//! therefore keeps to its own share of this capacity: the throughput that the proxy gets from an average
//! server, scaled by the current capacity of the starting server. The budget is a token bucket. It starts
//! with a random fraction of one token, since one token from each of hundreds of proxies would exceed the
//! server's capacity several times.

use super::Router;
use super::servers::Server;
use crate::interface::{AttemptOutcome, Micros, ServerId, Settings};

/// Fraction of the budget that is used. The rest is a margin for differences between the traffic of proxies
/// and between the costs of requests.
const SLOW_START_UTILIZATION: f64 = 0.75;
/// Fraction of the baseline throughput that is kept after a slow-start window with a lower throughput.
const BASELINE_DECAY: f64 = 0.75;

/// Slow-start budget of a server.
#[derive(Clone, Copy)]
pub(super) struct SlowStart {
    /// Number of attempts that the server may still be sent, as of `updated_at`.
    tokens: f64,
    updated_at: Micros,
    /// Time at which the server last refused a connection. A refusal shows that no process was running.
    connection_refused_at: Option<Micros>,
}

impl SlowStart {
    pub(super) fn new(tokens: f64, now: Micros) -> Self {
        SlowStart { tokens, updated_at: now, connection_refused_at: None }
    }

    /// Replaces the budget by the initial budget of a new process.
    pub(super) fn reset_for_new_process(&mut self, initial: SlowStart) {
        self.tokens = initial.tokens;
        self.updated_at = initial.updated_at;
    }

    /// Records an answer to an attempt that was sent at `sent_at`. The process that answered has been running
    /// at least since `sent_at`. A connection refused after `sent_at` therefore does not show that no process
    /// was running, and the refusal is discarded.
    pub(super) fn record_answer_to_attempt_sent_at(&mut self, sent_at: Micros) {
        self.connection_refused_at = self.connection_refused_at.filter(|at| *at <= sent_at);
    }

    /// Records a refused connection, which shows that no process is running at this time.
    fn record_refused_connection(&mut self, initial_tokens: f64, now: Micros) {
        self.connection_refused_at = Some(now);
        self.set_tokens(self.tokens.min(initial_tokens), now);
    }

    pub(super) fn set_tokens(&mut self, tokens: f64, now: Micros) {
        self.tokens = tokens;
        self.updated_at = now;
    }

    /// Lower bound of the fraction of its full capacity that the server has at this time.
    fn capacity_fraction(&self, started_at: Option<Micros>, at: Micros, settings: &Settings) -> f64 {
        let window = settings.slow_start_window;
        let down_until = started_at.max(self.connection_refused_at);
        let age = down_until.map_or(Micros::MAX, |down_until| at.saturating_sub(down_until).max(0));
        if age >= window || window <= 0 {
            return 1.0;
        }
        let initial = settings.slow_start_initial_fraction;
        let elapsed_fraction = age as f64 / window as f64;
        (initial + (1.0 - initial) * elapsed_fraction).clamp(0.0, 1.0)
    }
}

/// Throughput that an average server provides to this proxy.
pub(super) struct ServedThroughput {
    /// Successful attempts since the start of the current slow-start window.
    successes: f64,
    window_started_at: Micros,
    /// Highest number of successful attempts per server and slow-start window, with a decay. The current
    /// number would starve a fleet in which most servers are in slow start.
    baseline: f64,
}

impl ServedThroughput {
    pub(super) fn new(now: Micros) -> Self {
        ServedThroughput { successes: 0.0, window_started_at: now, baseline: 0.0 }
    }

    /// Counts a successful attempt. Starts a new window first if the current one has elapsed.
    fn record(&mut self, is_success: bool, now: Micros, server_count: usize, window: Micros) {
        if now - self.window_started_at >= window {
            let successes_per_server = self.successes / server_count as f64;
            self.baseline = successes_per_server.max(self.baseline * BASELINE_DECAY);
            self.successes = 0.0;
            self.window_started_at = now;
        }
        self.successes += f64::from(is_success);
    }

    /// Successful attempts per server and microsecond.
    fn per_server(&self, now: Micros, server_count: usize, settings: &Settings) -> f64 {
        let window = settings.slow_start_window;
        let span = if self.baseline > 0.0 {
            window
        } else {
            // The slow-start window may be shorter than the overload window.
            (now - self.window_started_at).min(window).max(settings.overload_window)
        };
        self.baseline.max(self.successes / server_count as f64) / span.max(1) as f64
    }
}

impl Router {
    /// Lower bound of the fraction of its full capacity that the server has at this time.
    fn capacity_fraction(&self, server: &Server, at: Micros) -> f64 {
        let started_at = server.endpoint.listed().started_at;
        server.slow_start.capacity_fraction(started_at, at, &self.settings)
    }

    /// Whether the server is known to have its full capacity.
    pub(super) fn is_warmed_up(&self, server: &Server) -> bool {
        self.capacity_fraction(server, self.now) >= 1.0
    }

    /// Number of attempts that this proxy may send now to a server in slow start.
    pub(super) fn available_slow_start_tokens(&self, server: &Server) -> f64 {
        let SlowStart { tokens, updated_at, .. } = server.slow_start;
        let overload_window = self.settings.overload_window;
        let fraction_before = self.capacity_fraction(server, updated_at);
        let capacity_fraction = (fraction_before + self.capacity_fraction(server, self.now)) / 2.0;
        // Before anything has been served: one attempt per overload window, summed over all proxies.
        let min_rate = 1.0 / (f64::from(self.settings.proxy_count) * overload_window.max(1) as f64);
        let served_rate =
            self.throughput.per_server(self.now, self.accepting_server_count_or_one(), &self.settings);
        let rate = SLOW_START_UTILIZATION * self.settings.overload_factor * capacity_fraction * served_rate;
        let rate = rate.max(min_rate);
        let capacity = (rate * overload_window as f64).max(1.0);
        (tokens + rate * (self.now - updated_at) as f64).min(capacity)
    }

    /// Slow-start budget after one more attempt. An attempt at a server with full capacity costs nothing, so
    /// that it does not reduce the budget if the server restarts.
    pub(super) fn slow_start_tokens_after_attempt(&self, server: &Server) -> f64 {
        let cost = f64::from(!self.is_warmed_up(server));
        self.available_slow_start_tokens(server) - cost
    }

    /// Records a connection that was refused immediately. No process is running, and the next process begins
    /// with slow start. The endpoint list shows the new process only seconds later.
    pub(super) fn record_refused_connection(&mut self, id: ServerId) {
        let initial_tokens = self.rng.f64();
        if let Some(server) = self.servers.get_mut(&id) {
            server.slow_start.record_refused_connection(initial_tokens, self.now);
        }
    }

    /// Updates the throughput that servers provide to this proxy by the result of an attempt.
    pub(super) fn record_throughput(&mut self, outcome: AttemptOutcome) {
        let is_success = outcome == AttemptOutcome::Ok;
        let server_count = self.accepting_server_count_or_one();
        self.throughput.record(is_success, self.now, server_count, self.settings.slow_start_window);
    }
}
