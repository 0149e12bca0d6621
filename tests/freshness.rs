//! Freshness: the replicas that may serve a read, and the sources of their log positions.

mod common;
use birchreach::*;
use common::*;

/// Settings under which servers reject reads that require a later position than theirs.
fn with_stale_reads_rejected() -> Settings {
    Settings { stale_reads: StaleReadPolicy::Rejected, ..settings() }
}

/// Settings under which the router may query the position of a server with a health check.
fn with_health_checks() -> Settings {
    Settings { health_checks_allowed: true, ..settings() }
}

#[test]
fn a_bounded_read_needs_a_replica_that_is_proven_fresh_enough() {
    // Given a router to which no position is known, then a bounded read goes to the primary
    let mut fixture = RouterFixture::new(settings());
    assert_eq!(fixture.request(BOUNDED).servers(), [PRIMARY], "no position is known");
    // When a replica reports a position within the bound of 300 ms, then it gets a bounded read
    fixture.report_position(REPLICA_1, Role::Replica, 250 * MILLISECOND);
    assert_eq!(fixture.request(BOUNDED).servers(), [REPLICA_1]);
    // When that position is exactly 300 ms old, then the replica still gets a bounded read
    fixture.advance(50 * MILLISECOND);
    assert_eq!(fixture.request(BOUNDED).servers(), [REPLICA_1], "the position is just within the bound");
    // When that position is older, then the primary gets the read
    fixture.advance(1);
    assert_eq!(fixture.request(BOUNDED).servers(), [PRIMARY], "the position is just outside the bound");
}

#[test]
fn a_session_read_needs_a_replica_that_is_proven_to_have_the_last_write_of_its_session() {
    // Given a replica that has reported its position
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    let reported = fixture.now;
    // When a session reads after a write, then the replica gets the read only if it has applied that write
    let mut read_after_write_at = |position: Micros| {
        fixture.request_with(SESSION, |request| request.last_write_position = Some(position)).servers()
    };
    assert_eq!(read_after_write_at(reported), [REPLICA_2]);
    assert_eq!(read_after_write_at(reported + 1), [PRIMARY]);
    // When a session without a write reads, then a replica gets the read
    let without_write = fixture.request(SESSION).servers();
    assert_ne!(without_write, [PRIMARY], "any replica may serve a session without a write");
}

#[test]
fn session_reads_have_to_see_an_observed_write_even_if_its_client_has_disconnected() {
    // Given fresh replicas, and a write whose client disconnects
    let session_positions = SessionPositionSource::FromObservedWrites;
    let mut fixture = RouterFixture::new(Settings { session_positions, ..settings() });
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    let write = fixture.request_with(WRITE, |request| request.session = Some(SessionId(9)));
    fixture.handle(Event::ClientDisconnected { request: RequestId(write.id) });
    // When the write commits
    let committed_at = fixture.now + MILLISECOND;
    fixture.advance(5 * MILLISECOND);
    let committed = status(Role::Primary, committed_at);
    fixture.complete_attempt_with_status(write.id, 0, PRIMARY, AttemptOutcome::Ok, committed);
    // Then reads of the same session go to the primary, and reads of another session go to a replica
    let mut read_of_session = |session: u64| {
        fixture.request_with(SESSION, |request| request.session = Some(SessionId(session))).servers()
    };
    assert_eq!(read_of_session(9), [PRIMARY]);
    assert_ne!(read_of_session(8), [PRIMARY]);
}

#[test]
fn a_new_router_checks_no_server_of_a_group_before_the_first_read_of_the_group() {
    // Given a router that has just started
    let mut fixture = RouterFixture::without_endpoints(with_health_checks());
    // When the endpoint list arrives, then the router checks no server
    let actions = fixture.set_endpoints(&ready_endpoints(ALL_SERVERS));
    assert_eq!(health_check_count(&actions), 0, "hundreds of proxies may start at the same time");
    // When the first read arrives, then the router checks a server
    assert!(health_check_count(&fixture.request(BOUNDED).actions) > 0);
}

#[test]
fn if_servers_reject_stale_reads_the_most_advanced_replica_is_tried_first_and_the_primary_last() {
    // Given two lagging replicas, of which the second lags slightly less
    let mut fixture = RouterFixture::new(with_stale_reads_rejected());
    fixture.report_position(REPLICA_1, Role::Replica, 900 * MILLISECOND);
    fixture.report_position(REPLICA_2, Role::Replica, 800 * MILLISECOND);
    fixture.advance(600 * MILLISECOND);
    // When a bounded read arrives, then the second replica gets it
    let read = fixture.request(BOUNDED);
    assert_eq!(read.servers(), [REPLICA_2]);
    // When both replicas reject the read, then the first replica is tried second and the primary last
    let lagging_status = status(Role::Replica, fixture.now - 800 * MILLISECOND);
    let mut reject = |attempt, server| {
        let outcome = AttemptOutcome::Ineligible;
        let actions = fixture.complete_attempt_with_status(read.id, attempt, server, outcome, lagging_status);
        servers_sent_to(&actions)
    };
    assert_eq!(reject(0, REPLICA_2), [REPLICA_1]);
    assert_eq!(reject(1, REPLICA_1), [PRIMARY]);
}

