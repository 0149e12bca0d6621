//! Slow start: a server that has just started gets a budget of attempts that grows with its capacity.
//!
//! A server in slow start fails under the sum of what all proxies send it. Each proxy keeps to its own part
//! of what the server can take: the throughput that an average server gives this proxy, scaled to the
//! capacity that the starting server has by now. The budget is a token bucket; it starts with a random
//! fraction of one token, since a token each from hundreds of proxies would be several times what the server
//! can take.

use super::Router;
use super::servers::Server;
use crate::interface::{AttemptOutcome, Micros, ServerId, Settings};

/// Fraction of the budget that is used. Proxies differ in their traffic and requests in their cost.
const SLOW_START_UTILIZATION: f64 = 0.75;
/// Fraction of the baseline throughput that is kept after each slow-start window with a lower one.
const BASELINE_DECAY: f64 = 0.75;

/// Slow-start budget of a server.
#[derive(Clone, Copy)]
pub(super) struct SlowStart {
    /// Attempts that it may still be sent, as of `updated_at`.
    tokens: f64,
    updated_at: Micros,
    /// When it last refused a connection, which shows that no process was running.
    connection_refused_at: Option<Micros>,
}

impl SlowStart {
    /// A budget with this many tokens.
    pub(super) fn new(tokens: f64, now: Micros) -> Self {
        SlowStart { tokens, updated_at: now, connection_refused_at: None }
    }

    /// A new process has the initial budget.
    pub(super) fn reset_for_new_process(&mut self, initial: SlowStart) {
        self.tokens = initial.tokens;
        self.updated_at = initial.updated_at;
    }

    /// It has answered an attempt sent at this time: the process did not end before.
    pub(super) fn record_answer_to_attempt_sent_at(&mut self, sent_at: Micros) {
        self.connection_refused_at = self.connection_refused_at.filter(|at| *at <= sent_at);
    }

    /// A connection was refused: no process was running at this time.
    fn record_refused_connection(&mut self, initial_tokens: f64, now: Micros) {
        self.connection_refused_at = Some(now);
        self.set_tokens(self.tokens.min(initial_tokens), now);
    }

    pub(super) fn set_tokens(&mut self, tokens: f64, now: Micros) {
        self.tokens = tokens;
        self.updated_at = now;
    }

    /// Fraction of its capacity that the server has for certain.
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

/// Successful answers to this proxy: how much an average server serves it.
pub(super) struct ServedThroughput {
    /// Answers since the start of the current slow-start window.
    answers: f64,
    window_started_at: Micros,
    /// The highest number of answers per server and slow-start window, with a decay. The present number would
    /// starve a fleet of which most servers are in slow start.
    baseline: f64,
}

impl ServedThroughput {
    pub(super) fn new(now: Micros) -> Self {
        ServedThroughput { answers: 0.0, window_started_at: now, baseline: 0.0 }
    }

    /// Counts an answer, and starts a new window when the present one is over.
    fn record(&mut self, is_answer: bool, now: Micros, ready_count: usize, window: Micros) {
        if now - self.window_started_at >= window {
            let answers_per_server = self.answers / ready_count as f64;
            self.baseline = answers_per_server.max(self.baseline * BASELINE_DECAY);
            self.answers = 0.0;
            self.window_started_at = now;
        }
        self.answers += f64::from(is_answer);
    }

    /// Answers per server and microsecond.
    fn per_server(&self, now: Micros, ready_count: usize, settings: &Settings) -> f64 {
        let window = settings.slow_start_window;
        let span = if self.baseline > 0.0 {
            window
        } else {
            // The slow-start window may be shorter than the overload window.
            (now - self.window_started_at).min(window).max(settings.overload_window)
        };
        self.baseline.max(self.answers / ready_count as f64) / span.max(1) as f64
    }
}

impl Router {
    /// Fraction of its capacity that the server has for certain at this time.
    fn capacity_fraction(&self, server: &Server, at: Micros) -> f64 {
        let started_at = server.endpoint.listed().started_at;
        server.slow_start.capacity_fraction(started_at, at, &self.settings)
    }

    /// Whether the server certainly has its full capacity.
    pub(super) fn is_warmed_up(&self, server: &Server) -> bool {
        self.capacity_fraction(server, self.now) >= 1.0
    }

    /// Attempts that this proxy may send now to a server in slow start.
    pub(super) fn available_slow_start_tokens(&self, server: &Server) -> f64 {
        let SlowStart { tokens, updated_at, .. } = server.slow_start;
        let overload_window = self.settings.overload_window;
        let fraction_before = self.capacity_fraction(server, updated_at);
        let capacity_fraction = (fraction_before + self.capacity_fraction(server, self.now)) / 2.0;
        // While nothing has been served yet: one attempt in the overload window from all proxies together.
        let min_rate = 1.0 / (f64::from(self.settings.proxy_count) * overload_window.max(1) as f64);
        let served_rate = self.throughput.per_server(self.now, self.ready_count(), &self.settings);
        let rate = SLOW_START_UTILIZATION * self.settings.overload_factor * capacity_fraction * served_rate;
        let rate = rate.max(min_rate);
        let capacity = (rate * overload_window as f64).max(1.0);
        (tokens + rate * (self.now - updated_at) as f64).min(capacity)
    }

    /// The slow-start budget that is left after one more attempt. A server with full capacity has no budget:
    /// what it is sent now must not count against it if it restarts.
    pub(super) fn slow_start_tokens_after_attempt(&self, server: &Server) -> f64 {
        let cost = f64::from(!self.is_warmed_up(server));
        self.available_slow_start_tokens(server) - cost
    }

    /// A connection was refused at once: no process is running, and the next one begins with slow start. The
    /// endpoint list shows that one seconds later.
    pub(super) fn record_refused_connection(&mut self, id: ServerId) {
        let initial_tokens = self.rng.f64();
        if let Some(server) = self.servers.get_mut(&id) {
            server.slow_start.record_refused_connection(initial_tokens, self.now);
        }
    }

    /// Counts an answer for the throughput that servers give this proxy.
    pub(super) fn record_throughput(&mut self, outcome: AttemptOutcome) {
        let is_answer = outcome == AttemptOutcome::Ok;
        let ready_count = self.ready_count();
        self.throughput.record(is_answer, self.now, ready_count, self.settings.slow_start_window);
    }
}
