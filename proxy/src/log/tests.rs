//! What is written of events, and what of a flood of them.

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
