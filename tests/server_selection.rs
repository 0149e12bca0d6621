//! Server selection among servers that all work: by role, outstanding attempts, weight, zone and lag.

mod common;
use birchreach::*;
use common::*;

/// A router whose entry for the first replica was changed in this way.
fn fixture_with_changed_replica(change: impl FnOnce(&mut Endpoint)) -> RouterFixture {
    let mut fixture = RouterFixture::without_endpoints(settings());
    fixture.set_endpoints(&ready_with_change(REPLICA_1, change));
    fixture
}

/// The servers to which this many requests of a class are sent, all of which stay in flight.
fn servers_for_requests(fixture: &mut RouterFixture, class: u16, count: usize) -> Vec<u32> {
    (0..count).flat_map(|_| fixture.request(class).servers()).collect()
}

#[test]
fn writes_go_to_the_primary() {
    // Given a primary and two replicas
    let mut fixture = RouterFixture::new(settings());
    // When writes arrive, then the primary gets them
    for _ in 0..4 {
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY]);
    }
}

#[test]
fn reads_that_any_server_may_answer_go_to_replicas() {
    // Given a primary that is busy with writes, and two replicas
    let mut fixture = RouterFixture::new(settings());
    servers_for_requests(&mut fixture, WRITE, 4);
    // When reads arrive that any server may answer
    let mut servers = servers_for_requests(&mut fixture, ANY, 4);
    // Then the replicas get equal numbers of them
    servers.sort_unstable();
    assert_eq!(servers, [REPLICA_1, REPLICA_1, REPLICA_2, REPLICA_2], "equal counts are kept equal");
}

#[test]
fn outstanding_attempts_are_counted_per_unit_of_weight() {
    // Given a replica with three times the weight of the other
    let mut fixture = fixture_with_changed_replica(|replica| replica.weight = 3.0);
    // When four reads are in flight
    let servers = servers_for_requests(&mut fixture, ANY, 4);
    // Then it has three of them
    assert_eq!(servers.iter().filter(|server| **server == REPLICA_1).count(), 3);
}

#[test]
fn the_own_zone_is_preferred_among_equally_busy_servers() {
    // Given a replica in another zone, and one in the zone of the proxy
    let mut fixture = fixture_with_changed_replica(|replica| replica.zone = ZoneId(1));
    // When both are idle, then the one of the own zone gets the read
    assert_eq!(fixture.request(ANY).servers(), [REPLICA_2]);
    // When that is busier, then the other gets the next
    assert_eq!(fixture.request(ANY).servers(), [REPLICA_1]);
}

#[test]
fn ties_between_idle_servers_are_broken_at_random_by_weight() {
    // Given a replica with three times the weight of the other
    let mut fixture = fixture_with_changed_replica(|replica| replica.weight = 3.0);
    // When reads arrive one after the other
    let mut heavy = 0;
    for _ in 0..400 {
        let read = fixture.request(ANY);
        heavy += usize::from(read.servers() == [REPLICA_1]);
        fixture.complete_attempt(read.id, 0, read.server(), AttemptOutcome::Ok);
    }
    // Then it gets about three quarters of them
    assert!((260..340).contains(&heavy), "{heavy} of 400 to three quarters of the weight");
}

#[test]
fn reads_of_any_age_leave_the_fresh_replica_to_bounded_reads() {
    // Given a fresh replica, and one that lags too far for bounded reads
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 400 * MILLISECOND);
    // When reads arrive that any server may answer
    let servers = [ANY, ANY, ANY].map(|class| fixture.request(class).server());
    // Then the one that lags is preferred, until it has two more in flight than the other
    assert_eq!(
        servers,
        [REPLICA_2, REPLICA_2, REPLICA_1],
        "one more at the replica that is useless to bounded reads, then the fewest outstanding"
    );
}

#[test]
fn a_replica_whose_position_is_not_reported_gets_no_more_of_such_reads_than_others() {
    // Given two fresh replicas
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    // When only the first goes on to report its position
    let mut to_unreported = 0;
    for _ in 0..40 {
        fixture.advance(50 * MILLISECOND);
        fixture.report_position(REPLICA_1, Role::Replica, 0);
        let read = fixture.request(ANY);
        to_unreported += usize::from(read.servers() == [REPLICA_2]);
        fixture.complete_attempt(read.id, 0, read.server(), AttemptOutcome::Ok);
    }
    // Then the second gets about half of the reads
    assert!(
        (8..32).contains(&to_unreported),
        "a missing report does not show that it lags: {to_unreported} of 40"
    );
}

#[test]
fn a_write_is_tried_once_at_each_member_and_then_queued() {
    // Given a write, for which the endpoint list named a wrong primary
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    let replica_status = status(Role::Replica, fixture.now);
    let mut tried = vec![PRIMARY];
    for attempt in 0..3 {
        // When the server that was tried answers that it is a replica
        fixture.advance(5 * MILLISECOND);
        let server = tried[attempt as usize];
        let outcome = AttemptOutcome::Ineligible;
        let actions =
            fixture.complete_attempt_with_status(write.id, attempt, server, outcome, replica_status);
        // Then another is tried, at once or after a backoff
        tried.extend(servers_sent_to(&actions));
        if tried.len() < attempt as usize + 2 {
            tried.extend(servers_sent_to(&fixture.advance(100 * MILLISECOND)));
        }
        // Then the write is queued once all have answered
        if attempt == 2 {
            assert!(!is_rejected(&actions) && !is_failed(&actions), "queued, not finished");
        }
    }
    // Then each member was tried
    tried.truncate(3);
    tried.sort_unstable();
    assert_eq!(tried, ALL_SERVERS);
}

#[test]
fn a_queued_write_goes_to_the_new_primary_at_once() {
    // Given a queued write, whose primary refused the connection, and a read in flight at a replica
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::ConnectFailed);
    let read = fixture.request(ANY);
    let server = read.server();
    fixture.advance(5 * MILLISECOND);
    // When the answer to the read says that the replica is primary now
    let primary_status = status(Role::Primary, fixture.now);
    let actions =
        fixture.complete_attempt_with_status(read.id, 0, server, AttemptOutcome::Ok, primary_status);
    // Then it gets the write
    let later = fixture.advance(300 * MILLISECOND);
    assert!(servers_sent_to(&actions).contains(&server) || servers_sent_to(&later).contains(&server));
}
