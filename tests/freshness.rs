//! Freshness: which replica may answer a read, and how its position becomes known.

mod common;
use birchreach::*;
use common::*;

/// Settings under which servers reject reads for which they lag too far.
fn stale_reads_rejected() -> Settings {
    Settings { stale_reads: StaleReadPolicy::Rejected, ..settings() }
}

/// Settings under which the router may query the position of a server by a health check.
fn with_health_checks() -> Settings {
    Settings { health_checks_allowed: true, ..settings() }
}

#[test]
fn a_bounded_read_needs_a_replica_that_is_proven_fresh_enough() {
    // Given a router to which no position is known, then a bounded read goes to the primary
    let mut fixture = RouterFixture::new(settings());
    assert_eq!(fixture.request(BOUNDED).servers(), [PRIMARY], "nothing is proven yet");
    // When a replica reports a position within the bound of 300 ms, then it gets the reads
    fixture.report_position(REPLICA_1, Role::Replica, 250 * MILLISECOND);
    assert_eq!(fixture.request(BOUNDED).servers(), [REPLICA_1]);
    // When that position reaches the bound, then the replica still gets them; just after it, no more
    fixture.advance(50 * MILLISECOND);
    assert_eq!(fixture.request(BOUNDED).servers(), [REPLICA_1], "just inside the bound");
    fixture.advance(1);
    assert_eq!(fixture.request(BOUNDED).servers(), [PRIMARY], "just outside");
}

#[test]
fn a_session_read_needs_a_replica_that_is_proven_to_have_its_write() {
    // Given a replica that has reported its position
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    let reported = fixture.now;
    // When a session reads after a write, then the replica gets the read only if it has that write
    let mut read_after_write_at = |position: Micros| {
        fixture.request_with(SESSION, |request| request.last_write_position = Some(position)).servers()
    };
    assert_eq!(read_after_write_at(reported), [REPLICA_2]);
    assert_eq!(read_after_write_at(reported + 1), [PRIMARY]);
    // When a session that wrote nothing reads, then a replica gets the read
    let without_write = fixture.request(SESSION).servers();
    assert_ne!(without_write, [PRIMARY], "without a write any replica will do");
}

#[test]
fn observed_writes_bind_the_session_even_if_the_client_has_disconnected() {
    // Given replicas that are fresh, and a write whose client disconnects
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
    // Then reads of its session go to the primary, those of another session to a replica
    let mut read_of_session = |session: u64| {
        fixture.request_with(SESSION, |request| request.session = Some(SessionId(session))).servers()
    };
    assert_eq!(read_of_session(9), [PRIMARY]);
    assert_ne!(read_of_session(8), [PRIMARY]);
}

#[test]
fn a_new_router_checks_a_group_at_its_first_read_only() {
    // Given a router that has just started
    let mut fixture = RouterFixture::without_endpoints(with_health_checks());
    // When it gets the endpoint list, then it checks no server
    let actions = fixture.set_endpoints(&ready_endpoints(ALL_SERVERS));
    assert_eq!(health_check_count(&actions), 0, "hundreds of proxies may start at the same time");
    // When the first read arrives, then it does
    assert!(health_check_count(&fixture.request(BOUNDED).actions) > 0);
}

#[test]
fn where_servers_reject_stale_reads_the_most_advanced_is_tried_before_the_primary() {
    // Given two replicas that lag, the second a little less
    let mut fixture = RouterFixture::new(stale_reads_rejected());
    fixture.report_position(REPLICA_1, Role::Replica, 900 * MILLISECOND);
    fixture.report_position(REPLICA_2, Role::Replica, 800 * MILLISECOND);
    fixture.advance(600 * MILLISECOND);
    // When a bounded read arrives, then the second gets it
    let read = fixture.request(BOUNDED);
    assert_eq!(read.servers(), [REPLICA_2]);
    // When each replica rejects it, then the next is tried, and the primary last
    let behind = status(Role::Replica, fixture.now - 800 * MILLISECOND);
    let mut reject = |attempt, server| {
        let outcome = AttemptOutcome::Ineligible;
        servers_sent_to(&fixture.complete_attempt_with_status(read.id, attempt, server, outcome, behind))
    };
    assert_eq!(reject(0, REPLICA_2), [REPLICA_1]);
    assert_eq!(reject(1, REPLICA_1), [PRIMARY]);
}