/// Sends a bounded read. Replicas reject the read because they lag, and the primary serves it. Returns the
/// number of replicas that were tried.
fn replicas_tried_for_read(fixture: &mut RouterFixture) -> u16 {
    let read = fixture.request(BOUNDED);
    let mut server = read.server();
    let mut attempt = 0;
    while server != PRIMARY {
        let lagging_status = status(Role::Replica, fixture.now - 900 * MILLISECOND);
        let outcome = AttemptOutcome::Ineligible;
        let actions = fixture.complete_attempt_with_status(read.id, attempt, server, outcome, lagging_status);
        server = servers_sent_to(&actions)[0];
        attempt += 1;
    }
    fixture.advance(MILLISECOND);
    fixture.complete_attempt(read.id, attempt, PRIMARY, AttemptOutcome::Ok);
    attempt
}

/// Guards against reads that every replica rejects, one after the other, while all replicas lag.
#[test]
fn a_replica_that_is_known_to_lag_too_far_is_not_tried_by_the_next_reads() {
    // Given replicas that reject stale reads
    let mut fixture = RouterFixture::new(with_stale_reads_rejected());
    // When the first read arrives, then the read is tried at each replica
    let mut tries = replicas_tried_for_read(&mut fixture);
    assert_eq!(tries, 2, "the first read is tried at each replica");
    // When further reads arrive, then none of them is tried at a replica
    for _ in 1..20 {
        tries += replicas_tried_for_read(&mut fixture);
    }
    assert_eq!(tries, 2);
}

/// The server of the first health check that these actions request; `None` if they request no health check.
fn checked_server(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::HealthCheck { server } => Some(server.0),
        _ => None,
    })
}

#[test]
fn a_read_queries_the_positions_of_replicas_before_it_falls_back_to_the_primary() {
    // Given a router to which no position is known
    let mut fixture = RouterFixture::new(with_health_checks());
    // When a bounded read arrives, then it waits until a replica reports that it is fresh enough
    let read = fixture.request(BOUNDED);
    assert!(read.servers().is_empty(), "the read waits");
    let first = checked_server(&read.actions).expect("a health check");
    let actions = fixture.report_position(first, Role::Replica, 100 * MILLISECOND);
    assert_eq!(servers_sent_to(&actions), [first]);
    fixture.complete_attempt(read.id, 0, first, AttemptOutcome::Ok);
    // When the first replica lags too far, then the second is queried
    fixture.advance(1_000 * MILLISECOND);
    let read = fixture.request(BOUNDED);
    let first = checked_server(&read.actions).expect("a health check");
    let actions = fixture.report_position(first, Role::Replica, 400 * MILLISECOND);
    let second = checked_server(&actions).expect("a second query after the first replica lags");
    assert_ne!(first, second);
    // When the second replica does not respond, then the read waits only for part of its latency objective
    assert_eq!(servers_sent_to(&fixture.advance(100 * MILLISECOND)), [PRIMARY]);
}

/// Serves `count` writes one after the other, each answered after `latency`.
fn serve_writes(fixture: &mut RouterFixture, count: usize, latency: Micros) {
    for _ in 0..count {
        fixture.serve(WRITE, latency);
    }
}

#[test]
fn a_read_sends_no_position_query_while_the_primary_is_lightly_loaded() {
    // Given a primary that answers writes after `latency`
    let queries_position = |latency: Micros| {
        let mut fixture = RouterFixture::new(with_health_checks());
        serve_writes(&mut fixture, 20, latency);
        health_check_count(&fixture.request(BOUNDED).actions) > 0
    };
    // When the latency is 50 ms, far below the objective of 500 ms, then a read queries no position. When it
    // is 150 ms, then a read queries a position
    assert_eq!([50 * MILLISECOND, 150 * MILLISECOND].map(queries_position), [false, true]);
}

#[test]
fn reads_query_positions_again_after_a_fallback_read_missed_its_latency_objective() {
    // Given a lightly loaded primary, and a read that falls back to it
    let mut fixture = RouterFixture::new(with_health_checks());
    serve_writes(&mut fixture, 20, MILLISECOND);
    let read = fixture.request(BOUNDED);
    assert_eq!(read.servers(), [PRIMARY]);
    // When that read misses its latency objective
    fixture.advance(600 * MILLISECOND);
    fixture.complete_attempt(read.id, 0, PRIMARY, AttemptOutcome::Ok);
    // Then the next read queries a position, even though the primary answers writes fast
    serve_writes(&mut fixture, 10, MILLISECOND);
    assert!(health_check_count(&fixture.request(BOUNDED).actions) > 0);
}
