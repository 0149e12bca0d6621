//! Overload and failures: the queue when all servers are at their concurrency limits, and servers that reject
//! or fail requests.

mod common;
use birchreach::*;
use common::*;

/// A read in flight at a server.
struct InFlightRead {
    id: u64,
    server: u32,
}

/// Sends reads until all replicas are at their concurrency limits. Returns the reads in flight. The last
/// read, which is not returned, is queued.
fn fill_to_limits(fixture: &mut RouterFixture) -> Vec<InFlightRead> {
    let mut in_flight = Vec::new();
    loop {
        let read = fixture.request(ANY);
        match read.servers().first() {
            Some(server) => in_flight.push(InFlightRead { id: read.id, server: *server }),
            None => return in_flight,
        }
    }
}

/// Guards against a queue in order of arrival, which sends requests that can no longer be answered in time.
#[test]
fn reads_are_queued_while_all_replicas_are_at_their_limits_and_the_newest_is_sent_first() {
    // Given replicas at their concurrency limits and a queued read
    let mut fixture = RouterFixture::new(settings());
    let in_flight = fill_to_limits(&mut fixture);
    // When another read arrives, then it is also queued
    let newest = fixture.request(ANY);
    assert!(newest.servers().is_empty() && !is_rejected(&newest.actions));
    // When a read in flight is answered, then the newest read is sent
    let InFlightRead { id, server } = in_flight[0];
    let actions = fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
    let is_newest =
        |action: &Action| matches!(action, Action::Send { request, .. } if request.0 == newest.id);
    assert!(actions.iter().any(is_newest));
}

#[test]
fn a_queued_read_is_rejected_before_its_latency_objective_has_passed() {
    // Given a queued read for which a late response is worthless
    let mut settings = settings();
    settings.classes[ANY as usize].late_weight_fraction = 0.0;
    let mut fixture = RouterFixture::new(settings);
    fill_to_limits(&mut fixture);
    let queued = fixture.request(ANY);
    let requested_at = fixture.now;
    // When twice its latency objective has passed
    fixture.advance(1_000 * MILLISECOND);
    // Then the read was rejected before its latency objective, while a retry by the client could still help
    let is_rejection =
        |action: &Action| matches!(action, Action::Reject { request, .. } if request.0 == queued.id);
    let rejection = fixture.history.iter().find(|timed| is_rejection(&timed.action));
    let rejected_at = rejection.unwrap().at;
    assert!(
        rejected_at < requested_at + 500 * MILLISECOND,
        "rejected {} us after arrival, at or after the latency objective",
        rejected_at - requested_at
    );
}

/// Guards against an overloaded server that attracts every read because it has no attempts in flight and
/// looks idle.
#[test]
fn a_server_that_rejected_a_read_as_overloaded_does_not_get_the_next_read() {
    // Given a read in flight at one of two replicas
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(ANY);
    let overloaded = read.server();
    let other = if overloaded == REPLICA_1 { REPLICA_2 } else { REPLICA_1 };
    // When that replica rejects the read because it is overloaded
    fixture.advance(5 * MILLISECOND);
    let actions = fixture.complete_attempt(read.id, 0, overloaded, AttemptOutcome::Overloaded);
    // Then the other replica gets the retry and also the next read
    assert_eq!(servers_sent_to(&actions), [other]);
    assert_eq!(fixture.request(ANY).servers(), [other]);
}

/// Sends a read. The first replica fails each attempt immediately; any other server completes the read.
/// Returns the number of attempts that failed.
fn failed_attempts_of_read(fixture: &mut RouterFixture) -> u16 {
    let read = fixture.request(ANY);
    let mut server = read.server();
    let mut attempt = 0;
    fixture.advance(5 * MILLISECOND);
    while server == REPLICA_1 {
        let actions = fixture.complete_attempt(read.id, attempt, REPLICA_1, AttemptOutcome::Error);
        attempt += 1;
        server = servers_sent_to(&actions)[0];
    }
    fixture.advance(5 * MILLISECOND);
    fixture.complete_attempt(read.id, attempt, server, AttemptOutcome::Ok);
    attempt
}

#[test]
fn a_server_that_fails_requests_immediately_gets_few_reads() {
    // Given a replica that fails every request
    let mut fixture = RouterFixture::new(settings());
    // When reads arrive, then that replica gets only a few of them
    let failures: u16 = (0..40).map(|_| failed_attempts_of_read(&mut fixture)).sum();
    assert!(failures <= 5, "{failures} attempts failed");
}
