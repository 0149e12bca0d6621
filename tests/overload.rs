//! Overload and failures: the queue at the concurrency limits, and servers that reject or fail their requests.

mod common;
use birchreach::*;
use common::*;

/// A read in flight at a server.
struct InFlightRead {
    id: u64,
    server: u32,
}

/// Sends reads until all replicas are at their concurrency limits. Returns those in flight; the last read is queued.
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

/// In order of arrival, requests would be started that can no longer be answered in time.
#[test]
fn at_all_limits_a_read_is_queued_and_the_newest_goes_first() {
    // Given replicas at their limits and a queued read
    let mut fixture = RouterFixture::new(settings());
    let in_flight = fill_to_limits(&mut fixture);
    // When another read arrives, then it is queued too
    let newest = fixture.request(ANY);
    assert!(newest.servers().is_empty() && !is_rejected(&newest.actions));
    // When a read in flight is answered, then the newest is sent
    let InFlightRead { id, server } = in_flight[0];
    let actions = fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
    let is_newest =
        |action: &Action| matches!(action, Action::Send { request, .. } if request.0 == newest.id);
    assert!(actions.iter().any(is_newest));
}

#[test]
fn a_queued_read_is_rejected_while_a_retry_may_help_instead_of_started_too_late() {
    // Given a queued read whose late answer is worth nothing
    let mut settings = settings();
    settings.classes[ANY as usize].late_weight_fraction = 0.0;
    let mut fixture = RouterFixture::new(settings);
    fill_to_limits(&mut fixture);
    let queued = fixture.request(ANY);
    let requested_at = fixture.now;
    // When more time passes than its latency objective
    fixture.advance(1_000 * MILLISECOND);
    // Then it has been rejected before that
    let is_rejection =
        |action: &Action| matches!(action, Action::Reject { request, .. } if request.0 == queued.id);
    let rejection = fixture.history.iter().find(|timed| is_rejection(&timed.action));
    let rejected_at = rejection.unwrap().at;
    assert!(
        rejected_at < requested_at + 500 * MILLISECOND,
        "before the latency objective, not at it: {}",
        rejected_at - requested_at
    );
}

/// An overloaded server has nothing in flight and looks idle: it would attract every read.
#[test]
fn an_overloaded_server_gets_no_reads_for_a_while() {
    // Given a read in flight at one of two replicas
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(ANY);
    let overloaded = read.server();
    let other = if overloaded == REPLICA_1 { REPLICA_2 } else { REPLICA_1 };
    // When that replica rejects it because it is overloaded
    fixture.advance(5 * MILLISECOND);
    let actions = fixture.complete_attempt(read.id, 0, overloaded, AttemptOutcome::Overloaded);
    // Then the other gets it, and the next read too
    assert_eq!(servers_sent_to(&actions), [other]);
    assert_eq!(fixture.request(ANY).servers(), [other]);
}

/// Sends a read, which the first replica fails at once and any other server answers. Returns the number of attempts
/// that failed.
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
fn a_server_that_fails_its_requests_at_once_stops_attracting_reads() {
    // Given a replica that fails every request
    let mut fixture = RouterFixture::new(settings());
    // When reads arrive, then only a few are sent to it
    let failures: u16 = (0..40).map(|_| failed_attempts_of_read(&mut fixture)).sum();
    assert!(failures <= 5, "{failures}");
}