/// Sends a bounded read, which replicas reject because they lag and the primary answers. Returns the number
/// of replicas that were tried.
fn replicas_tried_by_read(fixture: &mut RouterFixture) -> u16 {
    let read = fixture.request(BOUNDED);
    let mut server = read.server();
    let mut attempt = 0;
    while server != PRIMARY {
        let behind = status(Role::Replica, fixture.now - 900 * MILLISECOND);
        let outcome = AttemptOutcome::Ineligible;
        let actions = fixture.complete_attempt_with_status(read.id, attempt, server, outcome, behind);
        server = servers_sent_to(&actions)[0];
        attempt += 1;
    }
    fixture.advance(MILLISECOND);
    fixture.complete_attempt(read.id, attempt, PRIMARY, AttemptOutcome::Ok);
    attempt
}

/// While a group lags, each read would otherwise be rejected by every replica first.
#[test]
fn a_replica_that_is_known_to_lag_too_far_is_not_tried_again_at_once() {
    // Given replicas that reject stale reads
    let mut fixture = RouterFixture::new(stale_reads_rejected());
    // When the first read arrives, then it is tried at each replica
    let mut tries = replicas_tried_by_read(&mut fixture);
    assert_eq!(tries, 2, "the first read is tried at each replica");
    // When further reads arrive, then none is tried at a replica
    for _ in 1..20 {
        tries += replicas_tried_by_read(&mut fixture);
    }
    assert_eq!(tries, 2);
}

/// The server of the first health check among these actions.
fn checked_server(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::HealthCheck { server } => Some(server.0),
        _ => None,
    })
}

#[test]
fn a_read_queries_the_position_of_a_replica_before_it_falls_back_on_the_primary() {
    // Given a router that knows no position
    let mut fixture = RouterFixture::new(with_health_checks());
    // When a bounded read arrives, then it waits until a replica tells that it is fresh enough
    let read = fixture.request(BOUNDED);
    assert!(read.servers().is_empty(), "it waits");
    let first = checked_server(&read.actions).expect("a health check");
    let actions = fixture.report_position(first, Role::Replica, 100 * MILLISECOND);
    assert_eq!(servers_sent_to(&actions), [first]);
    fixture.complete_attempt(read.id, 0, first, AttemptOutcome::Ok);
    // When the first replica is behind, then the second is checked
    fixture.advance(1_000 * MILLISECOND);
    let read = fixture.request(BOUNDED);
    let first = checked_server(&read.actions).expect("a health check");
    let actions = fixture.report_position(first, Role::Replica, 400 * MILLISECOND);
    let second = checked_server(&actions).expect("another one where the first is behind");
    assert_ne!(first, second);
    // When the second never responds, then the read waits for a part of its latency objective only
    assert_eq!(servers_sent_to(&fixture.advance(100 * MILLISECOND)), [PRIMARY]);
}

/// Sends writes one after the other, each answered after this time.
fn run_writes(fixture: &mut RouterFixture, count: usize, latency: Micros) {
    for _ in 0..count {
        fixture.serve(WRITE, latency);
    }
}

#[test]
fn a_read_waits_for_no_position_query_while_the_primary_is_lightly_loaded() {
    // Given a primary that answers writes after this time, whether a read then queries a position
    let queries_position = |latency: Micros| {
        let mut fixture = RouterFixture::new(with_health_checks());
        run_writes(&mut fixture, 20, latency);
        health_check_count(&fixture.request(BOUNDED).actions) > 0
    };
    // When that is far within the latency objective of 500 ms, then it does not
    assert_eq!([50 * MILLISECOND, 150 * MILLISECOND].map(queries_position), [false, true]);
}

#[test]
fn a_read_queries_the_position_again_after_one_that_fell_back_was_late() {
    // Given a lightly loaded primary, to which a read falls back
    let mut fixture = RouterFixture::new(with_health_checks());
    run_writes(&mut fixture, 20, MILLISECOND);
    let read = fixture.request(BOUNDED);
    assert_eq!(read.servers(), [PRIMARY]);
    // When that read ends after its latency objective
    fixture.advance(600 * MILLISECOND);
    fixture.complete_attempt(read.id, 0, PRIMARY, AttemptOutcome::Ok);
    // Then the next one queries a position, however fast writes are
    run_writes(&mut fixture, 10, MILLISECOND);
    assert!(health_check_count(&fixture.request(BOUNDED).actions) > 0);
}
