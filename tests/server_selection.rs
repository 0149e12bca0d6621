//! Server selection among servers that all work: by role, outstanding attempts, weight, zone and lag.

mod common;
use birchreach::*;
use common::*;

#[test]
fn writes_go_to_the_primary_and_other_reads_to_replicas() {
    let mut fixture = RouterFixture::new(settings());
    for _ in 0..4 {
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY]);
    }
    let mut servers: Vec<u32> = (0..4).flat_map(|_| fixture.request(ANY).servers()).collect();
    servers.sort_unstable();
    assert_eq!(servers, [REPLICA_1, REPLICA_1, REPLICA_2, REPLICA_2], "equal counts are kept equal");
}

#[test]
fn outstanding_attempts_are_counted_per_unit_of_weight() {
    let mut fixture = RouterFixture::without_endpoints(settings());
    let mut endpoints = ready(ALL_SERVERS);
    endpoints[1].weight = 3.0;
    fixture.set_endpoints(&endpoints);

    let servers: Vec<u32> = (0..4).flat_map(|_| fixture.request(ANY).servers()).collect();
    assert_eq!(servers.iter().filter(|server| **server == REPLICA_1).count(), 3);
}

#[test]
fn the_own_zone_is_preferred_among_equally_busy_servers() {
    let mut fixture = RouterFixture::without_endpoints(settings());
    let mut endpoints = ready(ALL_SERVERS);
    endpoints[1].zone = ZoneId(1);
    fixture.set_endpoints(&endpoints);

    assert_eq!(fixture.request(ANY).servers(), [REPLICA_2]);
    assert_eq!(fixture.request(ANY).servers(), [REPLICA_1]);
}

#[test]
fn ties_between_idle_servers_are_broken_at_random_by_weight() {
    let mut fixture = RouterFixture::without_endpoints(settings());
    let mut endpoints = ready(ALL_SERVERS);
    endpoints[1].weight = 3.0;
    fixture.set_endpoints(&endpoints);

    let mut heavy = 0;
    for _ in 0..400 {
        let ClientRequest { id, actions } = fixture.request(ANY);
        let server = servers_sent_to(&actions)[0];
        heavy += usize::from(servers_sent_to(&actions) == [REPLICA_1]);
        fixture.complete_attempt(id, 0, server, AttemptOutcome::Ok);
    }
    assert!((260..340).contains(&heavy), "{heavy} of 400 to three quarters of the weight");
}

#[test]
fn reads_of_any_age_leave_the_fresh_replica_to_bounded_reads() {
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 400 * MILLISECOND);

    let servers = [ANY, ANY, ANY].map(|class| fixture.request(class).servers()[0]);
    assert_eq!(
        servers,
        [REPLICA_2, REPLICA_2, REPLICA_1],
        "one more at the replica that is useless to bounded reads, then the fewest outstanding"
    );
}

#[test]
fn a_replica_whose_position_is_not_reported_gets_no_more_of_such_reads_than_others() {
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 0);

    let mut to_unreported = 0;
    for _ in 0..40 {
        fixture.advance(50 * MILLISECOND);
        fixture.report_position(REPLICA_1, Role::Replica, 0);
        let ClientRequest { id, actions } = fixture.request(ANY);
        to_unreported += usize::from(servers_sent_to(&actions) == [REPLICA_2]);
        fixture.complete_attempt(id, 0, servers_sent_to(&actions)[0], AttemptOutcome::Ok);
    }
    assert!(
        (8..32).contains(&to_unreported),
        "a missing report does not show that it lags: {to_unreported} of 40"
    );
}

#[test]
fn a_write_is_tried_once_at_each_member_and_then_queued() {
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, .. } = fixture.request(WRITE);
    let now = fixture.now;
    let mut tried = vec![PRIMARY];
    for attempt in 0..3 {
        fixture.advance(5 * MILLISECOND);
        let server = tried[attempt as usize];
        let replica_status = status(Role::Replica, now);
        let actions = fixture.complete_attempt_with_status(
            id,
            attempt,
            server,
            AttemptOutcome::Ineligible,
            replica_status,
        );
        tried.extend(servers_sent_to(&actions));
        if tried.len() < attempt as usize + 2 {
            tried.extend(servers_sent_to(&fixture.advance(100 * MILLISECOND)));
        }
        if attempt == 2 {
            assert!(!is_rejected(&actions) && !is_failed(&actions), "queued, not finished");
        }
    }
    tried.truncate(3);
    tried.sort_unstable();
    assert_eq!(tried, ALL_SERVERS);
}

#[test]
fn a_queued_write_goes_to_the_new_primary_at_once() {
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id: write, .. } = fixture.request(WRITE);
    fixture.complete_attempt(write, 0, PRIMARY, AttemptOutcome::ConnectFailed);
    let ClientRequest { id: read, actions } = fixture.request(ANY);
    let server = servers_sent_to(&actions)[0];
    fixture.advance(5 * MILLISECOND);

    let primary_status = status(Role::Primary, fixture.now);
    let actions = fixture.complete_attempt_with_status(read, 0, server, AttemptOutcome::Ok, primary_status);
    let later = fixture.advance(300 * MILLISECOND);
    assert!(servers_sent_to(&actions).contains(&server) || servers_sent_to(&later).contains(&server));
}
