//! Databases some milliseconds away that send more than an answer: what they sent before the next statement reached them arrives
//! when that statement has already been sent.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::distance::start_distant_relay;
use birchreach_test_support::rig::Rig;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

const CLIENTS: u32 = 4;
const WRITES_BY_CLIENT: u32 = 80;
const DEADLINE_MS: u32 = 3000;
/// The primary's statements with a multiple of this number meet a full queue.
const REJECTED_INTERVAL: u64 = 4;

/// Writes a value of its own to each of several keys, and checks that no answer has another value.
fn write_values(address: SocketAddr, client_number: u32) {
    let mut client = Client::connect(address).unwrap();
    for number in 0..WRITES_BY_CLIENT {
        let value = format!("{client_number:04x}{number:04x}");
        let reply = client.write_key("file-entry", 0, &format!("k{value}"), &value, DEADLINE_MS).unwrap();
        if let Reply::Served(served) = reply {
            assert_eq!(String::from_utf8_lossy(&served), format!("\\x{value}"), "the value of another write");
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Databases that send each answer a second time.
struct SecondCopies {
    one_way: Duration,
    /// The time from an answer to its copy.
    delay: Duration,
    /// Whether the databases send no copies at first.
    begin_later: bool,
}

/// Serves writes by these databases. Checks each answer, and that no write ran twice.
fn check_second_copies(name: &str, loopback_address: [u8; 4], copies: &SecondCopies) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, loopback_address, program, &folder).unwrap();
    rig.discovery.change_databases(|databases| {
        for database in databases {
            database.endpoint = start_distant_relay(database.endpoint, copies.one_way).unwrap();
        }
    });
    let process = rig.start(1, None, None).unwrap();
    let address = process.client_address().unwrap();
    if copies.begin_later {
        write_values(address, CLIENTS);
    }
    rig.groups[0].primary.set_second_copy(Some(copies.delay));
    rig.groups[0].primary.set_rejected_interval(Some(REJECTED_INTERVAL));
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            scope.spawn(move || write_values(address, number));
        }
    });
    assert_eq!(rig.groups[0].rows.duplicate_count(), 0, "writes that ran twice");
    let written = rig.groups[0].rows.write_count();
    assert!(written > 0, "no write ran");
}

/// The copy of a rejection was taken for the answer to the next write, which was then sent again, and the copy of a value was passed
/// to another client.
#[test]
fn a_second_copy_that_arrives_behind_the_next_statement_is_not_its_answer() {
    let one_way = Duration::from_micros(1800);
    let copies = SecondCopies { one_way, delay: Duration::from_micros(1500), begin_later: false };
    check_second_copies("copies", [127, 88, 201, 1], &copies);
}

/// The same with a copy that comes some round trips after its answer.
#[test]
fn a_late_second_copy_that_arrives_behind_the_next_statement_is_not_its_answer() {
    let one_way = Duration::from_micros(1500);
    let copies = SecondCopies { one_way, delay: Duration::from_millis(7), begin_later: false };
    check_second_copies("late_copies", [127, 88, 202, 1], &copies);
}

/// A copy that the database sent right before the next statement reached it came too late to be told by its time alone.
#[test]
fn a_first_second_copy_that_arrives_a_round_trip_behind_the_next_statement_is_not_its_answer() {
    let one_way = Duration::from_millis(2);
    let copies = SecondCopies { one_way, delay: Duration::from_micros(4900), begin_later: true };
    check_second_copies("first_copies", [127, 88, 203, 1], &copies);
}
