//! Guarantees for every request: a single final response, no duplicate execution of a write and no stale
//! read.

mod common;
use birchreach::*;
use common::*;

/// The number of attempts that the router has sent.
fn send_count(fixture: &RouterFixture) -> usize {
    fixture.history.iter().filter(|timed| matches!(timed.action, Action::Send { .. })).count()
}

#[test]
fn a_request_for_a_group_without_members_is_rejected_before_its_deadline() {
    // Given a router that knows no server
    let mut fixture = RouterFixture::without_endpoints(settings());
    // When a request arrives and its timeout passes
    let read = fixture.request(ANY);
    let deadline = fixture.now + 2_000 * MILLISECOND;
    fixture.advance(3_000 * MILLISECOND);
    // Then the request has been rejected once, before its deadline
    assert_eq!(final_response_count(&fixture, read.id), 1);
    let rejection = fixture.history.iter().find(|timed| matches!(timed.action, Action::Reject { .. }));
    assert!(rejection.is_some_and(|timed| timed.at <= deadline));
    assert_eq!(fixture.router.open_request_count(), 0);
}

#[test]
fn neither_an_attempt_nor_a_response_is_sent_after_the_final_response() {
    // Given a write that has its final response
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    fixture.advance(2_000 * MILLISECOND);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Timeout);
    assert_eq!(final_response_count(&fixture, write.id), 1);
    // When time passes and the response of the server arrives late
    fixture.advance(5_000 * MILLISECOND);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Ok);
    // Then there is neither a second final response nor a second attempt
    assert_eq!(final_response_count(&fixture, write.id), 1);
    assert_eq!(send_count(&fixture), 1);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Timeout,
        AttemptOutcome::Cancelled,
    ] {
        // Given a write that is not idempotent
        let mut fixture = RouterFixture::new(settings());
        let write = fixture.request(WRITE);
        // When its attempt ends with an outcome after which the write may have run
        let actions = fixture.complete_attempt(write.id, 0, PRIMARY, outcome);
        // Then the write fails instead of being rejected, and is not retried
        assert!(is_failed(&actions) && !is_rejected(&actions), "{outcome:?}");
        assert!(servers_sent_to(&fixture.advance(3_000 * MILLISECOND)).is_empty());
    }
}

/// Creates a router whose writes have an idempotency key.
fn fixture_with_idempotency_key() -> RouterFixture {
    let mut settings = settings();
    settings.classes[WRITE as usize] = class(Consistency::Write, with_idempotency_key());
    RouterFixture::new(settings)
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_within_the_deduplication_window() {
    // Given a write with an idempotency key
    let mut fixture = fixture_with_idempotency_key();
    let write = fixture.request(WRITE);
    // When its attempt fails within the deduplication window
    fixture.advance(200 * MILLISECOND);
    let mut actions = fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Error);
    actions.extend(fixture.advance(100 * MILLISECOND));
    // Then the write is retried
    assert_eq!(servers_sent_to(&actions), [PRIMARY], "within the window");
}

#[test]
fn a_request_with_an_idempotency_key_is_not_retried_after_the_deduplication_window() {
    // Given a write with an idempotency key
    let mut fixture = fixture_with_idempotency_key();
    let write = fixture.request(WRITE);
    // When its attempt fails at the end of the deduplication window
    fixture.now += 600 * MILLISECOND;
    let mut actions = fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Error);
    actions.extend(fixture.advance(1_000 * MILLISECOND));
    // Then the write fails and is not retried
    assert!(servers_sent_to(&actions).is_empty(), "after the window");
    assert!(is_failed(&actions) && !is_rejected(&actions), "after the window");
}

#[test]
fn without_hedging_a_request_never_has_two_attempts_in_flight() {
    // Given settings without hedging, and a read
    let mut fixture = RouterFixture::new(Settings { hedging_allowed: false, ..settings() });
    let read = fixture.request(ANY);
    let first = read.server();
    // When its server does not respond, then the attempt is cancelled and no other attempt is sent
    let actions = fixture.advance(1_000 * MILLISECOND);
    assert!(servers_sent_to(&actions).is_empty());
    assert!(actions.contains(&Action::Cancel { request: RequestId(read.id), attempt: AttemptNumber(0) }));
    // When the cancellation is complete, then the read is retried at another server
    let retried = servers_sent_to(&fixture.complete_attempt(read.id, 0, first, AttemptOutcome::Cancelled));
    assert_eq!(retried.len(), 1);
    assert_ne!(retried[0], first);
}

#[test]
fn a_newer_status_as_a_replica_takes_precedence_over_an_older_load_report_as_the_primary() {
    // Given a listed primary whose response to a write reports that it is a replica, and that it lags
    let mut fixture = RouterFixture::new(settings());
    let report_position = fixture.now - 10 * MILLISECOND;
    let write = fixture.request(WRITE);
    let replica_status = status(Role::Replica, fixture.now - 900 * MILLISECOND);
    let outcome = AttemptOutcome::Ineligible;
    fixture.complete_attempt_with_status(write.id, 0, PRIMARY, outcome, replica_status);
    // When an older load report says that this server is the primary
    let report = LoadReport { position: Some(report_position), role: Some(Role::Primary) };
    fixture.handle(Event::HealthCheckCompleted {
        server: ServerId(PRIMARY),
        outcome: AttemptOutcome::Ok,
        load_report: Some(report),
    });
    // Then the server gets no read that requires a later position than the reported one
    fixture.advance(400 * MILLISECOND);
    let servers = fixture.request(BOUNDED).servers();
    assert!(!servers.contains(&PRIMARY), "the read would be stale");
}

