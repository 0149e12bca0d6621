//! Servers that may be sent work, according to the endpoint list, the state of the servers and broken
//! connections.

mod common;
use birchreach::*;
use common::*;

#[test]
fn a_draining_or_removed_server_gets_no_new_requests() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        // Given a replica that is listed as draining or removed
        let mut fixture = RouterFixture::new(settings());
        fixture.set_endpoints(&endpoints_with_change(REPLICA_1, |replica| replica.state = state));
        // When reads arrive, then the other replica gets all of them
        for _ in 0..20 {
            let read = fixture.request(ANY);
            assert_eq!(read.servers(), [REPLICA_2]);
            fixture.complete_attempt(read.id, 0, REPLICA_2, AttemptOutcome::Ok);
        }
    }
}

#[test]
fn a_server_that_is_missing_from_a_complete_list_is_removed() {
    // Given a router that knows two replicas
    let mut fixture = RouterFixture::new(settings());
    // When a complete list names only the second replica
    fixture.set_endpoints(&ready_endpoints([PRIMARY, REPLICA_2]));
    // Then the second replica gets the read
    let servers = fixture.request(ANY).servers();
    assert_eq!(servers, [REPLICA_2], "a server that is missing from a complete list is removed");
}

#[test]
fn a_queued_request_is_not_sent_to_a_server_that_has_begun_to_drain() {
    // Given a write that the primary rejected
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Overloaded);
    // When the primary begins to drain
    let draining = |primary: &mut Endpoint| primary.state = EndpointState::Draining;
    fixture.set_endpoints(&endpoints_with_change(PRIMARY, draining));
    // Then the write is not retried at the primary
    assert!(!servers_sent_to(&fixture.advance(2_000 * MILLISECOND)).contains(&PRIMARY));
}

/// Settings under which the removal of a server from the endpoint list is only advisory, whether the list
/// names the server as removed or does not contain it.
fn with_advisory_removal() -> Settings {
    Settings { removal_is_advisory: true, ..settings() }
}

/// Sends 20 reads. Returns the servers that get at least one of them.
fn servers_in_use(fixture: &mut RouterFixture) -> Vec<u32> {
    let mut servers: Vec<u32> = (0..20).flat_map(|_| fixture.request(ANY).servers()).collect();
    servers.sort_unstable();
    servers.dedup();
    servers
}

#[test]
fn while_removal_is_advisory_a_list_without_ready_servers_does_not_stop_their_use() {
    // When an empty list arrives, then all servers stay in use
    let mut fixture = RouterFixture::new(with_advisory_removal());
    fixture.set_endpoints(&[]);
    assert_eq!(servers_in_use(&mut fixture), ALL_SERVERS, "all servers are missing from the list");
    // When a list names all servers as removed, then all servers stay in use
    let mut fixture = RouterFixture::new(with_advisory_removal());
    fixture.set_endpoints(&ALL_SERVERS.map(|id| endpoint(id, EndpointState::Removed)));
    assert_eq!(servers_in_use(&mut fixture), ALL_SERVERS, "all servers are listed as removed");
}

#[test]
fn while_removal_is_advisory_a_server_that_drained_before_its_removal_is_not_used() {
    // Given a replica that was draining before it was removed
    let mut fixture = RouterFixture::new(with_advisory_removal());
    for state in [EndpointState::Draining, EndpointState::Removed] {
        fixture.set_endpoints(&endpoints_with_change(REPLICA_1, |replica| replica.state = state));
    }
    // Then that replica is not used until it is ready again
    assert_eq!(servers_in_use(&mut fixture), [PRIMARY, REPLICA_2], "the replica drained and was removed");
    fixture.set_endpoints(&ready_endpoints(ALL_SERVERS));
    assert!(servers_in_use(&mut fixture).contains(&REPLICA_1), "the replica is ready again");
}

