//! Databases that write a long answer slowly, or read a long request slowly, also while the process is told to stop.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::crowd::Pace;
use birchreach_test_support::process::Process;
use birchreach_test_support::rig::Rig;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Half of the digits of a value that is too long to be buffered.
const VALUE_BYTES: usize = 64_000;
/// The bytes of an answer in front of its value: the description and the header of the row.
const ANSWER_HEAD_BYTES: usize = 41;
/// SIGKILL may come as early as this after SIGTERM.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
/// By the platform's rules an answer that comes later than this after its time is lost.
const LATE: Duration = Duration::from_millis(550);
/// How long the primary is not available before and after its restart.
const RESTART_TIME: Duration = Duration::from_millis(300);
const DEADLINE_MS: u32 = 3000;

struct SlowDatabases {
    rig: Rig,
    process: Process,
    client: Client,
}

/// Starts databases, a proxy, and a client that has written a long value.
fn start(name: &str, loopback_address: [u8; 4]) -> SlowDatabases {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, loopback_address, program, &folder).unwrap();
    let process = rig.start(1, None, None).unwrap();
    let mut client = Client::connect(process.client_address().unwrap()).unwrap();
    let written = client.write_key("file-entry", 0, "long", &"ab".repeat(VALUE_BYTES), DEADLINE_MS).unwrap();
    assert!(matches!(written, Reply::Served(_)), "{written:?}");
    SlowDatabases { rig, process, client }
}

impl SlowDatabases {
    fn set_answer_pace(&self, bytes: usize, interval_ms: u64) {
        let pace = Some(Pace { bytes, interval: Duration::from_millis(interval_ms) });
        self.rig.groups[0].primary.set_answer_pace(pace);
        self.rig.groups[0].replica.set_answer_pace(pace);
    }

    /// Reads the long value and checks that all of it arrives.
    fn check_whole_answer(&mut self) {
        let reply = self.client.read_key("tariff-lookup", 0, "long", 2500, None).unwrap();
        let Reply::Served(value) = reply else { panic!("{reply:?}") };
        assert_eq!(value.len(), 2 * VALUE_BYTES + 2, "digits of the value");
    }
}

#[test]
fn an_answer_that_a_database_writes_slowly_arrives_whole() {
    let mut slow = start("slow_answer", [127, 88, 215, 1]);
    slow.set_answer_pace(8_000, 250);
    slow.check_whole_answer();
}

/// Guards against a value that is cut off because its deadline passes between its last byte and the end of the answer.
#[test]
fn an_answer_whose_end_comes_after_the_deadline_arrives_whole() {
    let mut slow = start("late_end", [127, 88, 208, 1]);
    slow.set_answer_pace(ANSWER_HEAD_BYTES + 2 * VALUE_BYTES + 2, 3000);
    slow.check_whole_answer();
}

#[test]
fn an_answer_that_a_database_writes_slowly_arrives_whole_while_the_process_stops() {
    let mut slow = start("slow_answer_stopping", [127, 88, 216, 1]);
    slow.set_answer_pace(8_000, 150);
    thread::scope(|scope| {
        let process = &slow.process;
        scope.spawn(move || {
            thread::sleep(Duration::from_millis(400));
            process.signal("TERM");
            thread::sleep(KILL_AFTER_TERM);
            process.signal("KILL");
        });
        let reply = slow.client.read_key("tariff-lookup", 0, "long", 2500, None).unwrap();
        assert!(matches!(&reply, Reply::Served(value) if value.len() == 2 * VALUE_BYTES + 2), "{reply:?}");
    });
}

/// Writes a long value to a database that reads it slowly, and checks that the answer comes in its time.
fn check_slowly_read_request(name: &str, loopback_address: [u8; 4], told_to_stop: bool) {
    let mut slow = start(name, loopback_address);
    // The primary's connections are new and have small buffers, so that the statement is written in part only.
    let primary = &slow.rig.groups[0].primary;
    primary.set_statement_pace(Some(Pace { bytes: 4_000, interval: Duration::from_millis(500) }));
    primary.set_available(false);
    thread::sleep(RESTART_TIME);
    primary.set_available(true);
    thread::sleep(RESTART_TIME);
    thread::scope(|scope| {
        let process = &slow.process;
        scope.spawn(move || {
            thread::sleep(Duration::from_millis(400));
            if told_to_stop {
                process.signal("TERM");
            }
        });
        let sent_at = Instant::now();
        let reply = slow.client.write_key("file-entry", 0, "other", &"ab".repeat(VALUE_BYTES), DEADLINE_MS);
        let took = sent_at.elapsed();
        assert!(matches!(reply, Ok(Reply::Error(_))), "{reply:?}");
        let allowed = Duration::from_millis(u64::from(DEADLINE_MS)) + LATE;
        assert!(took < allowed, "the final answer took {took:?}");
    });
}

#[test]
fn a_request_that_a_database_reads_slowly_gets_its_final_answer_in_time() {
    check_slowly_read_request("slowly_read", [127, 88, 217, 1], false);
}

#[test]
fn a_request_that_a_database_reads_slowly_gets_its_final_answer_in_time_while_the_process_stops() {
    check_slowly_read_request("slowly_read_stopping", [127, 88, 218, 1], true);
}
