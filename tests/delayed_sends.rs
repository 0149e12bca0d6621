//! Attempts that were sent by a decision of the router but wait for a connection: which of them may still be written once the
//! connection is established.

mod common;
use birchreach::*;
use common::*;

/// The time between the decision and the established connection.
const CONNECT_DELAY: Micros = 200 * MILLISECOND;

/// Whether an attempt may be written now.
fn may_still_send(fixture: &RouterFixture, request: u64, attempt: u16) -> bool {
    fixture.router.may_still_send(fixture.now, RequestId(request), AttemptNumber(attempt))
}

#[test]
fn a_read_is_not_sent_once_the_position_of_its_replica_is_too_old() {
    // Given a bounded read for which a connection to a fresh replica is being opened
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 100 * MILLISECOND);
    let read = fixture.request(BOUNDED);
    assert!(read.servers() == [REPLICA_1] && may_still_send(&fixture, read.id, 0));
    // When the reported position becomes too old in the meantime, then the read may no longer be sent
    fixture.now += 200 * MILLISECOND;
    assert!(may_still_send(&fixture, read.id, 0), "the position is 300 ms old, which the class allows");
    fixture.now += MILLISECOND;
    assert!(!may_still_send(&fixture, read.id, 0));
}

#[test]
fn a_write_is_not_sent_once_its_server_is_draining() {
    // Given a write for which a connection is being opened
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    assert!(write.servers() == [PRIMARY] && may_still_send(&fixture, write.id, 0));
    // When the server begins to drain, then the write may no longer be sent
    let [primary, replica] = ready_endpoints([PRIMARY, REPLICA_1]);
    fixture.set_endpoints(&[Endpoint { state: EndpointState::Draining, ..primary }, replica]);
    assert!(!may_still_send(&fixture, write.id, 0));
}

#[test]
fn a_read_is_not_sent_to_the_primary_once_that_server_reports_that_it_is_a_replica() {
    // Given a read for which a connection to the primary is being opened
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(BOUNDED);
    assert!(read.servers() == [PRIMARY] && may_still_send(&fixture, read.id, 0));
    // When that server reports in another response that it is a replica, then the read may no longer be sent
    let write = fixture.request(WRITE);
    let replica_status = status(Role::Replica, fixture.now - 1_000 * MILLISECOND);
    fixture.complete_attempt_with_status(write.id, 0, PRIMARY, AttemptOutcome::Ineligible, replica_status);
    assert!(!may_still_send(&fixture, read.id, 0));
}

#[test]
fn a_request_is_not_sent_once_it_is_finished() {
    // Given a read for which a connection is being opened
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(ANY);
    // When its client disconnects, then the read may no longer be sent
    fixture.handle(Event::ClientDisconnected { request: RequestId(read.id) });
    assert!(!may_still_send(&fixture, read.id, 0));
}

/// A router whose writes have an idempotency key with a window of 600 ms.
fn fixture_with_key() -> RouterFixture {
    let mut settings = settings();
    settings.classes[WRITE as usize] = class(Consistency::Write, with_idempotency_key());
    RouterFixture::new(settings)
}

/// Sends a write whose first attempt is lost after 200 ms, and returns the id of the write. Its second attempt waits for a
/// connection to the primary from 250 ms on.
fn write_with_waiting_retry(fixture: &mut RouterFixture) -> u64 {
    let write = fixture.request(WRITE);
    fixture.advance(200 * MILLISECOND);
    let mut actions = fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::ConnectionReset);
    actions.extend(fixture.advance(50 * MILLISECOND));
    assert_eq!(servers_sent_to(&actions), [PRIMARY], "the write is retried within the window");
    write.id
}

// A write with an idempotency key ran twice: its retry was decided within the deduplication window and written after it.
#[test]
fn a_retry_is_not_sent_once_the_deduplication_window_has_passed() {
    // Given a retry that waits for a connection
    let mut fixture = fixture_with_key();
    let write = write_with_waiting_retry(&mut fixture);
    // When the connection is established just before the end of the window, then the retry may be sent
    fixture.now += 350 * MILLISECOND - 1;
    assert!(may_still_send(&fixture, write, 1));
    // When the connection is established at the end of the window, then the retry may not be sent
    fixture.now += 1;
    assert!(!may_still_send(&fixture, write, 1));
    // When the attempt is reported as not sent, then the write fails, because it may have run
    let actions = fixture.complete_attempt(write, 1, PRIMARY, AttemptOutcome::NotSent);
    assert!(is_failed(&actions) && !is_rejected(&actions));
}

