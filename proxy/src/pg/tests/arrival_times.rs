//! The timeout of a command starts when the command's last byte arrives, however long the command waits behind others.

use crate::core::{Answer, RoutingRequest};
use crate::pg::arrival_times::ArrivalTimes;
use crate::pg::frontend::{ClientCommand, Frontend};
use crate::pg::statement::Statement;
use birchreach::{ClassId, Consistency, Idempotency, Micros, RequestClass, SessionPositionSource};

const MICROS_PER_MS: Micros = 1_000;
const PROTOCOL_VERSION: u32 = 196_608;

fn ms(milliseconds: Micros) -> Micros {
    milliseconds * MICROS_PER_MS
}

/// Prefixes a body with the length field. The length includes the field itself.
fn with_length(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// A query for a row with this timeout.
fn read_query(id: &str, timeout_ms: u32) -> Vec<u8> {
    let text =
        format!("SELECT blob FROM rows WHERE handle = 'k' /* id={id},c=look,d={timeout_ms},cluster=0 */\0");
    [b"Q", &with_length(text.as_bytes())[..]].concat()
}

/// A client connection whose startup is complete.
fn started_client() -> Frontend {
    let mut client = Frontend::default();
    let startup = [&PROTOCOL_VERSION.to_be_bytes()[..], b"user\0api\0database\0ledger\0\0"].concat();
    client.feed(0, &with_length(&startup));
    assert_eq!(client.next_command(0), None);
    client
}

/// A statement returned as a command, and its arrival time.
struct NextStatement {
    statement: Statement,
    arrived_at: Micros,
}

/// Decodes the next command, which must be a statement.
fn next_statement(client: &mut Frontend, now: Micros) -> NextStatement {
    match client.next_command(now) {
        Some(ClientCommand::Run(statement, arrived_at)) => NextStatement { statement, arrived_at },
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_command_arrives_with_its_own_last_byte() {
    // Given three queries, the last of which arrives in two parts.
    let mut client = started_client();
    let (first, second, third) = (read_query("1", 900), read_query("2", 900), read_query("3", 900));
    let (head, tail) = third.split_at(20);
    client.feed(ms(100), &[&first[..], &second, head].concat());
    client.feed(ms(350), tail);

    // When each query is decoded after the previous one was answered, then its arrival time is that of its own last byte.
    for (now_ms, expected_ms) in [(360, 100), (700, 100), (900, 350)] {
        let next = next_statement(&mut client, ms(now_ms));

        assert_eq!(next.arrived_at, ms(expected_ms));
        client.answer(&Answer::Rejected { retry_after_ms: None });
    }

    // When another query arrives later, then its arrival time is later.
    client.feed(ms(1_500), &read_query("4", 900));
    assert_eq!(next_statement(&mut client, ms(1_501)).arrived_at, ms(1_500));
}

#[test]
fn time_since_arrival_is_subtracted_from_the_timeout() {
    // Given a statement with a timeout of 900 ms.
    let class = RequestClass {
        consistency: Consistency::Any,
        idempotency: Idempotency::Idempotent,
        latency_objective: ms(500),
        client_timeout: ms(2_000),
        priority_weight: 1.0,
        late_weight_fraction: 0.5,
    };
    let mut client = started_client();
    client.feed(0, &read_query("1", 900));
    let statement = next_statement(&mut client, 0).statement;

    // When the statement is routed some time after its arrival.
    let timeout_after = |elapsed| -> Micros {
        let source = SessionPositionSource::FromRequest;
        let request: RoutingRequest = statement.routing_request(ClassId(0), &class, source, elapsed).unwrap();
        request.timeout
    };

    // Then the remaining timeout is shorter by that time.
    let full_timeout = timeout_after(0);
    assert!((ms(880)..ms(900)).contains(&full_timeout));
    assert_eq!(timeout_after(ms(300)), full_timeout - ms(300));
    assert_eq!(timeout_after(ms(5_000)), 0, "the client has timed out");
}

/// Guards against one recorded time per byte when a message arrives byte by byte.
#[test]
fn recorded_arrival_times_are_bounded_by_resolution_and_unread_input() {
    // Given 100,000 bytes that arrive one by one, 10 microseconds apart.
    let mut arrivals = ArrivalTimes::default();

    for byte in 0..100_000 {
        arrivals.record(1, byte * 10);
    }

    // Then one time is recorded for each 10 ms, and none is kept once all bytes are consumed.
    assert!(arrivals.recorded_times() <= 101, "{}", arrivals.recorded_times());
    assert_eq!(arrivals.consume(50_000), Some(ms(490)));
    assert_eq!(arrivals.consume(50_000), Some(ms(990)));
    assert_eq!(arrivals.recorded_times(), 0);
}
