//! Selection among healthy servers by role, outstanding attempts, weight, zone and replication lag.

mod common;
use birchreach::*;
use common::*;

/// Creates a router whose endpoint list contains a modified entry for the first replica.
fn fixture_with_changed_replica(change: impl FnOnce(&mut Endpoint)) -> RouterFixture {
    let mut fixture = RouterFixture::without_endpoints(settings());
    fixture.set_endpoints(&endpoints_with_change(REPLICA_1, change));
    fixture
}

/// Sends `count` requests of a class, which all stay in flight. Returns the servers that they are sent to.
fn servers_for_requests(fixture: &mut RouterFixture, class: u16, count: usize) -> Vec<u32> {
    (0..count).flat_map(|_| fixture.request(class).servers()).collect()
}

#[test]
fn writes_go_to_the_primary() {
    // Given a primary and two replicas
    let mut fixture = RouterFixture::new(settings());
    // When writes arrive, then the primary gets all of them
    for _ in 0..4 {
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY]);
    }
}

#[test]
fn reads_without_a_freshness_requirement_are_split_evenly_between_replicas() {
    // Given a primary that is busy with writes, and two idle replicas
    let mut fixture = RouterFixture::new(settings());
    servers_for_requests(&mut fixture, WRITE, 4);
    // When reads without a freshness requirement arrive
    let mut servers = servers_for_requests(&mut fixture, ANY, 4);
    // Then each replica gets the same number of reads
    servers.sort_unstable();
    assert_eq!(
        servers,
        [REPLICA_1, REPLICA_1, REPLICA_2, REPLICA_2],
        "both replicas have equally many attempts"
    );
}

#[test]
fn outstanding_attempts_are_counted_per_unit_of_weight() {
    // Given a replica with three times the weight of the other
    let mut fixture = fixture_with_changed_replica(|replica| replica.weight = 3.0);
    // When four reads are in flight
    let servers = servers_for_requests(&mut fixture, ANY, 4);
    // Then three of them are in flight at the heavier replica
    assert_eq!(servers.iter().filter(|server| **server == REPLICA_1).count(), 3);
}

#[test]
fn among_equally_busy_replicas_the_one_in_the_zone_of_the_proxy_is_preferred() {
    // Given a replica in another zone, and one in the zone of the proxy
    let mut fixture = fixture_with_changed_replica(|replica| replica.zone = ZoneId(1));
    // When both are idle, then the replica in the zone of the proxy gets the read
    assert_eq!(fixture.request(ANY).servers(), [REPLICA_2]);
    // When that replica is busier, then the other one gets the next read
    assert_eq!(fixture.request(ANY).servers(), [REPLICA_1]);
}

#[test]
fn ties_between_idle_replicas_are_broken_at_random_in_proportion_to_their_weights() {
    // Given a replica with three times the weight of the other
    let mut fixture = fixture_with_changed_replica(|replica| replica.weight = 3.0);
    // When reads arrive one after the other
    let mut reads_at_heavier = 0;
    for _ in 0..400 {
        let read = fixture.request(ANY);
        reads_at_heavier += usize::from(read.servers() == [REPLICA_1]);
        fixture.complete_attempt(read.id, 0, read.server(), AttemptOutcome::Ok);
    }
    // Then the heavier replica gets about three quarters of them
    assert!(
        (260..340).contains(&reads_at_heavier),
        "{reads_at_heavier} of 400 reads went to the replica with three quarters of the weight"
    );
}

#[test]
fn reads_without_a_freshness_requirement_prefer_a_replica_that_lags_too_far_for_bounded_reads() {
    // Given a fresh replica, and one that lags too far for bounded reads
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 400 * MILLISECOND);
    // When reads without a freshness requirement arrive
    let servers = [ANY, ANY, ANY].map(|class| fixture.request(class).server());
    // Then the lagging replica is preferred until it has two more attempts in flight than the other
    assert_eq!(
        servers,
        [REPLICA_2, REPLICA_2, REPLICA_1],
        "the lagging replica gets one extra read, then the counts of outstanding attempts decide"
    );
}

#[test]
fn a_replica_that_stopped_reporting_its_position_gets_its_normal_number_of_reads() {
    // Given two fresh replicas
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 0);
    fixture.report_position(REPLICA_2, Role::Replica, 0);
    // When only the first replica continues to report its position
    let mut reads_at_unreported = 0;
    for _ in 0..40 {
        fixture.advance(50 * MILLISECOND);
        fixture.report_position(REPLICA_1, Role::Replica, 0);
        let read = fixture.request(ANY);
        reads_at_unreported += usize::from(read.servers() == [REPLICA_2]);
        fixture.complete_attempt(read.id, 0, read.server(), AttemptOutcome::Ok);
    }
    // Then the second replica gets about half of the reads
    assert!(
        (8..32).contains(&reads_at_unreported),
        "a missing report is no evidence of lag: {reads_at_unreported} of 40 reads at the second replica"
    );
}

#[test]
fn a_write_that_every_member_rejects_as_a_replica_is_tried_at_each_and_then_queued() {
    // Given a write, and an endpoint list that names the wrong primary
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    let replica_status = status(Role::Replica, fixture.now);
    let mut tried = vec![PRIMARY];
    for attempt in 0..3 {
        // When the server responds that it is a replica
        fixture.advance(5 * MILLISECOND);
        let server = tried[attempt as usize];
        let outcome = AttemptOutcome::Ineligible;
        let actions =
            fixture.complete_attempt_with_status(write.id, attempt, server, outcome, replica_status);
        // Then the write is retried at another server, at once or after a backoff
        tried.extend(servers_sent_to(&actions));
        if tried.len() < attempt as usize + 2 {
            tried.extend(servers_sent_to(&fixture.advance(100 * MILLISECOND)));
        }
        // Then the write is queued after all servers have responded
        if attempt == 2 {
            assert!(!is_rejected(&actions) && !is_failed(&actions), "the write is queued, not finished");
        }
    }
    // Then the write was tried at each member
    tried.truncate(3);
    tried.sort_unstable();
    assert_eq!(tried, ALL_SERVERS);
}

#[test]
fn a_queued_write_goes_to_the_new_primary_at_once() {
    // Given a write that is queued because the primary refused the connection, and a read in flight at a
    // replica
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::ConnectFailed);
    let read = fixture.request(ANY);
    let server = read.server();
    fixture.advance(5 * MILLISECOND);
    // When the response to the read says that the replica is now the primary
    let primary_status = status(Role::Primary, fixture.now);
    let actions =
        fixture.complete_attempt_with_status(read.id, 0, server, AttemptOutcome::Ok, primary_status);
    // Then the new primary gets the write
    let later = fixture.advance(300 * MILLISECOND);
    assert!(servers_sent_to(&actions).contains(&server) || servers_sent_to(&later).contains(&server));
}