// The window counts from the first attempt that may have run, also while that attempt is in flight.
#[test]
fn a_hedged_write_is_not_sent_once_the_deduplication_window_has_passed() {
    // Given a write without a response, in a group that has a new primary
    let mut fixture = fixture_with_key();
    let write = fixture.request(WRITE);
    let misrouted_write = fixture.request(WRITE);
    let replica_status = status(Role::Replica, fixture.now);
    let outcome = AttemptOutcome::Ineligible;
    fixture.complete_attempt_with_status(misrouted_write.id, 0, PRIMARY, outcome, replica_status);
    fixture.handle(Event::ClientDisconnected { request: RequestId(misrouted_write.id) });
    fixture.report_position(REPLICA_1, Role::Primary, 0);
    // When the write is hedged, then its second attempt may be sent within the window and not afterwards
    let hedged = fixture.advance(590 * MILLISECOND);
    assert_eq!(servers_sent_to(&hedged), [REPLICA_1], "the write is hedged at the new primary");
    assert!(may_still_send(&fixture, write.id, 1));
    fixture.now += 10 * MILLISECOND;
    assert!(!may_still_send(&fixture, write.id, 1));
}

#[test]
fn a_request_is_not_sent_once_its_server_belongs_to_another_group() {
    // Given a write and a read that wait for connections
    let mut fixture = RouterFixture::new(settings());
    let requests = [fixture.request(WRITE), fixture.request(ANY)];
    for request in requests {
        let server = request.server();
        fixture.now += CONNECT_DELAY;
        assert!(may_still_send(&fixture, request.id, 0));
        // When the endpoint list moves their server to another group, then they may not be sent
        fixture.set_endpoints(&endpoints_with_change(server, |endpoint| endpoint.group = GroupId(1)));
        assert!(!may_still_send(&fixture, request.id, 0));
        fixture.set_endpoints(&ready_endpoints(ALL_SERVERS));
    }
}

/// A read with two attempts in flight, and the router without the permission to cancel attempts.
fn hedged_read() -> (RouterFixture, u64) {
    let mut fixture = RouterFixture::new(Settings { cancellation_allowed: false, ..settings() });
    let read = fixture.request(ANY);
    let hedged = servers_sent_to(&fixture.advance(1_000 * MILLISECOND));
    assert!(!hedged.is_empty(), "the read is hedged");
    (fixture, read.id)
}

#[test]
fn a_hedged_read_is_not_sent_once_the_response_of_another_attempt_has_started() {
    // Given a hedged read whose second attempt waits for a connection
    let (mut fixture, read) = hedged_read();
    assert!(may_still_send(&fixture, read, 1));
    // When the response of the first attempt starts, then the second one may not be sent
    let started = Event::ResponseStarted { request: RequestId(read), attempt: AttemptNumber(0) };
    fixture.handle(started);
    assert!(!may_still_send(&fixture, read, 1));
}

#[test]
fn a_hedged_read_is_not_sent_once_the_settings_forbid_hedging() {
    // Given a hedged read whose second attempt waits for a connection
    let (mut fixture, read) = hedged_read();
    // When new settings forbid two attempts at the same time, then the second attempt may not be sent
    let settings = Settings { hedging_allowed: false, ..settings() };
    fixture.handle(Event::Settings(Box::new(settings)));
    assert!(!may_still_send(&fixture, read, 1));
}

// Attempts that wait for a connection while their server restarts would reach the cold process all at once.
#[test]
fn a_request_is_not_sent_to_a_process_that_started_after_the_decision() {
    // Given a read that waits for a connection
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(ANY);
    let server = read.server();
    fixture.now += CONNECT_DELAY;
    assert!(may_still_send(&fixture, read.id, 0));
    // When the endpoint list shows a new process of its server, then the read may not be sent
    let restarted_at = fixture.now;
    let endpoints = endpoints_with_change(server, |endpoint| endpoint.started_at = Some(restarted_at));
    fixture.set_endpoints(&endpoints);
    assert!(!may_still_send(&fixture, read.id, 0), "the slow-start budget does not contain the read");
    // And requests that are sent by a later decision may be sent
    let later = fixture.request(ANY);
    assert!(may_still_send(&fixture, later.id, 0));
}
