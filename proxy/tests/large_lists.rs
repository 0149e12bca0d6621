//! Endpoint lists of 3,200 servers: an invalid list is rejected and logged once, and the previous list stays in use.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::discovery::ListedDatabase;
use birchreach_test_support::process::Process;
use birchreach_test_support::rig::Rig;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The number of servers in the largest fleet.
const SERVERS: usize = 3_200;
/// The largest response body that the proxy accepts.
const MAX_BODY_BYTES: usize = 4 << 20;
/// The maximum number of entries in a list that the proxy accepts.
const MAX_ENTRIES: usize = 16_384;
/// With this many short entries, the body of a list is slightly smaller than [`MAX_BODY_BYTES`].
const SHORT_ENTRIES: usize = 130_000;
/// The limit of the process's peak memory: its memory without a list, a few copies of the largest body, and the servers of the
/// largest fleet.
const MAX_PEAK_MEMORY_KIB: u64 = 64 << 10;
/// The number of times that each invalid list is sent.
const REPETITIONS: usize = 3;
/// The maximum length of a log line.
const MAX_LINE_BYTES: usize = 1_000;
/// The proxy polls again within 3 s after a failed poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(6);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A process that serves from the rig's endpoint list, and a client that is connected to it.
struct ServingProcess {
    rig: Rig,
    process: Process,
    client: Client,
}

impl ServingProcess {
    fn start(name: &str, loopback_address: [u8; 4]) -> ServingProcess {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
        let rig = Rig::new(1, loopback_address, program, &folder).unwrap();
        let process = rig.start(1, None, None).unwrap();
        assert!(process.wait_for_log_line(&["event=endpoint-list", "all=true", "lines=2"]).is_some());
        let client = Client::connect(process.client_address().unwrap()).unwrap();
        ServingProcess { rig, process, client }
    }

    /// Counts the log lines that contain all of the words.
    fn line_count(&self, words: &[&str]) -> usize {
        self.process.log().iter().filter(|line| words.iter().all(|word| line.contains(word))).count()
    }

