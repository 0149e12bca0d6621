//! Writes the log: structured events on standard error, as `key=value` or as JSON, with a limited rate.
//!
//! Fields are written in the order in which an event declares them.

mod json;
mod logfmt;
mod rate_limit;
#[cfg(test)]
mod tests;

use clap::ValueEnum;
use json::{Json, append_object};
use logfmt::LogfmtFields;
pub(crate) use logfmt::Quoted;
use rate_limit::RateLimitLayer;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::Registry;

/// The initial capacity of the buffer for a line. Few lines are longer.
const LINE_CAPACITY_BYTES: usize = 512;

/// The format of log lines. The comments of the variants are the help texts of the command line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// key=value pairs, for people
    #[default]
    Logfmt,
    /// one object on each line, with time and level, for log collectors
    Json,
}

/// The layer that writes lines, with one system call each. If lines were dropped since the last line, a line with their
/// number comes first.
struct LineWriter<W> {
    format: LogFormat,
    dropped: Arc<AtomicU64>,
    output: Mutex<Output<W>>,
}

/// The destination of lines, and the buffer for the next line.
struct Output<W> {
    line: String,
    writer: W,
}

impl<S: Subscriber, W: std::io::Write + 'static> Layer<S> for LineWriter<W> {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let Ok(mut output) = self.output.lock() else { return };
        let Output { line, writer } = &mut *output;
        line.clear();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.append_dropped_count(line, dropped);
        }
        match self.format {
            LogFormat::Logfmt => event.record(&mut LogfmtFields::new(line)),
            LogFormat::Json => append_object(line, *event.metadata().level(), |fields| event.record(fields)),
        }
        line.push('\n');
        // A failure to write the log is ignored, because there is no other place to report it.
        let _ = writer.write_all(line.as_bytes());
    }
}

impl<W> LineWriter<W> {
    /// Appends the line that reports how many lines were dropped.
    fn append_dropped_count(&self, line: &mut String, dropped: u64) {
        match self.format {
            LogFormat::Logfmt => {
                // Writing to a string never fails.
                let _ = write!(line, "event=log-limited dropped={dropped}");
            }
            LogFormat::Json => append_object(line, Level::WARN, |fields: &mut Json| {
                fields.entry("event", "log-limited");
                fields.entry("dropped", &dropped);
            }),
        }
        line.push('\n');
    }
}

/// Returns the layers of the log: filter, rate limit and writer.
fn subscriber<W: std::io::Write + Send + 'static>(
    format: LogFormat,
    filter: Targets,
    writer: W,
) -> impl Subscriber + Send + Sync {
    let dropped = Arc::new(AtomicU64::new(0));
    let rate_limit = RateLimitLayer::new(dropped.clone());
    let output = Output { line: String::with_capacity(LINE_CAPACITY_BYTES), writer };
    let lines = LineWriter { format, dropped, output: Mutex::new(output) };
    // The filter is applied first, so that the lines that it removes are not counted as dropped.
    Registry::default().with(lines).with(rate_limit).with(filter)
}

/// Installs the log, which writes events to standard error. `filter` contains levels by module, such as
/// `warn,birchreach_proxy::net=info`.
pub(crate) fn init(format: LogFormat, filter: Targets) {
    // This fails only if the process already has a subscriber, which then remains.
    let _ = tracing::subscriber::set_global_default(subscriber(format, filter, std::io::stderr()));
}
