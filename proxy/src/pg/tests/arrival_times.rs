//! A command's time runs from when its last byte came, however long it waited behind others.

use crate::core::{Answer, RoutingRequest};
use crate::pg::arrival_times::ArrivalTimes;
use crate::pg::frontend::{ClientCommand, Frontend};
use crate::pg::statement::Statement;
use birchreach::{ClassId, Consistency, Idempotency, Micros, RequestClass, SessionPositionSource};

const MS: Micros = 1_000;

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag][..], &length, body].concat()
}

fn read(id: &str, wait_ms: u32) -> Vec<u8> {
    let text =
        format!("SELECT blob FROM rows WHERE handle = 'k' /* id={id},c=look,d={wait_ms},cluster=0 */\0");
    message(b'Q', text.as_bytes())
}

/// A client that has said who it is.
fn started() -> Frontend {
    let mut client = Frontend::default();
    let body = [&196_608u32.to_be_bytes()[..], b"user\0api\0database\0ledger\0\0"].concat();
    client.feed(0, &[&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat());
    assert_eq!(client.next_command(0), None);
    client
}

fn run(client: &mut Frontend, now: Micros) -> (Statement, Micros) {
    match client.next_command(now) {
        Some(ClientCommand::Run(statement, arrived)) => (statement, arrived),
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_command_counts_from_its_own_last_byte() {
    let mut client = started();
    let (first, second, third) = (read("1", 900), read("2", 900), read("3", 900));
    let (head, tail) = third.split_at(20);
    client.feed(100 * MS, &[&first[..], &second, head].concat());
    client.feed(350 * MS, tail);
    for (now, came) in [(360, 100), (700, 100), (900, 350)] {
        let (_, arrived) = run(&mut client, now * MS);
        assert_eq!(arrived, came * MS);
        client.answer(&Answer::Rejected { retry_after_ms: None });
    }
    client.feed(1_500 * MS, &read("4", 900));
    assert_eq!(run(&mut client, 1_501 * MS).1, 1_500 * MS);
}

#[test]
fn what_a_command_waited_is_taken_off_its_timeout() {
    let class = RequestClass {
        consistency: Consistency::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective: 500 * MS,
        client_timeout: 2_000 * MS,
        priority_weight: 1.0,
        late_weight_fraction: 0.5,
    };
    let (mut client, id) = (started(), ClassId(0));
    client.feed(0, &read("1", 900));
    let (statement, _) = run(&mut client, 0);
    let timeout = |waited| -> Micros {
        let request: RoutingRequest =
            statement.routing_request(id, &class, SessionPositionSource::FromRequest, waited).unwrap();
        request.timeout
    };
    let whole = timeout(0);
    assert!((880 * MS..900 * MS).contains(&whole));
    assert_eq!(timeout(300 * MS), whole - 300 * MS);
    assert_eq!(timeout(5_000 * MS), 0, "its client has given it up");
}

/// A message that comes byte by byte does not make the proxy keep a time for each.
#[test]
fn times_of_arrival_are_bounded_by_time_and_by_what_waits() {
    let mut arrivals = ArrivalTimes::default();
    for n in 0..100_000 {
        arrivals.record(1, n * 10);
    }
    assert!(arrivals.recorded_times() <= 101, "{}", arrivals.recorded_times());
    assert_eq!(arrivals.consume(50_000), Some(490 * MS));
    assert_eq!(arrivals.consume(50_000), Some(990 * MS));
    assert_eq!(arrivals.recorded_times(), 0);
}
