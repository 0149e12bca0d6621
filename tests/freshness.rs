//! Freshness: which replica may answer a read, and how its position becomes known.

mod common;
use birchreach::*;
use common::*;

#[test]
fn a_bounded_read_needs_a_replica_that_is_proven_fresh_enough() {
    let mut fixture = RouterFixture::new(settings());
    assert_eq!(fixture.request(BOUNDED).servers(), [PRIMARY], "nothing is proven yet");
    fixture.report_position(REPLICA_1, Role::Replica, 250 * MILLISECOND);
    assert_eq!(fixture.request(BOUNDED).servers(), [REPLICA_1]);
    fixture.advance(50 * MILLISECOND);
    assert_eq!(fixture.request(BOUNDED).servers(), [REPLICA_1], "just inside the bound");
    fixture.advance(1);
    assert_eq!(fixture.request(BOUNDED).servers(), [PRIMARY], "just outside");
}

#[test]
fn a_session_read_needs_a_replica_that_is_proven_to_have_its_write() {
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    let reported = fixture.now;
    let mut read_after_write_at = |position: Micros| {
        let ClientRequest { actions, .. } =
            fixture.request_with(SESSION, |request| request.last_write_position = Some(position));
        servers_sent_to(&actions)
    };
    assert_eq!(read_after_write_at(reported), [REPLICA_2]);
    assert_eq!(read_after_write_at(reported + 1), [PRIMARY]);
    let without_write = fixture.request(SESSION).servers();
    assert_ne!(without_write, [PRIMARY], "without a write any replica will do");
}

#[test]
fn observed_writes_bind_the_session_even_if_the_client_has_disconnected() {
    let mut settings = settings();
    settings.session_positions = SessionPositionSource::FromObservedWrites;
    let mut fixture = RouterFixture::new(settings);
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    let ClientRequest { id, .. } =
        fixture.request_with(WRITE, |request| request.session = Some(SessionId(9)));
    fixture.handle(Event::ClientDisconnected { request: RequestId(id) });
    let committed_at = fixture.now + MILLISECOND;
    fixture.advance(5 * MILLISECOND);
    let committed = status(Role::Primary, committed_at);
    fixture.complete_attempt_with_status(id, 0, PRIMARY, AttemptOutcome::Ok, committed);

    let mut read_of_session = |session: u64| {
        let ClientRequest { actions, .. } =
            fixture.request_with(SESSION, |request| request.session = Some(SessionId(session)));
        servers_sent_to(&actions)
    };
    assert_eq!(read_of_session(9), [PRIMARY]);
    assert_ne!(read_of_session(8), [PRIMARY]);
}

#[test]
fn a_new_router_checks_a_group_at_its_first_read_only() {
    let mut settings = settings();
    settings.health_checks_allowed = true;
    let mut fixture = RouterFixture::without_endpoints(settings);
    let actions = fixture.set_endpoints(&ready(ALL_SERVERS));
    assert_eq!(health_check_count(&actions), 0, "hundreds of proxies may start at the same time");
    assert!(health_check_count(&fixture.request(BOUNDED).actions) > 0);
}

#[test]
fn where_servers_reject_stale_reads_the_most_advanced_is_tried_before_the_primary() {
    let mut settings = settings();
    settings.stale_reads = StaleReadPolicy::Rejected;
    let mut fixture = RouterFixture::new(settings);
    fixture.report_position(REPLICA_1, Role::Replica, 900 * MILLISECOND);
    fixture.report_position(REPLICA_2, Role::Replica, 800 * MILLISECOND);
    fixture.advance(600 * MILLISECOND);
    let ClientRequest { id, actions } = fixture.request(BOUNDED);
    assert_eq!(servers_sent_to(&actions), [REPLICA_2]);

    let behind = status(Role::Replica, fixture.now - 800 * MILLISECOND);
    let mut reject = |attempt, server| {
        let outcome = AttemptOutcome::Ineligible;
        servers_sent_to(&fixture.complete_attempt_with_status(id, attempt, server, outcome, behind))
    };
    assert_eq!(reject(0, REPLICA_2), [REPLICA_1]);
    assert_eq!(reject(1, REPLICA_1), [PRIMARY]);
}

