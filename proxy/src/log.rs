//! Log lines: structured events to standard error, a bounded number of them.
//!
//! Fields are written in the order in which an event names them, `key=value` for people and `grep` or JSON for
//! collectors. It owns the form and the bound; what is worth a line is decided where it happens.

use clap::ValueEnum;
use serde::ser::{SerializeMap, Serializer};
use std::fmt::{self, Debug, Display, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
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
                    json(line, Level::WARN, fields);
                    line.push('\n');
                }
                json(line, *event.metadata().level(), |map| event.record(map));
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

type Json<'a> = JsonFields<<&'a mut serde_json::Serializer<Vec<u8>> as Serializer>::SerializeMap>;

struct JsonFields<M>(M);

impl<M: SerializeMap> JsonFields<M> {
    fn entry<T: serde::Serialize + ?Sized>(&mut self, name: &str, value: &T) {
        let _ = self.0.serialize_entry(name, value);
    }
}

impl<M: SerializeMap> Visit for JsonFields<M> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.entry(field.name(), value);
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.entry(field.name(), &value);
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.entry(field.name(), &value);
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.entry(field.name(), &value);
    }
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.entry(field.name(), &value);
    }
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let text = format!("{value:?}");
        // What is quoted for people is a text like others here.
        let bare =
            text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).map(|_| serde_json::from_str(&text));
        match bare {
            Some(Ok(serde_json::Value::String(bare))) => self.entry(field.name(), &bare),
            _ => self.entry(field.name(), &text),
        }
    }
}

fn json(line: &mut String, level: Level, fields: impl FnOnce(&mut Json)) {
    let mut out = serde_json::Serializer::new(Vec::with_capacity(256));
    if let Ok(map) = out.serialize_map(None) {
        let mut map = JsonFields(map);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        map.entry("time_ms", &(unix.as_millis() as u64));
        map.entry("level", level.as_str());
        fields(&mut map);
        let _ = map.0.end();
    }
    line.push_str(&String::from_utf8_lossy(&out.into_inner()));
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tracing::{debug, info, warn};

    #[test]
    fn a_flood_is_cut() {
        let (mut limit, start) = (Limit::default(), Instant::now());
        assert_eq!((0..1000).filter(|_| limit.pass(start)).count(), BURST as usize);
        let later = start + Duration::from_millis(100);
        assert_eq!((0..1000).filter(|_| limit.pass(later)).count(), 5);
    }

    #[derive(Clone, Default)]
    struct Kept(Arc<Mutex<Vec<u8>>>);

    impl std::io::Write for Kept {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(bytes);
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    fn written(format: Format, filter: &str, act: impl FnOnce()) -> Vec<String> {
        let kept = Kept::default();
        let subscriber = subscriber(format, filter.parse().unwrap(), kept.clone());
        tracing::subscriber::with_default(subscriber, act);
        let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
        text.lines().map(Into::into).collect()
    }

    fn some() {
        let none: Option<u16> = None;
        info!(event = "reloaded", discovery = %"127.0.0.1:1", port = none, "needs-restart" = "a,b");
        warn!(conn = "discovery", rev = 3, all = true, reason = %Quoted("a \"b\"\nc"));
        debug!(event = "seldom");
    }

    #[test]
    fn lines_keep_names_and_order_in_both_forms() {
        let plain = written(Format::Logfmt, "info", some);
        let quoted = r#"conn=discovery rev=3 all=true reason="a \"b\"\u000ac""#;
        assert_eq!(plain, ["event=reloaded discovery=127.0.0.1:1 needs-restart=a,b", quoted]);
        let json = written(Format::Json, "info", some);
        let told: serde_json::Value = serde_json::from_str(&json[1]).unwrap();
        assert_eq!((&told["rev"], &told["reason"]), (&3.into(), &"a \"b\"\nc".into()));
        assert_eq!((&told["level"], json.len()), (&"WARN".into(), 2));
        assert_eq!(written(Format::Logfmt, "warn", some), [quoted]);
    }

    #[test]
    fn what_was_left_out_is_told_in_one_line() {
        let flood = || {
            (0..1000).for_each(|n| info!(event = "flood", n));
            std::thread::sleep(Duration::from_millis(100));
            (0..500).for_each(|_| debug!(event = "filtered"));
            info!(event = "after");
        };
        let lines = written(Format::Logfmt, "info", flood);
        let told = lines.iter().position(|l| l.starts_with("event=log-limited dropped=")).unwrap();
        let dropped: usize = lines[told].rsplit('=').next().unwrap().parse().unwrap();
        // Lines come back as time passes: all are accounted for, wherever that was.
        assert_eq!(dropped + lines.len() - 1, 1001);
    }
}
