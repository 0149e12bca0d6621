//! A command's time runs from when its last byte came, however long it waited behind others.

use crate::core::{Answer, RoutingRequest};
use crate::pg::arrival_times::ArrivalTimes;
use crate::pg::frontend::{ClientCommand, Frontend};
use crate::pg::statement::Statement;
use birchreach::{ClassId, Consistency, Idempotency, Micros, RequestClass, SessionPositionSource};

const MICROS_PER_MS: Micros = 1_000;
const PROTOCOL_VERSION: u32 = 196_608;

/// Some time in milliseconds.
fn ms(milliseconds: Micros) -> Micros {
    milliseconds * MICROS_PER_MS
}

/// A body behind its length, which counts itself.
fn with_length(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// A query for a row, whose client waits so long.
fn read_query(id: &str, timeout_ms: u32) -> Vec<u8> {
    let text =
        format!("SELECT blob FROM rows WHERE handle = 'k' /* id={id},c=look,d={timeout_ms},cluster=0 */\0");
    [b"Q", &with_length(text.as_bytes())[..]].concat()
}

/// A client that has sent its startup message.
fn started_client() -> Frontend {
    let mut client = Frontend::default();
    let startup = [&PROTOCOL_VERSION.to_be_bytes()[..], b"user\0api\0database\0ledger\0\0"].concat();
    client.feed(0, &with_length(&startup));
    assert_eq!(client.next_command(0), None);
    client
}

/// A statement that the client wants to be run.
struct NextStatement {
    statement: Statement,
    arrived_at: Micros,
}

/// The client's next command, which has to be a statement.
fn next_statement(client: &mut Frontend, now: Micros) -> NextStatement {
    match client.next_command(now) {
        Some(ClientCommand::Run(statement, arrived_at)) => NextStatement { statement, arrived_at },
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_command_arrives_with_its_own_last_byte() {
    // Given three queries, of which the last one arrives in two parts.
    let mut client = started_client();
    let (first, second, third) = (read_query("1", 900), read_query("2", 900), read_query("3", 900));
    let (head, tail) = third.split_at(20);
    client.feed(ms(100), &[&first[..], &second, head].concat());
    client.feed(ms(350), tail);

    // When each is taken after the answer to the one before, then its time is that of its own last byte.
    for (now_ms, expected_ms) in [(360, 100), (700, 100), (900, 350)] {
        let next = next_statement(&mut client, ms(now_ms));

        assert_eq!(next.arrived_at, ms(expected_ms));
        client.answer(&Answer::Rejected { retry_after_ms: None });
    }

    // When a query comes later, then its time is later.
    client.feed(ms(1_500), &read_query("4", 900));
    assert_eq!(next_statement(&mut client, ms(1_501)).arrived_at, ms(1_500));
}

#[test]
fn time_since_arrival_is_subtracted_from_the_timeout() {
    // Given a statement whose client waits for 900 ms.
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

    // When it is routed after some waiting.
    let timeout_after = |elapsed| -> Micros {
        let source = SessionPositionSource::FromRequest;
        let request: RoutingRequest = statement.routing_request(ClassId(0), &class, source, elapsed).unwrap();
        request.timeout
    };

    // Then its timeout is shorter by that.
    let full_timeout = timeout_after(0);
    assert!((ms(880)..ms(900)).contains(&full_timeout));
    assert_eq!(timeout_after(ms(300)), full_timeout - ms(300));
    assert_eq!(timeout_after(ms(5_000)), 0, "its client has given it up");
}

/// A message that comes byte by byte does not make the proxy keep a time for each.
#[test]
fn recorded_arrival_times_are_bounded_by_resolution_and_unread_input() {
    // Given 100,000 bytes, one each 10 microseconds.
    let mut arrivals = ArrivalTimes::default();

    for byte in 0..100_000 {
        arrivals.record(1, byte * 10);
    }

    // Then there is a time for each 10 ms, and none is left when all bytes are taken.
    assert!(arrivals.recorded_times() <= 101, "{}", arrivals.recorded_times());
    assert_eq!(arrivals.consume(50_000), Some(ms(490)));
    assert_eq!(arrivals.consume(50_000), Some(ms(990)));
    assert_eq!(arrivals.recorded_times(), 0);
}
