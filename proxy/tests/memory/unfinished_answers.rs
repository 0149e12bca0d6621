//! Databases that stop in the middle of an answer while memory is short. A value of up to 64 KiB is forwarded as a whole, or its client
//! gets an error in its place: an error cannot follow the first byte of a value.

use super::rig::{LONG_VALUE_BYTES, LimitedProxy, long_insert};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::crowd::{Crowd, CrowdBehavior, Pace};
use std::thread;
use std::time::Duration;

const DESCRIPTORS: u32 = 1024;
/// Clients whose requests take all memory that is shared.
const WRITERS: usize = 480;
const WRITE_PACE: Pace = Pace { bytes: 8_000, interval: Duration::from_millis(120) };
const DEADLINE_MS: u32 = 2500;
/// How long databases stop: longer than the deadline.
const PAUSE: Duration = Duration::from_secs(4);
/// The length of the long value, which its database returns in hexadecimal digits with a prefix.
const LONG_VALUE_DIGITS: usize = 2 * LONG_VALUE_BYTES + 2;
/// The bytes of an answer in front of its value: the description and the header of the row.
const ANSWER_HEAD_BYTES: usize = 41;
const SOUND_READS: usize = 40;

struct ShortOfMemory {
    proxy: LimitedProxy,
    _crowd: Crowd,
}

/// Starts a proxy whose memory is short because many clients write long requests slowly.
fn start(name: &str, loopback_address: [u8; 4]) -> ShortOfMemory {
    let proxy = LimitedProxy::start(name, loopback_address, DESCRIPTORS);
    proxy.write_long_value(LONG_VALUE_BYTES);
    let crowd = Crowd::start(
        proxy.address,
        CrowdBehavior {
            clients: WRITERS,
            statement: long_insert,
            pipelined_requests: 1,
            withheld_bytes: 0,
            write_pace: Some(WRITE_PACE),
            read_pace: None,
        },
    );
    proxy.process.wait_for_log_line(&["event=memory-pressure", "begins=true"]).unwrap();
    ShortOfMemory { proxy, _crowd: crowd }
}

impl ShortOfMemory {
    /// Makes the databases pause after each piece of this many bytes of an answer.
    fn set_pause_after(&self, bytes: usize) {
        let group = &self.proxy.rig.groups[0];
        for database in [&group.primary, &group.replica] {
            database.set_answer_pace(Some(Pace { bytes, interval: PAUSE }));
        }
    }

    /// Reads the long value with several clients at once, and checks that each gets an error on a connection that stays open.
    fn check_errors(&self) {
        let address = self.proxy.address;
        thread::scope(|scope| {
            for _ in 0..6 {
                scope.spawn(move || {
                    let mut client = Client::connect(address).unwrap();
                    let reply = client.read_key("tariff-lookup", 0, "long", DEADLINE_MS, None);
                    assert!(matches!(reply, Ok(Reply::Error(_))), "{:?}", reply.map(|reply| shorten(&reply)));
                    let next = client.read("tariff-lookup", 1, DEADLINE_MS);
                    assert!(matches!(next, Ok(Reply::Served(_))), "{next:?}");
                });
            }
        });
    }
}

/// Returns a description of a reply without its value.
fn shorten(reply: &Reply) -> String {
    match reply {
        Reply::Served(value) => format!("served with {} bytes", value.len()),
        Reply::Error(code) => format!("error {code}"),
    }
}

/// Guards against values of up to 64 KiB that are forwarded in part while memory is short, and then have no deadline.
#[test]
fn a_value_whose_database_stops_in_it_ends_with_an_error_while_memory_is_short() {
    let short = start("stops_in_value", [127, 88, 205, 1]);
    short.set_pause_after(LONG_VALUE_DIGITS / 3);
    short.check_errors();
}

/// Guards against a value that is forwarded before the end of its answer has come, and then cut off at the deadline.
#[test]
fn a_value_whose_answer_does_not_end_ends_with_an_error_while_memory_is_short() {
    let short = start("stops_before_end", [127, 88, 206, 1]);
    short.set_pause_after(ANSWER_HEAD_BYTES + LONG_VALUE_DIGITS);
    short.check_errors();
}

#[test]
fn long_values_of_sound_databases_are_served_while_memory_is_short() {
    let short = start("sound_values", [127, 88, 207, 1]);
    let mut client = Client::connect(short.proxy.address).unwrap();
    for _ in 0..SOUND_READS {
        let reply = client.read_key("tariff-lookup", 0, "long", DEADLINE_MS, None).unwrap();
        let Reply::Served(value) = &reply else { panic!("{}", shorten(&reply)) };
        assert_eq!(value.len(), LONG_VALUE_DIGITS);
    }
}
