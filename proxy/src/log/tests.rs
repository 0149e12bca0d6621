//! Format of log lines, and the bound on their number.

use super::rate_limit::{BURST_LINES, RateLimit};
use super::*;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

#[test]
fn a_flood_of_lines_is_limited() {
    let (mut limit, start) = (RateLimit::default(), Instant::now());
    assert_eq!((0..1000).filter(|_| limit.allows(start)).count(), BURST_LINES as usize);
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

fn written(format: Format, filter: &str, act: impl FnOnce()) -> Vec<String> {
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

#[test]
fn lines_keep_names_and_order_in_both_formats() {
    let plain = written(Format::Logfmt, "info", log_some);
    let quoted = r#"conn=discovery rev=3 all=true reason="a \"b\"\u000ac""#;
    assert_eq!(plain, ["event=reloaded discovery=127.0.0.1:1 needs-restart=a,b", quoted]);
    let json = written(Format::Json, "info", log_some);
    let object: serde_json::Value = serde_json::from_str(&json[1]).unwrap();
    assert_eq!((&object["rev"], &object["reason"]), (&3.into(), &"a \"b\"\nc".into()));
    assert_eq!((&object["level"], json.len()), (&"WARN".into(), 2));
    assert_eq!(written(Format::Logfmt, "warn", log_some), [quoted]);
}

#[test]
fn dropped_lines_are_counted_in_one_line() {
    let flood = || {
        (0..1000).for_each(|n| info!(event = "flood", n));
        std::thread::sleep(Duration::from_millis(100));
        (0..500).for_each(|_| debug!(event = "filtered"));
        info!(event = "after");
    };
    let lines = written(Format::Logfmt, "info", flood);
    let limited = lines.iter().position(|line| line.starts_with("event=log-limited dropped=")).unwrap();
    let dropped: usize = lines[limited].rsplit('=').next().unwrap().parse().unwrap();
    // Lines pass again after a while, so the line may stand anywhere; all are accounted for.
    assert_eq!(dropped + lines.len() - 1, 1001);
}
