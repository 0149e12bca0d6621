//! Tests of the format of log lines and of the rate limit.

use super::rate_limit::{BURST_LINES, RateLimit};
use super::*;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

#[test]
fn log_lines_above_the_rate_limit_are_dropped() {
    // Given a rate limit, when more lines arrive at the same time than it allows, then it passes a burst
    let (mut limit, start) = (RateLimit::default(), Instant::now());
    assert_eq!((0..1000).filter(|_| limit.allows(start)).count(), BURST_LINES as usize);
    // When more lines arrive 100 ms later, then it passes the 5 lines that the sustained rate allows in this time
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

/// Runs a closure and returns the lines that it logs.
fn log_lines(format: LogFormat, filter: &str, log: impl FnOnce()) -> Vec<String> {
    let buffer = SharedBuffer::default();
    let subscriber = subscriber(format, filter.parse().unwrap(), buffer.clone());
    tracing::subscriber::with_default(subscriber, log);
    let text = String::from_utf8(buffer.0.lock().unwrap().clone()).unwrap();
    text.lines().map(Into::into).collect()
}

fn log_events() {
    let none: Option<u16> = None;
    info!(event = "reloaded", discovery = %"127.0.0.1:1", port = none, "needs-restart" = "a,b");
    warn!(conn = "discovery", rev = 3, all = true, reason = %Quoted("a \"b\"\nc"));
    debug!(event = "debug-only");
}

/// The warning of [`log_events`] in logfmt.
const QUOTED_WARNING: &str = r#"conn=discovery rev=3 all=true reason="a \"b\"\u000ac""#;

#[test]
fn logfmt_lines_preserve_field_names_and_order() {
    // Given events with values of different types, when they are logged
    let plain = log_lines(LogFormat::Logfmt, "info", log_events);
    // Then each line has the fields of an event in the order of their declaration
    assert_eq!(plain, ["event=reloaded discovery=127.0.0.1:1 needs-restart=a,b", QUOTED_WARNING]);
}

#[test]
fn json_lines_preserve_field_names_and_types() {
    // Given events with values of different types, when they are logged
    let json = log_lines(LogFormat::Json, "info", log_events);
    // Then each line is an object whose values have the same types
    let object: serde_json::Value = serde_json::from_str(&json[1]).unwrap();
    assert_eq!((&object["rev"], &object["reason"]), (&3.into(), &"a \"b\"\nc".into()));
    assert_eq!((&object["level"], json.len()), (&"WARN".into(), 2));
}

#[test]
fn lines_below_the_filter_level_are_not_written() {
    // Given a filter for warnings, when events of several levels are logged, then only the warning is written
    assert_eq!(log_lines(LogFormat::Logfmt, "warn", log_events), [QUOTED_WARNING]);
}

#[test]
fn one_line_reports_the_number_of_dropped_lines() {
    // Given more lines than the limit allows, some of which are filtered, and one line after a pause
    let flood = || {
        (0..1000).for_each(|n| info!(event = "flood", n));
        std::thread::sleep(Duration::from_millis(100));
        (0..500).for_each(|_| debug!(event = "filtered"));
        info!(event = "after");
    };
    // When the lines are logged
    let lines = log_lines(LogFormat::Logfmt, "info", flood);
    // Then one line has the number of dropped lines
    let limited = lines.iter().position(|line| line.starts_with("event=log-limited dropped=")).unwrap();
    let dropped: usize = lines[limited].rsplit('=').next().unwrap().parse().unwrap();
    // The limit passes lines again after some time, so that the position of the line is not fixed. Each line that
    // passes the filter is either written or counted.
    assert_eq!(dropped + lines.len() - 1, 1001);
}
