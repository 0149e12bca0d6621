//! Limits the rate of log lines: a flood of lines about closed connections must not take processor time from other
//! connections.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// The sustained rate, in lines per second.
const LINES_PER_SECOND: f64 = 50.0;
/// The maximum number of lines in a burst.
pub(super) const BURST_LINES: f64 = 200.0;

/// A token bucket of lines.
#[derive(Default)]
pub(super) struct RateLimit {
    last_line_at: Option<Instant>,
    used_tokens: f64,
}

impl RateLimit {
    /// Returns whether a line can be written now, and counts the line if so.
    pub(super) fn allows(&mut self, now: Instant) -> bool {
        let last = self.last_line_at.replace(now);
        let elapsed = last.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.used_tokens = (self.used_tokens - elapsed * LINES_PER_SECOND).max(0.0);
        let allowed = self.used_tokens + 1.0 <= BURST_LINES;
        if allowed {
            self.used_tokens += 1.0;
        }
        allowed
    }
}

/// The layer that drops lines above the rate limit and counts the dropped lines.
pub(super) struct RateLimitLayer {
    limit: Mutex<RateLimit>,
    dropped: Arc<AtomicU64>,
}

impl RateLimitLayer {
    /// Creates a layer that adds the dropped lines to `dropped`.
    pub(super) fn new(dropped: Arc<AtomicU64>) -> RateLimitLayer {
        RateLimitLayer { limit: Mutex::default(), dropped }
    }
}

impl<S: Subscriber> Layer<S> for RateLimitLayer {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        // An error ends the process. Its line is the one that is needed after a flood of others.
        if *event.metadata().level() == Level::ERROR {
            return true;
        }
        let allowed = self.limit.lock().is_ok_and(|mut limit| limit.allows(Instant::now()));
        if !allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}
