//! The built adapter over a pipe, with hand-made frames.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "my_zone": 0, "registry_mode": "subscribe", "an_unknown_key": [1],
 "classes": [{"credit": 1.0, "deadline_ms": 2000.0, "goal_time_ms": 500.0, "idempotency": "free", "late_worth": 0.5,
  "dedup_scope": "all", "repeat_window_ms": 5000.0}],
 "extra": {"class_read": ["any"], "max_age_ms": [0.0], "counted_from_ms": 0.0, "guards": "silent", "tokens": "carried"},
 "limits": {"attempts_cap": 4, "may_cancel": true, "may_probe": true, "parallel_tries": true, "retry_after": true,
  "max_retry_after_ms": 1000.0}, "load_info": {"names": ["x0", "x1"], "via": "pull"},
 "obligations": {"cold_ms": 1000.0, "cold_share": 0.2, "drain_grace_ms": 500.0, "fall_ms": 1000.0, "fall_multiple": 2.0}}"#;

fn play(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_birchreach-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may leave before it has read everything.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

struct Frame {
    records: Vec<[u8; 56]>,
    tail: Vec<u8>,
}

impl Frame {
    fn new() -> Frame {
        Frame { records: vec![], tail: vec![] }
    }

    fn record(mut self, code: u16, router: u16, fields: &[(usize, &[u8])]) -> Frame {
        let mut r = [0; 56];
        r[0..2].copy_from_slice(&code.to_le_bytes());
        r[2..4].copy_from_slice(&router.to_le_bytes());
        for (at, bytes) in fields {
            r[*at..at + bytes.len()].copy_from_slice(bytes);
        }
        self.records.push(r);
        self
    }

    fn begin(mut self, router: u16, info: &str) -> Frame {
        let at = (self.tail.len() as u32).to_le_bytes();
        self.tail.extend_from_slice(info.as_bytes());
        self.record(
            256,
            router,
            &[(4, &7u64.to_le_bytes()), (12, &at), (16, &(info.len() as u32).to_le_bytes())],
        )
    }

    /// List `bank` with one ready server of group 0, and its use by router 3.
    fn list(mut self, bank: u16, node: u32) -> Frame {
        let at = (self.tail.len() as u32).to_le_bytes();
        let mut entry = [0u8; 25];
        entry[0] = 2;
        entry[10..14].copy_from_slice(&1f32.to_le_bytes());
        entry[21..25].copy_from_slice(&node.to_le_bytes());
        self.tail.extend_from_slice(&entry);
        let this = self.record(266, bank, &[(4, &at), (8, &1u32.to_le_bytes())]);
        this.record(257, 3, &[(4, &[1]), (13, &bank.to_le_bytes())])
    }

    fn request(self, id: u64) -> Frame {
        self.record(258, 3, &[(4, &id.to_le_bytes()), (12, &1500f64.to_le_bytes())])
    }

    fn bytes(&self, number: u32, clock_ms: f64) -> Vec<u8> {
        let length = self.records.len() * 56 + self.tail.len();
        let mut out = Vec::new();
        out.extend_from_slice(&(length as u32).to_le_bytes());
        out.extend_from_slice(&(self.records.len() as u32).to_le_bytes());
        out.extend_from_slice(&clock_ms.to_le_bytes());
        out.extend_from_slice(&number.to_le_bytes());
        self.records.iter().for_each(|r| out.extend_from_slice(r));
        out.extend_from_slice(&self.tail);
        out
    }
}

type Actions = Vec<(u16, Vec<u8>)>;

/// The codes and bytes of the actions in each reply.
fn replies(out: &[u8]) -> Vec<(u32, Actions)> {
    let u32_at = |at: usize| u32::from_le_bytes(out[at..at + 4].try_into().unwrap());
    let (mut at, mut all) = (0, vec![]);
    while at < out.len() {
        let (length, count, number) = (u32_at(at) as usize, u32_at(at + 4) as usize, u32_at(at + 8));
        let record = |i: usize| out[at + 12 + 24 * i..at + 36 + 24 * i].to_vec();
        let code = |r: &Vec<u8>| u16::from_le_bytes([r[0], r[1]]);
        all.push((number, (0..count).map(record).map(|r| (code(&r), r)).collect()));
        at += 12 + length;
    }
    all
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_a_clean_exit() {
    let out = play(&Frame::new().bytes(1, 15_424.0));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn a_request_goes_to_the_listed_server_with_lists_taken_in_event_order() {
    // The list's number is used twice in the batch: each use sees the list as it then was.
    let frame = Frame::new().begin(3, SETTINGS).list(0, 77).request(1).list(0, 78).request(2);
    let out = play(&frame.bytes(12, 15_424.0));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let got = replies(&out.stdout);
    let sends: Vec<_> = got[0].1.iter().filter(|(code, _)| *code == 262).map(|(_, r)| r).collect();
    assert_eq!(got[0].0, 12);
    assert!(got[0].1.iter().any(|(code, r)| *code == 259 && r[4] == 1), "it watches the endpoint list");
    assert_eq!(sends[0][4..16], [1, 0, 0, 0, 0, 0, 0, 0, 77, 0, 0, 0]);
    assert_eq!(sends[1][4..16], [2, 0, 0, 0, 0, 0, 0, 0, 78, 0, 0, 0]);
    assert!(f64::from_le_bytes(sends[0][16..24].try_into().unwrap()) <= 1500.0);
}

#[test]
fn an_instance_may_end_and_begin_again_in_one_batch() {
    let frame =
        Frame::new().begin(3, SETTINGS).list(0, 77).record(265, 3, &[]).begin(3, SETTINGS).list(1, 78);
    let out = play(&frame.request(5).bytes(2, 0.0));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let got = replies(&out.stdout);
    assert_eq!(
        got[0].1.iter().filter(|(code, _)| *code == 259).count(),
        1,
        "the actions of the stopped router are dropped"
    );
}

#[test]
fn settings_that_cannot_be_read_bail_out_and_name_the_key() {
    for (info, key) in [
        ("{", "info"),
        (&SETTINGS.replace("\"cold_ms\": 1000.0", "\"cold_ms\": \"soon\""), "obligations.cold_ms"),
        (&SETTINGS.replace("\"balancers\": 1,", ""), "balancers"),
        (&SETTINGS.replace("\"free\"", "\"sometimes\""), "classes[0].idempotency"),
    ] {
        let out = play(&Frame::new().begin(3, info).bytes(1, 0.0));
        assert!(out.status.success());
        assert_eq!(replies(&out.stdout)[0].1[0].0, 264);
        assert!(String::from_utf8_lossy(&out.stdout).contains(key), "{key}");
    }
}

#[test]
fn malformed_frames_end_with_one_plain_line_and_no_guessed_reply() {
    let good = Frame::new().begin(3, SETTINGS).list(0, 77);
    let cut = good.bytes(9, 0.0);
    let mut many = good.bytes(9, 0.0);
    many[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    let tail = Frame::new().record(266, 0, &[(4, &500u32.to_le_bytes()), (8, &1u32.to_le_bytes())]);
    let list = Frame::new().begin(3, SETTINGS).record(257, 3, &[(4, &[1]), (13, &9u16.to_le_bytes())]);
    let code = Frame::new().begin(3, SETTINGS).record(263, 3, &[(16, &[99])]);
    for (input, says) in [
        (&cut[..cut.len() - 3], "batch 9"),
        (&cut[..7], "header"),
        (&many[..], "do not fit"),
        (&tail.bytes(9, 0.0)[..], "tail reference"),
        (&list.bytes(9, 0.0)[..], "list 9"),
        (&code.bytes(9, 0.0)[..], "completion code 99"),
        (&good.bytes(9, f64::NAN)[..], "clock"),
    ] {
        let out = play(input);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && out.stdout.is_empty(), "{says}");
        assert!(text.lines().count() == 1 && text.contains(says) && !text.contains("panicked"), "{text}");
    }
}

#[test]
fn unknown_event_codes_are_skipped_and_reported_once() {
    let frame = Frame::new().record(999, 3, &[]).record(999, 3, &[]);
    let out = play(&frame.bytes(1, 0.0));
    assert!(out.status.success());
    assert_eq!(String::from_utf8_lossy(&out.stderr).lines().count(), 1);
}
