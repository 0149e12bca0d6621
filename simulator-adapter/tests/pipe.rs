//! The built adapter over a pipe, with hand-made frames.

mod common;

use common::{ActionRecord, parse_replies, run_adapter};
use std::process::Output;

/// Length of an event record.
const EVENT_BYTES: usize = 56;
/// Length of an endpoint in the tail.
const ENDPOINT_BYTES: usize = 25;
/// The router that the tests start.
const ROUTER: u16 = 3;

/// Codes of event records.
mod event {
    pub(crate) const START: u16 = 256;
    pub(crate) const ENDPOINTS: u16 = 257;
    pub(crate) const REQUEST: u16 = 258;
    pub(crate) const HEALTH_CHECK_COMPLETED: u16 = 263;
    pub(crate) const STOP: u16 = 265;
    pub(crate) const DEFINE_LIST: u16 = 266;
    pub(crate) const UNKNOWN: u16 = 999;
}

/// Codes of action records.
mod action {
    pub(crate) const WATCH_ENDPOINTS: u16 = 259;
    pub(crate) const SEND: u16 = 262;
    pub(crate) const START_FAILED: u16 = 264;
}

/// Valid settings, with one key that is unknown.
const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "my_zone": 0, "registry_mode": "subscribe", "an_unknown_key": [1],
 "classes": [{"credit": 1.0, "deadline_ms": 2000.0, "goal_time_ms": 500.0, "idempotency": "free", "late_worth": 0.5,
  "dedup_scope": "all", "repeat_window_ms": 5000.0}],
 "extra": {"class_read": ["any"], "max_age_ms": [0.0], "counted_from_ms": 0.0, "guards": "silent", "tokens": "carried"},
 "limits": {"attempts_cap": 4, "may_cancel": true, "may_probe": true, "parallel_tries": true, "retry_after": true,
  "max_retry_after_ms": 1000.0}, "load_info": {"names": ["x0", "x1"], "via": "pull"},
 "obligations": {"cold_ms": 1000.0, "cold_share": 0.2, "drain_grace_ms": 500.0, "fall_ms": 1000.0, "fall_multiple": 2.0}}"#;

/// The output of the adapter, which exits before it has read everything only where it fails.
fn output_for(input: &[u8]) -> Output {
    let run = run_adapter(input);
    assert!(run.input_written.is_ok() || !run.output.status.success());
    run.output
}

/// The records and the tail of a batch.
struct Frame {
    records: Vec<[u8; EVENT_BYTES]>,
    tail: Vec<u8>,
}

/// A field of a record: its offset and its bytes.
struct Field<'bytes>(usize, &'bytes [u8]);

impl Frame {
    /// A frame without records.
    fn new() -> Frame {
        Frame { records: Vec::new(), tail: Vec::new() }
    }

    /// A frame that starts the router with valid settings.
    fn starting_router() -> Frame {
        Frame::new().start(SETTINGS)
    }

    /// Adds a record with this code and id.
    fn record(mut self, code: u16, id: u16, fields: &[Field]) -> Frame {
        let mut record = [0; EVENT_BYTES];
        record[0..2].copy_from_slice(&code.to_le_bytes());
        record[2..4].copy_from_slice(&id.to_le_bytes());
        for Field(offset, bytes) in fields {
            record[*offset..offset + bytes.len()].copy_from_slice(bytes);
        }
        self.records.push(record);
        self
    }

    /// Starts the router with these settings.
    fn start(mut self, settings: &str) -> Frame {
        let offset = (self.tail.len() as u32).to_le_bytes();
        let length = (settings.len() as u32).to_le_bytes();
        self.tail.extend_from_slice(settings.as_bytes());
        let fields = [Field(4, &7u64.to_le_bytes()), Field(12, &offset), Field(16, &length)];
        self.record(event::START, ROUTER, &fields)
    }

    /// Defines a list with one ready server of group 0, and applies it to the router.
    fn list(mut self, list: u16, server: u32) -> Frame {
        let offset = (self.tail.len() as u32).to_le_bytes();
        let mut endpoint = [0u8; ENDPOINT_BYTES];
        endpoint[0] = 2;
        endpoint[10..14].copy_from_slice(&1f32.to_le_bytes());
        endpoint[21..25].copy_from_slice(&server.to_le_bytes());
        self.tail.extend_from_slice(&endpoint);
        let fields = [Field(4, &offset), Field(8, &1u32.to_le_bytes())];
        self.record(event::DEFINE_LIST, list, &fields).apply_list(list)
    }

    /// Applies a list to the router, in place of the one before.
    fn apply_list(self, list: u16) -> Frame {
        self.record(event::ENDPOINTS, ROUTER, &[Field(4, &[1]), Field(13, &list.to_le_bytes())])
    }

    /// Sends the router a request with a timeout of 1,500 ms.
    fn request(self, id: u64) -> Frame {
        let fields = [Field(4, &id.to_le_bytes()), Field(12, &1500f64.to_le_bytes())];
        self.record(event::REQUEST, ROUTER, &fields)
    }

