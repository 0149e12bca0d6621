//! Which servers may be sent work: the endpoint list, draining and removed servers, broken connections.

mod common;
use birchreach::*;
use common::*;

#[test]
fn nothing_new_goes_to_a_draining_or_removed_server() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        // Given a replica that is listed with this state
        let mut fixture = RouterFixture::new(settings());
        fixture.set_endpoints(&ready_with_change(REPLICA_1, |replica| replica.state = state));
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
    // When a complete list names only the second
    fixture.set_endpoints(&ready([PRIMARY, REPLICA_2]));
    // Then that gets the read
    let servers = fixture.request(ANY).servers();
    assert_eq!(servers, [REPLICA_2], "missing from a complete list means removed");
}

#[test]
fn a_queued_request_does_not_go_to_a_server_that_began_to_drain() {
    // Given a write that the primary rejected
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Overloaded);
    // When the primary begins to drain
    let draining = |primary: &mut Endpoint| primary.state = EndpointState::Draining;
    fixture.set_endpoints(&ready_with_change(PRIMARY, draining));
    // Then the write is not retried there
    assert!(!servers_sent_to(&fixture.advance(2_000 * MILLISECOND)).contains(&PRIMARY));
}

/// Settings under which a list without a server, or with one as removed, is only advisory.
fn with_advisory_removal() -> Settings {
    Settings { removal_is_advisory: true, ..settings() }
}

/// The servers that get some of 20 reads.
fn servers_in_use(fixture: &mut RouterFixture) -> Vec<u32> {
    let mut servers: Vec<u32> = (0..20).flat_map(|_| fixture.request(ANY).servers()).collect();
    servers.sort_unstable();
    servers.dedup();
    servers
}

#[test]
fn where_removal_is_advisory_a_wrong_list_empties_no_group() {
    // When an empty list arrives, then all servers stay in use
    let mut fixture = RouterFixture::new(with_advisory_removal());
    fixture.set_endpoints(&[]);
    assert_eq!(servers_in_use(&mut fixture), ALL_SERVERS, "all missing");
    // When a list arrives in which all are removed, then they stay in use as well
    let mut fixture = RouterFixture::new(with_advisory_removal());
    fixture.set_endpoints(&ALL_SERVERS.map(|id| endpoint(id, EndpointState::Removed)));
    assert_eq!(servers_in_use(&mut fixture), ALL_SERVERS, "all listed as removed");
}

#[test]
fn where_removal_is_advisory_draining_binds() {
    // Given a replica that drained before it was removed
    let mut fixture = RouterFixture::new(with_advisory_removal());
    for state in [EndpointState::Draining, EndpointState::Removed] {
        fixture.set_endpoints(&ready_with_change(REPLICA_1, |replica| replica.state = state));
    }
    // Then it is not in use, until it is ready again
    assert_eq!(servers_in_use(&mut fixture), [PRIMARY, REPLICA_2], "draining, then removed");
    fixture.set_endpoints(&ready(ALL_SERVERS));
    assert!(servers_in_use(&mut fixture).contains(&REPLICA_1), "ready again");
}

#[test]
fn where_removal_is_advisory_a_server_never_seen_ready_is_not_used() {
    // Given a replica that is removed in the first list
    let mut fixture = RouterFixture::without_endpoints(with_advisory_removal());
    let [primary, replica] = ready([PRIMARY, REPLICA_1]);
    fixture.set_endpoints(&[primary, Endpoint { state: EndpointState::Removed, ..replica }]);
    // Then it is not in use
    assert_eq!(servers_in_use(&mut fixture), [PRIMARY], "never seen ready");
}

/// Whether the first attempt of a request, for which a connection is being opened, may still be sent.
fn may_still_send(fixture: &RouterFixture, request: u64) -> bool {
    fixture.router.may_still_send(fixture.now, RequestId(request), AttemptNumber(0))
}

#[test]
fn a_read_is_not_sent_once_the_position_of_its_replica_is_too_old() {
    // Given a bounded read for which a connection to a fresh replica is being opened
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 100 * MILLISECOND);
    let read = fixture.request(BOUNDED);
    assert!(read.servers() == [REPLICA_1] && may_still_send(&fixture, read.id));
    // When the position becomes too old meanwhile, then the read may no longer be sent
    fixture.now += 200 * MILLISECOND;
    assert!(may_still_send(&fixture, read.id), "300 ms old at most");
    fixture.now += MILLISECOND;
    assert!(!may_still_send(&fixture, read.id));
}

