//! Which servers may be sent work: the endpoint list, draining and removed servers, broken connections.

mod common;
use birchreach::*;
use common::*;

#[test]
fn nothing_new_goes_to_a_draining_or_removed_server() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut fixture = RouterFixture::new(settings());
        let mut endpoints = ready(ALL_SERVERS);
        endpoints[1].state = state;
        fixture.set_endpoints(&endpoints);
        for _ in 0..20 {
            let ClientRequest { id, actions } = fixture.request(ANY);
            assert_eq!(servers_sent_to(&actions), [REPLICA_2]);
            fixture.complete_attempt(id, 0, REPLICA_2, AttemptOutcome::Ok);
        }
    }
    let mut fixture = RouterFixture::new(settings());
    fixture.set_endpoints(&ready([PRIMARY, REPLICA_2]));
    let servers = fixture.request(ANY).servers();
    assert_eq!(servers, [REPLICA_2], "missing from a complete list means removed");
}

#[test]
fn a_queued_request_does_not_go_to_a_server_that_began_to_drain() {
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, .. } = fixture.request(WRITE);
    fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Overloaded);
    let mut endpoints = ready(ALL_SERVERS);
    endpoints[0].state = EndpointState::Draining;
    fixture.set_endpoints(&endpoints);

    assert!(!servers_sent_to(&fixture.advance(2_000 * MILLISECOND)).contains(&PRIMARY));
}

#[test]
fn where_removal_is_advisory_a_wrong_list_empties_no_group_but_draining_binds() {
    let mut settings = settings();
    settings.removal_is_advisory = true;
    let servers_in_use = |fixture: &mut RouterFixture| -> Vec<u32> {
        let mut servers: Vec<u32> = (0..20).flat_map(|_| fixture.request(ANY).servers()).collect();
        servers.sort_unstable();
        servers.dedup();
        servers
    };

    let mut fixture = RouterFixture::new(settings.clone());
    fixture.set_endpoints(&[]);
    assert_eq!(servers_in_use(&mut fixture), ALL_SERVERS, "all missing");

    let mut fixture = RouterFixture::new(settings.clone());
    fixture.set_endpoints(&ALL_SERVERS.map(|id| endpoint(id, EndpointState::Removed)));
    assert_eq!(servers_in_use(&mut fixture), ALL_SERVERS, "all listed as removed");

    let mut fixture = RouterFixture::new(settings.clone());
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut endpoints = ready(ALL_SERVERS);
        endpoints[1].state = state;
        fixture.set_endpoints(&endpoints);
    }
    assert_eq!(servers_in_use(&mut fixture), [PRIMARY, REPLICA_2], "draining, then removed");
    fixture.set_endpoints(&ready(ALL_SERVERS));
    assert!(servers_in_use(&mut fixture).contains(&REPLICA_1), "ready again");

    let mut fixture = RouterFixture::without_endpoints(settings);
    let [primary, replica] = ready([PRIMARY, REPLICA_1]);
    fixture.set_endpoints(&[primary, Endpoint { state: EndpointState::Removed, ..replica }]);
    assert_eq!(servers_in_use(&mut fixture), [PRIMARY], "never seen ready");
}

