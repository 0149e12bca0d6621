//! Runs the built adapter over a pipe with frames that the tests construct.

mod common;

use common::{ActionRecord, parse_replies, run_adapter};
use std::process::Output;

/// Length of an event record in bytes.
const EVENT_BYTES: usize = 56;
/// Length of an endpoint in the tail, in bytes.
const ENDPOINT_BYTES: usize = 25;
/// Number of the router that the tests start.
const ROUTER: u16 = 3;

/// Codes of event records.
mod event {
    pub(crate) const START: u16 = 256;
    pub(crate) const ENDPOINTS: u16 = 257;
    pub(crate) const REQUEST: u16 = 258;
    pub(crate) const HEALTH_CHECK_COMPLETED: u16 = 263;
    pub(crate) const STOP: u16 = 265;
    pub(crate) const DEFINE_ENDPOINT_LIST: u16 = 266;
    pub(crate) const UNKNOWN: u16 = 999;
}

/// Codes of action records.
mod action {
    pub(crate) const WATCH_ENDPOINTS: u16 = 259;
    pub(crate) const SEND: u16 = 262;
    pub(crate) const START_FAILED: u16 = 264;
}

/// Valid settings with one unknown key.
const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "my_zone": 0, "registry_mode": "subscribe", "an_unknown_key": [1],
 "classes": [{"credit": 1.0, "deadline_ms": 2000.0, "goal_time_ms": 500.0, "idempotency": "free", "late_worth": 0.5,
  "dedup_scope": "all", "repeat_window_ms": 5000.0}],
 "extra": {"class_read": ["any"], "max_age_ms": [0.0], "counted_from_ms": 0.0, "guards": "silent", "tokens": "carried"},
 "limits": {"attempts_cap": 4, "may_cancel": true, "may_probe": true, "parallel_tries": true, "retry_after": true,
  "max_retry_after_ms": 1000.0}, "load_info": {"names": ["x0", "x1"], "via": "pull"},
 "obligations": {"cold_ms": 1000.0, "cold_share": 0.2, "drain_grace_ms": 500.0, "fall_ms": 1000.0, "fall_multiple": 2.0}}"#;

/// Returns the output of the adapter. Only a run that fails may exit before it has read all of its input.
fn run_to_exit(input: &[u8]) -> Output {
    let run = run_adapter(input);
    assert!(run.input_written.is_ok() || !run.output.status.success());
    run.output
}

/// Builds a batch from records and a tail.
struct BatchBuilder {
    records: Vec<[u8; EVENT_BYTES]>,
    tail: Vec<u8>,
}

/// The offset and the bytes of a field of a record.
struct Field<'bytes>(usize, &'bytes [u8]);

impl BatchBuilder {
    fn new() -> BatchBuilder {
        BatchBuilder { records: Vec::new(), tail: Vec::new() }
    }

    /// Creates a batch that starts the router with valid settings.
    fn starting_router() -> BatchBuilder {
        BatchBuilder::new().start(SETTINGS)
    }

    /// Adds a record. `id` is the number of a router or of an endpoint list, depending on the code.
    fn record(mut self, code: u16, id: u16, fields: &[Field]) -> BatchBuilder {
        let mut record = [0; EVENT_BYTES];
        record[0..2].copy_from_slice(&code.to_le_bytes());
        record[2..4].copy_from_slice(&id.to_le_bytes());
        for Field(offset, bytes) in fields {
            record[*offset..offset + bytes.len()].copy_from_slice(bytes);
        }
        self.records.push(record);
        self
    }

    /// Adds a record that starts the router with these settings.
    fn start(mut self, settings: &str) -> BatchBuilder {
        let offset = (self.tail.len() as u32).to_le_bytes();
        let length = (settings.len() as u32).to_le_bytes();
        self.tail.extend_from_slice(settings.as_bytes());
        let fields = [Field(4, &7u64.to_le_bytes()), Field(12, &offset), Field(16, &length)];
        self.record(event::START, ROUTER, &fields)
    }

    /// Adds records that define an endpoint list with one ready server of group 0 and apply it to the router.
    fn define_and_apply_list(mut self, list: u16, server: u32) -> BatchBuilder {
        let offset = (self.tail.len() as u32).to_le_bytes();
        let mut endpoint = [0u8; ENDPOINT_BYTES];
        endpoint[0] = 2;
        endpoint[10..14].copy_from_slice(&1f32.to_le_bytes());
        endpoint[21..25].copy_from_slice(&server.to_le_bytes());
        self.tail.extend_from_slice(&endpoint);
        let fields = [Field(4, &offset), Field(8, &1u32.to_le_bytes())];
        self.record(event::DEFINE_ENDPOINT_LIST, list, &fields).apply_list(list)
    }

    /// Adds a record that replaces the router's endpoint list with this one.
    fn apply_list(self, list: u16) -> BatchBuilder {
        self.record(event::ENDPOINTS, ROUTER, &[Field(4, &[1]), Field(13, &list.to_le_bytes())])
    }

    /// Adds a request with a timeout of 1,500 ms.
    fn request(self, id: u64) -> BatchBuilder {
        let fields = [Field(4, &id.to_le_bytes()), Field(12, &1500f64.to_le_bytes())];
        self.record(event::REQUEST, ROUTER, &fields)
    }

