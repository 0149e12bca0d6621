//! Which replica may answer a read, and how that is found out.

mod common;
use birchreach::*;
use common::*;

#[test]
fn a_bounded_read_wants_a_proof_that_meets_its_bound() {
    let mut rig = Rig::new(settings());
    assert_eq!(sends(&rig.ask(BOUNDED).1), [P], "nothing is proven yet");
    rig.stands(R1, Role::Replica, 250 * MS);
    assert_eq!(sends(&rig.ask(BOUNDED).1), [R1]);
    rig.pass(50 * MS);
    assert_eq!(sends(&rig.ask(BOUNDED).1), [R1], "just inside the bound");
    rig.pass(1);
    assert_eq!(sends(&rig.ask(BOUNDED).1), [P], "just outside");
}

#[test]
fn a_session_read_wants_a_proof_of_its_write() {
    let mut rig = Rig::new(settings());
    rig.stands(R2, Role::Replica, 0);
    let at = rig.now;
    assert_eq!(sends(&rig.ask_for(SESSION, |r| r.last_write_position = Some(at)).1), [R2]);
    assert_eq!(sends(&rig.ask_for(SESSION, |r| r.last_write_position = Some(at + 1)).1), [P]);
    assert_ne!(sends(&rig.ask(SESSION).1), [P], "without a write any replica will do");
}

#[test]
fn remembered_writes_bind_the_session_even_when_the_client_has_left() {
    let mut s = settings();
    s.session_positions = SessionPositionSource::FromObservedWrites;
    let mut rig = Rig::new(s);
    rig.stands(R1, Role::Replica, 0);
    rig.stands(R2, Role::Replica, 0);
    let (id, _) = rig.ask_for(WRITE, |r| r.session = Some(SessionId(9)));
    rig.feed(Event::ClientDisconnected { request: RequestId(id) });
    let commit = rig.now + MS;
    rig.pass(5 * MS);
    rig.end_with(id, 0, P, AttemptOutcome::Ok, note(Role::Primary, commit));
    assert_eq!(sends(&rig.ask_for(SESSION, |r| r.session = Some(SessionId(9))).1), [P]);
    assert_ne!(sends(&rig.ask_for(SESSION, |r| r.session = Some(SessionId(8))).1), [P]);
}

#[test]
fn a_fresh_router_probes_a_group_at_its_first_read_only() {
    let mut s = settings();
    s.health_checks_allowed = true;
    let mut rig = Rig::bare(s);
    let probes = |got: &[Action]| got.iter().filter(|a| matches!(a, Action::HealthCheck { .. })).count();
    let got = rig.list(&[P, R1, R2].map(|id| member(id, EndpointState::Ready)));
    assert_eq!(probes(&got), 0, "hundreds of routers start at once");
    assert!(probes(&rig.ask(BOUNDED).1) > 0);
}

#[test]
fn where_servers_check_the_furthest_ahead_is_tried_before_the_primary() {
    let mut s = settings();
    s.stale_reads = StaleReadPolicy::Rejected;
    let mut rig = Rig::new(s);
    rig.stands(R1, Role::Replica, 900 * MS);
    rig.stands(R2, Role::Replica, 800 * MS);
    rig.pass(600 * MS);
    let (id, got) = rig.ask(BOUNDED);
    assert_eq!(sends(&got), [R2]);
    let at = rig.now - 800 * MS;
    assert_eq!(sends(&rig.end_with(id, 0, R2, AttemptOutcome::Ineligible, note(Role::Replica, at))), [R1]);
    assert_eq!(sends(&rig.end_with(id, 1, R1, AttemptOutcome::Ineligible, note(Role::Replica, at))), [P]);
}

#[test]
fn a_replica_known_to_lag_too_far_is_tried_now_and_then_only() {
    let mut s = settings();
    s.stale_reads = StaleReadPolicy::Rejected;
    let mut rig = Rig::new(s);
    let mut tries = 0;
    for i in 0..20 {
        let (id, got) = rig.ask(BOUNDED);
        let (mut server, mut attempt) = (sends(&got)[0], 0);
        while server != P {
            tries += 1;
            let at = rig.now - 900 * MS;
            let got = rig.end_with(id, attempt, server, AttemptOutcome::Ineligible, note(Role::Replica, at));
            (server, attempt) = (sends(&got)[0], attempt + 1);
        }
        rig.pass(MS);
        rig.end(id, attempt, P, AttemptOutcome::Ok);
        assert!(i > 0 || tries == 2, "the first is tried at each");
    }
    // Found in an incident: thousands of misses in seconds while a group lagged.
    assert_eq!(tries, 2);
}

#[test]
fn a_read_asks_a_replica_for_its_position_before_it_falls_on_the_primary() {
    let mut s = settings();
    s.health_checks_allowed = true;
    let mut rig = Rig::new(s);
    let asked = |got: &[Action]| {
        got.iter().find_map(|a| if let Action::HealthCheck { server } = a { Some(server.0) } else { None })
    };
    let (id, got) = rig.ask(BOUNDED);
    assert!(sends(&got).is_empty(), "it waits");
    let first = asked(&got).expect("a probe");
    assert_eq!(sends(&rig.stands(first, Role::Replica, 100 * MS)), [first]);
    rig.end(id, 0, first, AttemptOutcome::Ok);

    rig.pass(1_000 * MS);
    let (_, got) = rig.ask(BOUNDED);
    let first = asked(&got).expect("a probe");
    let got = rig.stands(first, Role::Replica, 400 * MS);
    let second = asked(&got).expect("another where the first is behind");
    assert_ne!(first, second);
    // The second never replies: the read waits for a part of its aim only.
    assert_eq!(sends(&rig.pass(100 * MS)), [P]);
}

#[test]
fn a_read_pays_no_probe_while_the_primary_is_seen_at_ease() {
    let asks = |took: Micros| {
        let mut rig = Rig::new(Settings { health_checks_allowed: true, ..settings() });
        for _ in 0..20 {
            let (id, _) = rig.ask(WRITE);
            rig.pass(took);
            rig.end(id, 0, P, AttemptOutcome::Ok);
        }
        rig.ask(BOUNDED).1.iter().any(|a| matches!(a, Action::HealthCheck { .. }))
    };
    // Of an aim of 500 ms.
    assert_eq!([50 * MS, 150 * MS].map(asks), [false, true]);
}

#[test]
fn a_read_pays_a_probe_again_once_one_that_fell_back_was_late() {
    let mut rig = Rig::new(Settings { health_checks_allowed: true, ..settings() });
    for _ in 0..20 {
        let (id, _) = rig.ask(WRITE);
        rig.pass(MS);
        rig.end(id, 0, P, AttemptOutcome::Ok);
    }
    let (id, got) = rig.ask(BOUNDED);
    assert_eq!(sends(&got), [P]);
    rig.pass(600 * MS);
    rig.end(id, 0, P, AttemptOutcome::Ok);
    for _ in 0..10 {
        let (id, _) = rig.ask(WRITE);
        rig.pass(MS);
        rig.end(id, 0, P, AttemptOutcome::Ok);
    }
    assert!(rig.ask(BOUNDED).1.iter().any(|a| matches!(a, Action::HealthCheck { .. })));
}