#[test]
fn what_becomes_known_while_a_connection_opens_can_forbid_the_attempt() {
    let may_still_send =
        |fixture: &RouterFixture, id| fixture.router.may_still_send(fixture.now, RequestId(id), AttemptNo(0));

    // Data ages.
    let mut fixture = RouterFixture::new(settings());
    fixture.report_position(REPLICA_1, Role::Replica, 100 * MILLISECOND);
    let ClientRequest { id, actions } = fixture.request(BOUNDED);
    assert!(servers_sent_to(&actions) == [REPLICA_1] && may_still_send(&fixture, id));
    fixture.now += 200 * MILLISECOND;
    assert!(may_still_send(&fixture, id), "300 ms old at most");
    fixture.now += MILLISECOND;
    assert!(!may_still_send(&fixture, id));

    // The server begins to drain.
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, actions } = fixture.request(WRITE);
    assert!(servers_sent_to(&actions) == [PRIMARY] && may_still_send(&fixture, id));
    let [primary, replica] = ready([PRIMARY, REPLICA_1]);
    fixture.set_endpoints(&[Endpoint { state: EndpointState::Draining, ..primary }, replica]);
    assert!(!may_still_send(&fixture, id));

    // The server that was selected as primary states that it is none.
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, actions } = fixture.request(BOUNDED);
    assert!(servers_sent_to(&actions) == [PRIMARY] && may_still_send(&fixture, id));
    let ClientRequest { id: write, .. } = fixture.request(WRITE);
    let replica_status = status(Role::Replica, fixture.now - 1_000 * MILLISECOND);
    fixture.complete_attempt_with_status(write, 0, PRIMARY, AttemptOutcome::Ineligible, replica_status);
    assert!(!may_still_send(&fixture, id));

    // The request is finished.
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, .. } = fixture.request(ANY);
    fixture.handle(Event::ClientDisconnected { request: RequestId(id) });
    assert!(!may_still_send(&fixture, id));
}

#[test]
fn removed_servers_are_forgotten_but_not_while_an_attempt_is_in_flight() {
    let mut fixture = RouterFixture::new(settings());
    let ClientRequest { id, actions } = fixture.request(WRITE);
    assert_eq!(servers_sent_to(&actions), [PRIMARY]);
    for next in 10..200 {
        fixture.set_endpoints(&ready([next]));
        fixture.advance(1_000 * MILLISECOND);
        assert!(fixture.router.is_known(ServerId(next)) && fixture.router.is_known(ServerId(PRIMARY)));
    }
    let known = (0..200).filter(|server| fixture.router.is_known(ServerId(*server))).count();
    assert_eq!(known, 22, "the primary, and those of the last 20 s");

    fixture.complete_attempt(id, 0, PRIMARY, AttemptOutcome::Timeout);
    fixture.set_endpoints(&ready([199]));
    assert!(!fixture.router.is_known(ServerId(PRIMARY)));
}

#[test]
fn broken_connections_neither_eject_a_server_nor_start_slow_start() {
    for outcome in [AttemptOutcome::ClosedBeforeExecution, AttemptOutcome::ConnectionReset] {
        let mut fixture = RouterFixture::new(settings());
        let ClientRequest { id, actions } = fixture.request(WRITE);
        assert_eq!(servers_sent_to(&actions), [PRIMARY]);
        let actions = fixture.complete_attempt(id, 0, PRIMARY, outcome);
        assert_eq!(is_failed(&actions), outcome == AttemptOutcome::ConnectionReset);

        // What never ran is retried at the same primary after a backoff, and so is the next write.
        let never_ran = outcome == AttemptOutcome::ClosedBeforeExecution;
        let retried = if never_ran { vec![PRIMARY] } else { vec![] };
        assert_eq!(servers_sent_to(&fixture.advance(50 * MILLISECOND)), retried);
        assert_eq!(fixture.request(WRITE).servers(), [PRIMARY], "{outcome:?}");
    }
}

#[test]
fn an_answer_to_an_attempt_sent_before_a_refused_connection_shows_that_the_process_runs() {
    let writes_sent = |is_answered: bool| {
        let mut fixture = RouterFixture::new(settings());
        let ClientRequest { id: early, actions } = fixture.request(WRITE);
        assert_eq!(servers_sent_to(&actions), [PRIMARY]);
        fixture.advance(5 * MILLISECOND);
        let ClientRequest { id: late, .. } = fixture.request(WRITE);
        fixture.complete_attempt(late, 0, PRIMARY, AttemptOutcome::ConnectFailed);
        let early_outcome = if is_answered { AttemptOutcome::Ok } else { AttemptOutcome::ConnectionReset };
        fixture.complete_attempt(early, 0, PRIMARY, early_outcome);
        fixture.advance(100 * MILLISECOND);
        (0..3).filter(|_| fixture.request(WRITE).servers() == [PRIMARY]).count()
    };
    assert_eq!(writes_sent(true), 3);
    assert!(writes_sent(false) < 3, "a server in slow start has its budget");
}