    /// Returns the bytes of the batch.
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
fn the_adapter_replies_to_an_empty_batch_and_exits_with_success_when_the_input_ends() {
    // When the adapter reads a batch without records
    let output = run_to_exit(&BatchBuilder::new().encode(1, 15_424.0));
    // Then the reply has no records, and the adapter exits with success
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
}

#[test]
fn a_request_goes_to_the_server_of_the_list_that_was_defined_last_before_it() {
    // Given a batch that defines two endpoint lists with the same number, one after the other
    let batch = BatchBuilder::starting_router()
        .define_and_apply_list(0, 77)
        .request(1)
        .define_and_apply_list(0, 78)
        .request(2);
    // When the adapter reads the batch
    let output = run_to_exit(&batch.encode(12, 15_424.0));
    // Then each request goes to the server of the list that was defined last before it
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = parse_replies(&output.stdout);
    assert_eq!(replies[0].batch, 12);
    let watches_endpoints =
        |record: &ActionRecord| record.code() == action::WATCH_ENDPOINTS && record.0[4] == 1;
    assert!(replies[0].actions.iter().any(watches_endpoints), "the router does not watch the endpoint list");
    let is_send = |record: &&ActionRecord| record.code() == action::SEND;
    let sends: Vec<&ActionRecord> = replies[0].actions.iter().filter(is_send).collect();
    assert_eq!(sends[0].0[4..16], [1, 0, 0, 0, 0, 0, 0, 0, 77, 0, 0, 0]);
    assert_eq!(sends[1].0[4..16], [2, 0, 0, 0, 0, 0, 0, 0, 78, 0, 0, 0]);
    assert!(f64::from_le_bytes(sends[0].0[16..24].try_into().unwrap()) <= 1500.0);
}

#[test]
fn a_router_can_stop_and_start_again_in_one_batch() {
    // Given a batch that starts a router, stops it and starts it again
    let batch = BatchBuilder::starting_router()
        .define_and_apply_list(0, 77)
        .record(event::STOP, ROUTER, &[])
        .start(SETTINGS);
    // When the adapter reads the batch
    let output = run_to_exit(&batch.define_and_apply_list(1, 78).request(5).encode(2, 0.0));
    // Then the reply has only the actions of the second start
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = parse_replies(&output.stdout);
    let watches = replies[0].actions.iter().filter(|record| record.code() == action::WATCH_ENDPOINTS);
    assert_eq!(watches.count(), 1, "the actions of the stopped router are in the reply");
}

#[test]
fn invalid_settings_are_reported_with_their_key() {
    for (settings, key) in [
        ("{", "info"),
        (&SETTINGS.replace("\"cold_ms\": 1000.0", "\"cold_ms\": \"soon\""), "obligations.cold_ms"),
        (&SETTINGS.replace("\"balancers\": 1,", ""), "balancers"),
        (&SETTINGS.replace("\"free\"", "\"sometimes\""), "classes[0].idempotency"),
    ] {
        // When a router is started with invalid settings
        let output = run_to_exit(&BatchBuilder::new().start(settings).encode(1, 0.0));
        // Then the reply reports the failed start and names the key
        assert!(output.status.success());
        assert_eq!(parse_replies(&output.stdout)[0].actions[0].code(), action::START_FAILED);
        assert!(String::from_utf8_lossy(&output.stdout).contains(key), "{key}");
    }
}

#[test]
fn a_malformed_frame_ends_the_adapter_with_one_message_and_without_a_reply() {
    // Given frames that are truncated, have invalid headers or refer to undefined lists, outcomes or bytes
    let valid = BatchBuilder::starting_router().define_and_apply_list(0, 77);
    let complete = valid.encode(9, 0.0);
    let mut too_many_records = valid.encode(9, 0.0);
    too_many_records[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    let list_fields = [Field(4, &500u32.to_le_bytes()), Field(8, &1u32.to_le_bytes())];
    let outside_tail = BatchBuilder::new().record(event::DEFINE_ENDPOINT_LIST, 0, &list_fields);
    let undefined_list = BatchBuilder::starting_router().apply_list(9);
    let unknown_outcome =
        BatchBuilder::starting_router().record(event::HEALTH_CHECK_COMPLETED, ROUTER, &[Field(16, &[99])]);
    for (input, message) in [
        (&complete[..complete.len() - 3], "batch 9: input ended after"),
        (&complete[..7], "input ended after 7 of the 20 bytes of a batch header"),
        (&too_many_records[..], "batch 9: 4294967295 records do not fit"),
        (
            &outside_tail.encode(9, 0.0)[..],
            "batch 9, record 0: 25 bytes at offset 500 are not within the tail of 0 bytes",
        ),
        (&undefined_list.encode(9, 0.0)[..], "batch 9, record 1: endpoint list 9 is not defined"),
        (&unknown_outcome.encode(9, 0.0)[..], "batch 9, record 1: unknown outcome code 99"),
        (&valid.encode(9, f64::NAN)[..], "batch 9: the clock is not a finite number"),
    ] {
        // When the adapter reads one of them, then it fails with one line on standard error and without a reply
        let output = run_to_exit(input);
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
    // Given a batch with two records of the same unknown code
    let batch = BatchBuilder::new().record(event::UNKNOWN, ROUTER, &[]).record(event::UNKNOWN, ROUTER, &[]);
    // When the adapter reads the batch
    let output = run_to_exit(&batch.encode(1, 0.0));
    // Then one message names the code
    assert!(output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(stderr.lines().count(), 1);
    assert!(stderr.contains("unknown event code 999"), "{stderr}");
}
