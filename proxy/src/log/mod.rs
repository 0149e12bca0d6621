//! Log lines: structured events to standard error, a bounded number of them.
//!
//! Fields are written in the order in which an event names them, `key=value` for people and `grep` or JSON for
//! collectors. It owns the form and the bound; what is worth a line is decided where it happens.

mod json;
#[cfg(test)]
mod tests;

use clap::ValueEnum;
use json::{Json, object};
use std::fmt::{self, Debug, Display, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::Registry;

/// Lines a second in the long run, and at once.
const PACE: f64 = 50.0;
const BURST: f64 = 200.0;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// key=value, for people
    #[default]
    Logfmt,
    /// an object a line, with time and level, for collectors
    Json,
}

/// A flood of ended connections must not cost the core that serves the others.
#[derive(Default)]
struct Limit {
    since: Option<Instant>,
    spent: f64,
}

impl Limit {
    /// This line may be written.
    fn pass(&mut self, now: Instant) -> bool {
        let rested =
            self.since.replace(now).map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.spent = (self.spent - rested * PACE).max(0.0);
        let passes = self.spent + 1.0 <= BURST;
        self.spent += f64::from(u8::from(passes));
        passes
    }
}

/// The layer that lets a bounded number of lines through and counts the others.
struct Pace {
    limit: Mutex<Limit>,
    dropped: Arc<AtomicU64>,
}

impl<S: Subscriber> Layer<S> for Pace {
    fn event_enabled(&self, _: &Event<'_>, _: Context<'_, S>) -> bool {
        let passes = self.limit.lock().is_ok_and(|mut limit| limit.pass(Instant::now()));
        if !passes {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        passes
    }
}

/// The layer that writes lines, each in one call, and before it how many were left out.
struct Lines<W> {
    format: Format,
    dropped: Arc<AtomicU64>,
    to: Mutex<(String, W)>,
}

impl<S: Subscriber, W: std::io::Write + 'static> Layer<S> for Lines<W> {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let Ok(mut to) = self.to.lock() else { return };
        let (line, out) = &mut *to;
        line.clear();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        match self.format {
            Format::Logfmt => {
                if dropped > 0 {
                    let _ = writeln!(line, "event=log-limited dropped={dropped}");
                }
                event.record(&mut Plain { line, first: true });
            }
            Format::Json => {
                if dropped > 0 {
                    let fields = |map: &mut Json| {
                        map.entry("event", "log-limited");
                        map.entry("dropped", &dropped);
                    };
                    object(line, Level::WARN, fields);
                    line.push('\n');
                }
                object(line, *event.metadata().level(), |map| event.record(map));
            }
        }
        line.push('\n');
        // Nobody is left to tell if this fails.
        let _ = out.write_all(line.as_bytes());
    }
}

struct Plain<'a> {
    line: &'a mut String,
    first: bool,
}

impl Visit for Plain<'_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let gap = if std::mem::replace(&mut self.first, false) { "" } else { " " };
        let _ = write!(self.line, "{gap}{}={value:?}", field.name());
    }
}

/// A text between quotes, so that what it says stays one value on one line.
pub struct Quoted<T>(pub T);

impl<T: Display> Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_char('"')?;
        for c in self.0.to_string().chars() {
            match c {
                '"' | '\\' => write!(f, "\\{c}")?,
                c if c.is_control() => write!(f, "\\u{:04x}", u32::from(c))?,
                c => f.write_char(c)?,
            }
        }
        f.write_char('"')
    }
}

fn subscriber<W: std::io::Write + Send + 'static>(
    format: Format,
    filter: Targets,
    to: W,
) -> impl Subscriber + Send + Sync {
    let dropped = Arc::new(AtomicU64::new(0));
    let pace = Pace { limit: Mutex::default(), dropped: dropped.clone() };
    let lines = Lines { format, dropped, to: Mutex::new((String::with_capacity(512), to)) };
    // What is filtered out is not counted as dropped: the filter is asked first.
    Registry::default().with(lines).with(pace).with(filter)
}

/// From here on events are written to standard error. What `filter` names, and at which levels: as
/// `warn,birchreach_proxy::net=info`.
pub fn start(format: Format, filter: Targets) {
    let _ = tracing::subscriber::set_global_default(subscriber(format, filter, std::io::stderr()));
}
