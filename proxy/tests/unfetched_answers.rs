//! Connections that are closed while the system still holds a part of an answer, and the client sends more. A close over unread input
//! resets a connection, and what the client has not fetched is lost.

use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::crowd::Pace;
use birchreach_test_support::process::Process;
use birchreach_test_support::rig::Rig;
use std::path::Path;
use std::thread;
use std::time::Duration;

const VALUE_BYTES: usize = 1_500_000;
const DEADLINE_MS: u32 = 2500;
/// The client takes about 2 s to read the value.
const READ_PACE: Pace = Pace { bytes: 48 << 10, interval: Duration::from_millis(65) };
/// The databases answer when a process that was told to stop reads no more input.
const READ_DELAY: Duration = Duration::from_millis(1100);
const BEFORE_SIGTERM: Duration = Duration::from_millis(150);
/// When the client sends more, counted from SIGTERM.
const BEFORE_MORE_INPUT: Duration = Duration::from_millis(700);

/// Starts databases with a long value, a proxy and a client that reads slowly.
fn start(name: &str, loopback_address: [u8; 4]) -> (Rig, Process, Client) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
    let rig = Rig::new(1, loopback_address, program, &folder).unwrap();
    rig.groups[0].rows.set_value("long", "x".repeat(VALUE_BYTES));
    for database in [&rig.groups[0].primary, &rig.groups[0].replica] {
        database.set_delay("tariff-lookup", READ_DELAY);
    }
    let process = rig.start(1, None, None).unwrap();
    let mut client = Client::connect(process.client_address().unwrap()).unwrap();
    client.set_read_pace(Some(READ_PACE));
    (rig, process, client)
}

fn read_of_long_value(id: u32) -> String {
    format!(
        "SELECT blob FROM rows WHERE handle = 'long' /* id={id:016x},c=tariff-lookup,d={DEADLINE_MS},cluster=0 */"
    )
}

fn assert_whole(reply: std::io::Result<Reply>) {
    match reply {
        Ok(Reply::Served(value)) => assert_eq!(value.len(), VALUE_BYTES),
        other => panic!("the answer is not whole: {other:?}"),
    }
}

/// After SIGTERM a connection was closed over a command that the client had sent behind its request; the reset cut the answer.
#[test]
fn an_answer_that_the_client_still_fetches_arrives_whole_when_the_process_stops() {
    let (_rig, process, mut client) = start("unfetched_stopping", [127, 88, 203, 1]);
    client.send_statement(&read_of_long_value(1)).unwrap();
    thread::sleep(BEFORE_SIGTERM);
    process.signal("TERM");
    thread::sleep(BEFORE_MORE_INPUT);
    client.send_statement(&read_of_long_value(2)).unwrap();
    assert_whole(client.read_reply());
    // The second command was not read: the connection is reset, so that the client can send it elsewhere.
    assert!(client.read_reply().is_err());
}

/// The input behind an error was drained for 0.5 s; what came later reset the connection, and with it the answer before the error.
#[test]
fn an_answer_before_an_error_arrives_whole_although_more_input_follows() {
    let (_rig, _process, mut client) = start("unfetched_error", [127, 88, 204, 1]);
    client.send_statement(&read_of_long_value(1)).unwrap();
    client.send_bytes(b"not a message of the protocol").unwrap();
    thread::scope(|scope| {
        let sender = client.try_clone().unwrap();
        scope.spawn(move || {
            let mut sender = sender;
            for _ in 0..20 {
                thread::sleep(BEFORE_SIGTERM);
                let _ = sender.send_bytes(b"more");
            }
        });
        assert_whole(client.read_reply());
        assert!(matches!(client.read_reply(), Ok(Reply::Error(_))));
    });
}