    /// The bytes of the frame.
    fn encode(&self, batch: u32, clock_ms: f64) -> Vec<u8> {
        let length = self.records.len() * EVENT_BYTES + self.tail.len();
        let mut frame = Vec::new();
        frame.extend_from_slice(&(length as u32).to_le_bytes());
        frame.extend_from_slice(&(self.records.len() as u32).to_le_bytes());
        frame.extend_from_slice(&clock_ms.to_le_bytes());
        frame.extend_from_slice(&batch.to_le_bytes());
        self.records.iter().for_each(|record| frame.extend_from_slice(record));
        frame.extend_from_slice(&self.tail);
        frame
    }
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_a_clean_exit() {
    // When the adapter reads a batch without records
    let output = output_for(&Frame::new().encode(1, 15_424.0));
    // Then it replies with the batch number alone
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn a_request_goes_to_the_listed_server_with_lists_taken_in_event_order() {
    // Given a batch that uses one number for two lists
    let frame = Frame::starting_router().list(0, 77).request(1).list(0, 78).request(2);
    // When the adapter reads it
    let output = output_for(&frame.encode(12, 15_424.0));
    // Then each request goes to the server of the list as it was then
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = parse_replies(&output.stdout);
    assert_eq!(replies[0].batch, 12);
    let watches_endpoints =
        |record: &ActionRecord| record.code() == action::WATCH_ENDPOINTS && record.0[4] == 1;
    assert!(replies[0].actions.iter().any(watches_endpoints), "it watches the endpoint list");
    let is_send = |record: &&ActionRecord| record.code() == action::SEND;
    let sends: Vec<&ActionRecord> = replies[0].actions.iter().filter(is_send).collect();
    assert_eq!(sends[0].0[4..16], [1, 0, 0, 0, 0, 0, 0, 0, 77, 0, 0, 0]);
    assert_eq!(sends[1].0[4..16], [2, 0, 0, 0, 0, 0, 0, 0, 78, 0, 0, 0]);
    assert!(f64::from_le_bytes(sends[0].0[16..24].try_into().unwrap()) <= 1500.0);
}

#[test]
fn a_router_may_stop_and_start_again_in_one_batch() {
    // Given a batch that starts a router, stops it and starts it again
    let frame = Frame::starting_router().list(0, 77).record(event::STOP, ROUTER, &[]).start(SETTINGS);
    // When the adapter reads it
    let output = output_for(&frame.list(1, 78).request(5).encode(2, 0.0));
    // Then the reply has the actions of the second start alone
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = parse_replies(&output.stdout);
    let watches = replies[0].actions.iter().filter(|record| record.code() == action::WATCH_ENDPOINTS);
    assert_eq!(watches.count(), 1, "the actions of the stopped router are dropped");
}

#[test]
fn invalid_settings_are_reported_with_the_key() {
    for (settings, key) in [
        ("{", "info"),
        (&SETTINGS.replace("\"cold_ms\": 1000.0", "\"cold_ms\": \"soon\""), "obligations.cold_ms"),
        (&SETTINGS.replace("\"balancers\": 1,", ""), "balancers"),
        (&SETTINGS.replace("\"free\"", "\"sometimes\""), "classes[0].idempotency"),
    ] {
        // When a router is started with invalid settings
        let output = output_for(&Frame::new().start(settings).encode(1, 0.0));
        // Then the reply says that it failed, and names the key
        assert!(output.status.success());
        assert_eq!(parse_replies(&output.stdout)[0].actions[0].code(), action::START_FAILED);
        assert!(String::from_utf8_lossy(&output.stdout).contains(key), "{key}");
    }
}

#[test]
fn malformed_frames_end_with_one_plain_line_and_no_guessed_reply() {
    // Given frames that are cut off, contradict themselves or refer to what doesn't exist
    let valid = Frame::starting_router().list(0, 77);
    let complete = valid.encode(9, 0.0);
    let mut too_many_records = valid.encode(9, 0.0);
    too_many_records[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    let list_fields = [Field(4, &500u32.to_le_bytes()), Field(8, &1u32.to_le_bytes())];
    let outside_tail = Frame::new().record(event::DEFINE_LIST, 0, &list_fields);
    let undefined_list = Frame::starting_router().apply_list(9);
    let unknown_outcome =
        Frame::starting_router().record(event::HEALTH_CHECK_COMPLETED, ROUTER, &[Field(16, &[99])]);
    for (input, message) in [
        (&complete[..complete.len() - 3], "batch 9"),
        (&complete[..7], "header"),
        (&too_many_records[..], "do not fit"),
        (&outside_tail.encode(9, 0.0)[..], "tail reference"),
        (&undefined_list.encode(9, 0.0)[..], "list 9"),
        (&unknown_outcome.encode(9, 0.0)[..], "completion code 99"),
        (&valid.encode(9, f64::NAN)[..], "clock"),
    ] {
        // When the adapter reads one, then it exits with one line on standard error and without a reply
        let output = output_for(input);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && output.stdout.is_empty(), "{message}");
        assert!(
            stderr.lines().count() == 1 && stderr.contains(message) && !stderr.contains("panicked"),
            "{stderr}"
        );
    }
}

#[test]
fn unknown_event_codes_are_skipped_and_reported_once() {
    // Given a batch with two records of an unknown code
    let frame = Frame::new().record(event::UNKNOWN, ROUTER, &[]).record(event::UNKNOWN, ROUTER, &[]);
    // When the adapter reads it
    let output = output_for(&frame.encode(1, 0.0));
    // Then it reports the code once
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1);
}
