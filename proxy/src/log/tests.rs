//! Format of log lines, and the bound on their number.

use super::rate_limit::{BURST_LINES, RateLimit};
use super::*;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

#[test]
fn log_lines_above_the_rate_limit_are_dropped() {
    // Given a limit, when more lines come at once than it allows, then it passes a burst
    let (mut limit, start) = (RateLimit::default(), Instant::now());
    assert_eq!((0..1000).filter(|_| limit.allows(start)).count(), BURST_LINES as usize);
    // When more come a moment later, then it passes as many as that time allows
    let later = start + Duration::from_millis(100);
    assert_eq!((0..1000).filter(|_| limit.allows(later)).count(), 5);
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn written(format: LogFormat, filter: &str, act: impl FnOnce()) -> Vec<String> {
    let buffer = SharedBuffer::default();
    let subscriber = subscriber(format, filter.parse().unwrap(), buffer.clone());
    tracing::subscriber::with_default(subscriber, act);
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    text.lines().map(Into::into).collect()
}

fn log_some() {
    let none: Option<u16> = None;
    info!(event = "reloaded", discovery = %"127.0.0.1:1", port = none, "needs-restart" = "a,b");
    warn!(conn = "discovery", rev = 3, all = true, reason = %Quoted("a \"b\"\nc"));
    debug!(event = "debug-only");
}

/// The warning of [`log_some`] in logfmt.
const QUOTED_WARNING: &str = r#"conn=discovery rev=3 all=true reason="a \"b\"\u000ac""#;

#[test]
fn logfmt_lines_preserve_field_names_and_order() {
    // Given events with values of each kind, when they are logged
    let plain = written(LogFormat::Logfmt, "info", log_some);
    // Then each is a line with its names in their order
    assert_eq!(plain, ["event=reloaded discovery=127.0.0.1:1 needs-restart=a,b", QUOTED_WARNING]);
}

#[test]
fn json_lines_preserve_field_names_and_types() {
    // Given events with values of each kind, when they are logged
    let json = written(LogFormat::Json, "info", log_some);
    // Then each is an object whose values have their types
    let object: serde_json::Value = serde_json::from_str(&json[1]).unwrap();
    assert_eq!((&object["rev"], &object["reason"]), (&3.into(), &"a \"b\"\nc".into()));
    assert_eq!((&object["level"], json.len()), (&"WARN".into(), 2));
}

#[test]
fn lines_below_the_filter_level_are_not_written() {
    // Given a filter for warnings, when other events are logged, too, then the warning alone is written
    assert_eq!(written(LogFormat::Logfmt, "warn", log_some), [QUOTED_WARNING]);
}

#[test]
fn one_line_reports_the_number_of_dropped_lines() {
    // Given a flood of lines, filtered ones among them, and one that comes later
    let flood = || {
        (0..1000).for_each(|n| info!(event = "flood", n));
        std::thread::sleep(Duration::from_millis(100));
        (0..500).for_each(|_| debug!(event = "filtered"));
        info!(event = "after");
    };
    // When they are logged
    let lines = written(LogFormat::Logfmt, "info", flood);
    // Then one line counts those that were dropped
    let limited = lines.iter().position(|line| line.starts_with("event=log-limited dropped=")).unwrap();
    let dropped: usize = lines[limited].rsplit('=').next().unwrap().parse().unwrap();
    // Lines pass again after a while, so the line may stand anywhere; all are accounted for.
    assert_eq!(dropped + lines.len() - 1, 1001);
}