#[test]
fn while_removal_is_advisory_a_removed_server_that_was_never_ready_is_not_used() {
    // Given a replica that the first list names as removed
    let mut fixture = RouterFixture::without_endpoints(with_advisory_removal());
    let [primary, replica] = ready_endpoints([PRIMARY, REPLICA_1]);
    fixture.set_endpoints(&[primary, Endpoint { state: EndpointState::Removed, ..replica }]);
    // Then that replica is not used
    assert_eq!(servers_in_use(&mut fixture), [PRIMARY], "the replica was never ready");
}

#[test]
fn a_removed_server_is_forgotten_unless_an_attempt_is_in_flight_at_it() {
    // Given a write in flight at the primary
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    assert_eq!(write.servers(), [PRIMARY]);
    // When each second a complete list names a single new server, then the primary and the new server are
    // known
    for next in 10..200 {
        fixture.set_endpoints(&ready_endpoints([next]));
        fixture.advance(1_000 * MILLISECOND);
        assert!(fixture.router.is_known(ServerId(next)) && fixture.router.is_known(ServerId(PRIMARY)));
    }
    let known = (0..200).filter(|server| fixture.router.is_known(ServerId(*server))).count();
    assert_eq!(
        known, 22,
        "the primary, the current server and the servers removed in the last 20 s are known"
    );
    // When the write has ended, then the primary is forgotten as well
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Timeout);
    fixture.set_endpoints(&ready_endpoints([199]));
    assert!(!fixture.router.is_known(ServerId(PRIMARY)));
}

#[test]
fn a_broken_connection_neither_ejects_a_server_nor_begins_its_slow_start() {
    for outcome in [AttemptOutcome::ClosedBeforeExecution, AttemptOutcome::ConnectionReset] {
        // Given a write in flight at the primary
        let mut fixture = RouterFixture::new(settings());
        let write = fixture.request(WRITE);
        assert_eq!(write.servers(), [PRIMARY]);
        // When its connection breaks, then the write fails if it may have run
        let actions = fixture.complete_attempt(write.id, 0, PRIMARY, outcome);
        assert_eq!(is_failed(&actions), outcome == AttemptOutcome::ConnectionReset);
        // Then a write that never ran is retried at the primary after a backoff, and the primary gets the
        // next write
        let never_ran = outcome == AttemptOutcome::ClosedBeforeExecution;
        let retried = if never_ran { vec![PRIMARY] } else { vec![] };
        assert_eq!(servers_sent_to(&fixture.advance(50 * MILLISECOND)), retried);
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY], "{outcome:?}");
    }
}

/// Lets the primary refuse a connection and then ends an attempt that was sent earlier with the given
/// outcome. Returns how many of three further writes are sent to the primary.
fn writes_sent_after_refused_connection(early_outcome: AttemptOutcome) -> usize {
    let mut fixture = RouterFixture::new(settings());
    let early = fixture.request(WRITE);
    assert_eq!(early.servers(), [PRIMARY]);
    fixture.advance(5 * MILLISECOND);
    let late = fixture.request(WRITE);
    fixture.complete_attempt(late.id, 0, PRIMARY, AttemptOutcome::ConnectFailed);
    fixture.complete_attempt(early.id, 0, PRIMARY, early_outcome);
    fixture.advance(100 * MILLISECOND);
    (0..3).filter(|_| fixture.request(WRITE).servers() == [PRIMARY]).count()
}

#[test]
fn a_refused_connection_begins_no_slow_start_if_an_earlier_attempt_is_then_answered() {
    // When the primary responds to the earlier attempt, then its process still runs and all writes are sent
    assert_eq!(writes_sent_after_refused_connection(AttemptOutcome::Ok), 3);
    // When the connection of the earlier attempt is reset, then the primary is in slow start
    let sent = writes_sent_after_refused_connection(AttemptOutcome::ConnectionReset);
    assert!(sent < 3, "the slow-start budget allowed {sent} of 3 writes");
}