#[test]
fn events_of_unknown_requests_or_servers_and_invalid_weights_are_ignored() {
    // Given a router that received events of unknown requests and servers, and invalid weights
    let mut fixture = RouterFixture::new(settings());
    fixture.complete_attempt(77, 3, REPLICA_1, AttemptOutcome::Ok);
    fixture.complete_attempt(77, 3, 999, AttemptOutcome::Error);
    fixture.handle(Event::ClientDisconnected { request: RequestId(5_000) });
    fixture.handle(Event::ResponseArriving { request: RequestId(5_000), attempt: AttemptNumber(0) });
    fixture.handle(Event::ResponseStarted { request: RequestId(5_000), attempt: AttemptNumber(0) });
    fixture.handle(Event::Timer { id: 12 });
    fixture.complete_health_check(999, AttemptOutcome::Timeout);
    let mut endpoints = ready_endpoints(ALL_SERVERS);
    endpoints[1].weight = f64::NAN;
    endpoints[2].weight = 0.0;
    fixture.set_endpoints(&endpoints);
    // When requests arrive, then a request of an unknown class is rejected and any other is sent to a server
    assert!(is_rejected(&fixture.request(99).actions), "the class is unknown");
    assert_eq!(fixture.request(ANY).servers().len(), 1);
    // When the timeout of a request is negative, then the request gets one final response
    let late = fixture.request_with(ANY, |request| request.timeout = -5);
    fixture.advance(MILLISECOND);
    assert_eq!(final_response_count(&fixture, late.id), 1);
}

/// Sends 200 requests of all classes to a new router. The attempt of every fifth request fails. Returns all
/// actions of the router.
fn history_of_200_requests() -> Vec<TimedAction> {
    let mut fixture = RouterFixture::new(settings());
    for index in 0..200 {
        let request = fixture.request(index % 4);
        if let Some(server) = request.servers().first() {
            fixture.advance(7 * MILLISECOND);
            let outcome = if index % 5 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Ok };
            fixture.complete_attempt(request.id, 0, *server, outcome);
        }
    }
    fixture.history
}

#[test]
fn the_same_events_and_seed_produce_the_same_actions() {
    // When two routers with the same seed receive the same events, then their actions are equal
    assert_eq!(history_of_200_requests(), history_of_200_requests());
}

#[test]
fn a_strong_read_is_tried_at_other_members_only_if_servers_reject_stale_reads() {
    for (stale_reads, is_tried) in [(StaleReadPolicy::Served, false), (StaleReadPolicy::Rejected, true)] {
        // Given a strong read that was sent to the primary
        let mut settings = settings();
        settings.stale_reads = stale_reads;
        settings.classes[ANY as usize] = class(Consistency::Strong, Idempotency::Idempotent);
        let mut fixture = RouterFixture::new(settings);
        let read = fixture.request(ANY);
        assert_eq!(read.servers(), [PRIMARY]);
        // When that server reports that it is a replica
        let replica_status = status(Role::Replica, fixture.now);
        let outcome = AttemptOutcome::Ineligible;
        let mut actions = fixture.complete_attempt_with_status(read.id, 0, PRIMARY, outcome, replica_status);
        actions.extend(fixture.advance(500 * MILLISECOND));
        // Then the read is retried only if servers reject stale reads. Other replicas would return stale data
        assert_eq!(!servers_sent_to(&actions).is_empty(), is_tried, "{stale_reads:?}");
    }
}

#[test]
fn a_request_that_reached_no_server_is_rejected_when_half_of_its_timeout_has_passed() {
    for servers in [&[PRIMARY][..], &[]] {
        // Given a write whose connection fails, or a write in a group without servers
        let mut fixture = RouterFixture::without_endpoints(settings());
        let endpoints = servers.iter().map(|id| endpoint(*id, EndpointState::Ready));
        fixture.set_endpoints(&endpoints.collect::<Vec<_>>());
        let write = fixture.request(WRITE);
        for _ in write.servers() {
            fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::ClosedBeforeExecution);
            fixture.set_endpoints(&[]);
        }
        // When half of its timeout has passed, but not 100 ms earlier, then the write is rejected
        assert!(!is_rejected(&fixture.advance(900 * MILLISECOND)));
        assert!(is_rejected(&fixture.advance(100 * MILLISECOND)));
    }
}

#[test]
fn a_request_that_a_server_rejected_stays_queued_after_half_of_its_timeout() {
    // Given a write that its server rejected, and no other server
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Overloaded);
    fixture.set_endpoints(&[]);
    // When more than half of its timeout has passed, then the write is still queued
    assert!(!is_rejected(&fixture.advance(1_200 * MILLISECOND)));
}