#[test]
fn a_write_is_not_sent_once_its_server_drains() {
    // Given a write for which a connection is being opened
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    assert!(write.servers() == [PRIMARY] && may_still_send(&fixture, write.id));
    // When the server begins to drain, then the write may no longer be sent
    let [primary, replica] = ready([PRIMARY, REPLICA_1]);
    fixture.set_endpoints(&[Endpoint { state: EndpointState::Draining, ..primary }, replica]);
    assert!(!may_still_send(&fixture, write.id));
}

#[test]
fn a_read_is_not_sent_once_its_server_states_that_it_is_no_primary() {
    // Given a read for which a connection to the primary is being opened
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(BOUNDED);
    assert!(read.servers() == [PRIMARY] && may_still_send(&fixture, read.id));
    // When that server states in another response that it is a replica, then the read may no longer be sent
    let write = fixture.request(WRITE);
    let replica_status = status(Role::Replica, fixture.now - 1_000 * MILLISECOND);
    fixture.complete_attempt_with_status(write.id, 0, PRIMARY, AttemptOutcome::Ineligible, replica_status);
    assert!(!may_still_send(&fixture, read.id));
}

#[test]
fn a_request_is_not_sent_once_it_is_finished() {
    // Given a read for which a connection is being opened
    let mut fixture = RouterFixture::new(settings());
    let read = fixture.request(ANY);
    // When its client disconnects, then it may no longer be sent
    fixture.handle(Event::ClientDisconnected { request: RequestId(read.id) });
    assert!(!may_still_send(&fixture, read.id));
}

#[test]
fn removed_servers_are_forgotten_but_not_while_an_attempt_is_in_flight() {
    // Given a write in flight at the primary
    let mut fixture = RouterFixture::new(settings());
    let write = fixture.request(WRITE);
    assert_eq!(write.servers(), [PRIMARY]);
    // When each second another server is the only one, then the primary and the newest are known
    for next in 10..200 {
        fixture.set_endpoints(&ready([next]));
        fixture.advance(1_000 * MILLISECOND);
        assert!(fixture.router.is_known(ServerId(next)) && fixture.router.is_known(ServerId(PRIMARY)));
    }
    let known = (0..200).filter(|server| fixture.router.is_known(ServerId(*server))).count();
    assert_eq!(known, 22, "the primary, and those of the last 20 s");
    // When the write has ended, then the primary is forgotten too
    fixture.complete_attempt(write.id, 0, PRIMARY, AttemptOutcome::Timeout);
    fixture.set_endpoints(&ready([199]));
    assert!(!fixture.router.is_known(ServerId(PRIMARY)));
}

#[test]
fn broken_connections_neither_eject_a_server_nor_start_slow_start() {
    for outcome in [AttemptOutcome::ClosedBeforeExecution, AttemptOutcome::ConnectionReset] {
        // Given a write at the primary
        let mut fixture = RouterFixture::new(settings());
        let write = fixture.request(WRITE);
        assert_eq!(write.servers(), [PRIMARY]);
        // When its connection breaks, then it fails if it may have run
        let actions = fixture.complete_attempt(write.id, 0, PRIMARY, outcome);
        assert_eq!(is_failed(&actions), outcome == AttemptOutcome::ConnectionReset);
        // Then what never ran is retried at the same primary after a backoff, which also gets the next write
        let never_ran = outcome == AttemptOutcome::ClosedBeforeExecution;
        let retried = if never_ran { vec![PRIMARY] } else { vec![] };
        assert_eq!(servers_sent_to(&fixture.advance(50 * MILLISECOND)), retried);
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY], "{outcome:?}");
    }
}

/// How many of three writes are sent after the primary refused a connection, and an attempt that was sent before
/// ended with this outcome.
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
fn an_answer_to_an_attempt_sent_before_a_refused_connection_shows_that_the_process_runs() {
    // When the earlier attempt is answered, then all writes are sent
    assert_eq!(writes_sent_after_refused_connection(AttemptOutcome::Ok), 3);
    // When its connection is reset too, then the server is in slow start
    let sent = writes_sent_after_refused_connection(AttemptOutcome::ConnectionReset);
    assert!(sent < 3, "a server in slow start has its budget");
}