    /// Waits until the log has at least `count` lines that contain all of the words.
    fn wait_for_line_count(&self, words: &[&str], count: usize) {
        let start = Instant::now();
        while self.line_count(words) < count {
            assert!(start.elapsed() < MAX_POLL_WAIT, "no line with {words:?}");
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Checks that a write and a read are served by the servers of the rig's list.
    fn check_requests_are_served(&mut self) {
        let written = self.client.write("file-entry", 0, 3000).unwrap();
        assert!(matches!(written, Reply::Served(_)), "{written:?}");
        let read = self.client.read("tariff-lookup", 0, 2500).unwrap();
        assert!(matches!(read, Reply::Served(_)), "{read:?}");
    }

    /// Sends an invalid list, and checks that the log has exactly one new line with the error and that no list is applied.
    fn send_invalid_list(&mut self, body: &str, words: &[&str]) {
        let complete_lists_before = self.line_count(&["event=endpoint-list", "all=true"]);
        let lists_before = self.line_count(&["event=endpoint-list"]);
        let closed_connections_before = self.line_count(&["conn=discovery"]);
        let lines_before = self.line_count(words);
        self.rig.discovery.send_body_once(body.to_string());
        self.wait_for_line_count(words, lines_before + 1);
        self.check_requests_are_served();

        // The next poll succeeds and reports that the current list is up to date.
        self.wait_for_line_count(&["event=endpoint-list"], lists_before + 1);
        assert_eq!(self.line_count(words), lines_before + 1, "number of log lines about the invalid list");
        assert_eq!(
            self.line_count(&["conn=discovery"]),
            closed_connections_before + 1,
            "number of log lines about the connection"
        );
        let complete_lists = self.line_count(&["event=endpoint-list", "all=true"]);
        assert_eq!(complete_lists, complete_lists_before, "the invalid list was applied");
    }
}

/// Returns an entry for a database that is not on the rig's list. Nothing listens at its address.
fn entry(number: usize) -> String {
    format!(
        r#"{{"uid":"other-{number}","endpoint":"127.88.224.2:9","az":"a","pod_group":{},"state":"up","access":"reader","boot_ms":0}}"#,
        number + 1
    )
}

/// Returns an entry that has only the required keys.
fn short_entry(number: usize) -> String {
    format!(r#"{{"uid":"{number:x}","state":"up"}}"#)
}

fn all_entries() -> Vec<String> {
    (0..SERVERS).map(entry).collect()
}

/// Returns the body of a complete list. Each entry is on a line of its own, and the first is on line 2.
fn list_of(entries: &[String]) -> String {
    format!("{{\"rev\":99,\"all\":true,\"targets\":[\n{}\n]}}", entries.join(",\n"))
}

/// Returns the body of a complete list whose last entry is replaced.
fn list_with_last(last: String) -> String {
    let mut entries = all_entries();
    *entries.last_mut().unwrap() = last;
    list_of(&entries)
}

#[test]
fn an_invalid_list_is_logged_once_and_the_previous_list_stays_in_use() {
    // Given a process that has an endpoint list
    let mut proxy = ServingProcess::start("large_lists_invalid", [127, 88, 224, 1]);
    proxy.check_requests_are_served();

    // When it receives lists that are malformed at the last entry, truncated, or above a limit
    let valid_entry = entry(SERVERS - 1);
    let complete = list_of(&all_entries());
    let too_many = list_of(&(0..SHORT_ENTRIES).map(short_entry).collect::<Vec<_>>());
    // The first entry is on line 2. The parser stops after the comma that follows the first entry above the limit.
    let line_after = 1 + (MAX_ENTRIES + 1) + 1;
    let too_many_position = format!("more than {MAX_ENTRIES} entries at line {line_after} column ");
    let last_line = format!("line {} column ", 1 + SERVERS);
    let position = last_line.as_str();
    let cases = [
        (
            list_with_last(valid_entry.replace("\"up\"", "\"asleep\"")),
            vec!["unknown variant `asleep`", position],
        ),
        (list_with_last(valid_entry.replace("\"az\":", "\"az\"")), vec!["expected `:`", position]),
        (
            list_with_last(valid_entry.replace("up", &"x".repeat(1 << 20))),
            vec!["unknown variant `xxx", position],
        ),
        (complete.trim_end_matches("}\n]}").to_string(), vec!["EOF while parsing", position]),
        (too_many, vec![too_many_position.as_str()]),
        (complete.clone() + &" ".repeat(MAX_BODY_BYTES), vec!["reason=\"response too long\""]),
    ];
    // Then each list is logged once with the position of its error, and requests are served from the previous list
    for (body, words) in cases.iter().cycle().take(cases.len() * REPETITIONS) {
        proxy.send_invalid_list(body, words);
    }

    // And all log lines are short, and peak memory stays below the limit
    assert!(proxy.process.log().iter().all(|line| line.len() < MAX_LINE_BYTES));
    let peak_kib = proxy.process.peak_memory_kib().unwrap();
    println!("peak memory {peak_kib} KiB");
    assert!(peak_kib < MAX_PEAK_MEMORY_KIB, "{peak_kib} KiB");
}

#[test]
fn a_list_with_each_server_twice_is_applied_with_one_warning() {
    // Given a process that has an endpoint list
    let mut proxy = ServingProcess::start("large_lists_doubled", [127, 88, 225, 1]);

    // When it receives a list of changes that has two entries for each of 3,200 other servers
    let entries = all_entries();
    let doubled = list_of(&[&entries[..], &entries[..]].concat());
    proxy
        .rig
        .discovery
        .send_body_once(doubled.replace("\"rev\":99,\"all\":true", "\"rev\":99,\"all\":false"));

    // Then one log line names the first duplicate entry, and requests are served
    let count = format!("count={SERVERS} uid=other-0 entry={SERVERS} first-entry=0");
    proxy.wait_for_line_count(&["event=endpoint-list-duplicates rev=99", &count], 1);
    proxy.check_requests_are_served();
    assert_eq!(proxy.line_count(&["event=endpoint-list-duplicates"]), 1);
}

#[test]
fn a_valid_list_of_the_largest_fleet_is_applied_after_an_invalid_one() {
    // Given a process that has rejected an invalid list
    let mut proxy = ServingProcess::start("large_lists_valid", [127, 88, 226, 1]);
    let truncated = list_of(&all_entries()).trim_end_matches('}').to_string();
    proxy.send_invalid_list(&truncated, &["EOF while parsing"]);

    // When it receives a valid list of 3,200 servers without the replica of the current list
    let replica = proxy.rig.groups[0].replica.address();
    proxy.rig.discovery.change_databases(|databases| {
        databases.retain(|database| database.endpoint != replica);
        databases.extend((1..SERVERS).map(|number| ListedDatabase {
            uid: format!("other-{number}"),
            endpoint: "127.88.224.2:9".parse().unwrap(),
            group: number as u32,
            state: "up",
            primary: true,
            started_at_ms: 0,
        }));
    });

    // Then the list is applied, and requests are served
    let lines = format!("lines={SERVERS}");
    proxy.wait_for_line_count(&["event=endpoint-list", "all=true", &lines], 1);
    proxy.check_requests_are_served();
    let peak_kib = proxy.process.peak_memory_kib().unwrap();
    println!("peak memory {peak_kib} KiB");
    assert!(peak_kib < MAX_PEAK_MEMORY_KIB, "{peak_kib} KiB");
}