/// While a group lags, each read would otherwise be rejected by every replica first.
#[test]
fn a_replica_that_is_known_to_lag_too_far_is_not_tried_again_at_once() {
    let mut settings = settings();
    settings.stale_reads = StaleReadPolicy::Rejected;
    let mut fixture = RouterFixture::new(settings);
    let mut tries = 0;
    for index in 0..20 {
        let ClientRequest { id, actions } = fixture.request(BOUNDED);
        let mut server = servers_sent_to(&actions)[0];
        let mut attempt = 0;
        while server != PRIMARY {
            tries += 1;
            let behind = status(Role::Replica, fixture.now - 900 * MILLISECOND);
            let outcome = AttemptOutcome::Ineligible;
            let actions = fixture.complete_attempt_with_status(id, attempt, server, outcome, behind);
            server = servers_sent_to(&actions)[0];
            attempt += 1;
        }
        fixture.advance(MILLISECOND);
        fixture.complete_attempt(id, attempt, PRIMARY, AttemptOutcome::Ok);
        assert!(index > 0 || tries == 2, "the first read is tried at each replica");
    }
    assert_eq!(tries, 2);
}

#[test]
fn a_read_queries_the_position_of_a_replica_before_it_falls_back_on_the_primary() {
    let mut settings = settings();
    settings.health_checks_allowed = true;
    let mut fixture = RouterFixture::new(settings);
    let checked_server = |actions: &[Action]| {
        let server_of = |action: &Action| match action {
            Action::HealthCheck { server } => Some(server.0),
            _ => None,
        };
        actions.iter().find_map(server_of)
    };
    let ClientRequest { id, actions } = fixture.request(BOUNDED);
    assert!(servers_sent_to(&actions).is_empty(), "it waits");
    let first = checked_server(&actions).expect("a health check");
    let actions = fixture.report_position(first, Role::Replica, 100 * MILLISECOND);
    assert_eq!(servers_sent_to(&actions), [first]);
    fixture.complete_attempt(id, 0, first, AttemptOutcome::Ok);

    fixture.advance(1_000 * MILLISECOND);
    let ClientRequest { actions, .. } = fixture.request(BOUNDED);
    let first = checked_server(&actions).expect("a health check");
    let actions = fixture.report_position(first, Role::Replica, 400 * MILLISECOND);
    let second = checked_server(&actions).expect("another one where the first is behind");
    assert_ne!(first, second);
    // The second never responds: the read waits for a part of its latency objective only.
    assert_eq!(servers_sent_to(&fixture.advance(100 * MILLISECOND)), [PRIMARY]);
}

/// Sends writes one after the other, each answered after this time.
fn run_writes(fixture: &mut RouterFixture, count: usize, latency: Micros) {
    for _ in 0..count {
        let ClientRequest { id, .. } = fixture.request(WRITE);
        fixture.advance(latency);
        fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Ok);
    }
}

#[test]
fn a_read_waits_for_no_position_query_while_the_primary_is_lightly_loaded() {
    let queries_position = |latency: Micros| {
        let mut fixture = RouterFixture::new(Settings { health_checks_allowed: true, ..settings() });
        run_writes(&mut fixture, 20, latency);
        health_check_count(&fixture.request(BOUNDED).actions) > 0
    };
    // The latency objective is 500 ms.
    assert_eq!([50 * MILLISECOND, 150 * MILLISECOND].map(queries_position), [false, true]);
}

#[test]
fn a_read_queries_the_position_again_after_one_that_fell_back_was_late() {
    let mut fixture = RouterFixture::new(Settings { health_checks_allowed: true, ..settings() });
    run_writes(&mut fixture, 20, MILLISECOND);
    let ClientRequest { id, actions } = fixture.request(BOUNDED);
    assert_eq!(servers_sent_to(&actions), [PRIMARY]);
    fixture.advance(600 * MILLISECOND);
    fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Ok);

    run_writes(&mut fixture, 10, MILLISECOND);
    assert!(health_check_count(&fixture.request(BOUNDED).actions) > 0);
}
