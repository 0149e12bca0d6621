//! Which servers may be sent work: lists, drains, servers that left, signs of life.

mod common;
use birchreach::*;
use common::*;

#[test]
fn nothing_new_goes_to_a_draining_or_gone_server() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut rig = Rig::new(settings());
        rig.list(&[member(P, EndpointState::Ready), member(R1, state), member(R2, EndpointState::Ready)]);
        for _ in 0..20 {
            let (id, got) = rig.ask(ANY);
            assert_eq!(sends(&got), [R2]);
            rig.end(id, 0, R2, AttemptOutcome::Ok);
        }
    }
    let mut rig = Rig::new(settings());
    rig.list(&[member(P, EndpointState::Ready), member(R2, EndpointState::Ready)]);
    assert_eq!(sends(&rig.ask(ANY).1), [R2], "left out of a whole list is gone");
}

#[test]
fn a_held_request_does_not_go_to_a_server_that_began_to_drain() {
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(WRITE);
    rig.end(id, 0, P, AttemptOutcome::Overloaded);
    rig.list(&[
        member(P, EndpointState::Draining),
        member(R1, EndpointState::Ready),
        member(R2, EndpointState::Ready),
    ]);
    assert!(!sends(&rig.pass(2_000 * MS)).contains(&P));
}

#[test]
fn where_gone_does_not_bind_a_wrong_list_empties_no_group_but_draining_does() {
    let mut s = settings();
    s.removal_is_advisory = true;
    let served = |rig: &mut Rig| -> Vec<u32> {
        let mut to: Vec<u32> = (0..20).flat_map(|_| sends(&rig.ask(ANY).1)).collect();
        to.sort_unstable();
        to.dedup();
        to
    };
    let mut rig = Rig::new(s.clone());
    rig.list(&[]);
    assert_eq!(served(&mut rig), [P, R1, R2], "all left out");
    let mut rig = Rig::new(s.clone());
    rig.list(&[P, R1, R2].map(|id| member(id, EndpointState::Removed)));
    assert_eq!(served(&mut rig), [P, R1, R2], "all called gone");
    let mut rig = Rig::new(s.clone());
    for state in [EndpointState::Draining, EndpointState::Removed] {
        rig.list(&[member(P, EndpointState::Ready), member(R1, state), member(R2, EndpointState::Ready)]);
    }
    assert_eq!(served(&mut rig), [P, R2], "seen draining, then gone");
    rig.list(&[P, R1, R2].map(|id| member(id, EndpointState::Ready)));
    assert!(served(&mut rig).contains(&R1), "ready again");
    let mut rig = Rig::bare(s);
    rig.list(&[member(P, EndpointState::Ready), member(R1, EndpointState::Removed)]);
    assert_eq!(served(&mut rig), [P], "never seen ready");
}

#[test]
fn what_was_told_while_a_connection_opened_forbids_the_write() {
    let may = |rig: &Rig, id| rig.router.may_still_send(rig.now, RequestId(id), AttemptNo(0));
    // Data ages while a group has no primary, so that its position stands still.
    let mut rig = Rig::new(settings());
    rig.stands(R1, Role::Replica, 100 * MS);
    let (id, got) = rig.ask(BOUNDED);
    assert!(sends(&got) == [R1] && may(&rig, id));
    rig.now += 200 * MS;
    assert!(may(&rig, id), "300 ms old at most");
    rig.now += MS;
    assert!(!may(&rig, id));
    // The server is called draining.
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(WRITE);
    assert!(sends(&got) == [P] && may(&rig, id));
    rig.list(&[member(P, EndpointState::Draining), member(R1, EndpointState::Ready)]);
    assert!(!may(&rig, id));
    // The primary that was to answer a read says that it is none.
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(BOUNDED);
    assert!(sends(&got) == [P] && may(&rig, id));
    let (other, _) = rig.ask(WRITE);
    rig.end_with(other, 0, P, AttemptOutcome::Ineligible, note(Role::Replica, rig.now - 1_000 * MS));
    assert!(!may(&rig, id));
    // The request is over.
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(ANY);
    rig.feed(Event::ClientDisconnected { request: RequestId(id) });
    assert!(!may(&rig, id));
}

#[test]
fn servers_that_left_are_forgotten_but_not_while_anything_is_out_at_them() {
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(WRITE);
    assert_eq!(sends(&got), [P]);
    for next in 10..200 {
        rig.list(&[member(next, EndpointState::Ready)]);
        rig.pass(1_000 * MS);
        assert!(rig.router.is_known(ServerId(next)) && rig.router.is_known(ServerId(P)));
    }
    assert_eq!(
        (0..200).filter(|s| rig.router.is_known(ServerId(*s))).count(),
        22,
        "P, and those of the last 20 s"
    );
    rig.end(id, 0, P, AttemptOutcome::Timeout);
    rig.list(&[member(199, EndpointState::Ready)]);
    assert!(!rig.router.is_known(ServerId(P)));
}

#[test]
fn connections_that_break_do_not_shut_a_server_out_nor_make_it_cold() {
    for ending in [AttemptOutcome::ClosedBeforeExecution, AttemptOutcome::ConnectionReset] {
        let mut rig = Rig::new(settings());
        let (id, got) = rig.ask(WRITE);
        assert_eq!(sends(&got), [P]);
        let got = rig.end(id, 0, P, ending);
        assert_eq!(failed(&got), ending == AttemptOutcome::ConnectionReset);
        // What never ran goes again after a pause, to the same primary, and so does the next write.
        let again = if ending == AttemptOutcome::ClosedBeforeExecution { vec![P] } else { vec![] };
        assert_eq!(sends(&rig.pass(50 * MS)), again);
        assert_eq!(sends(&rig.ask(WRITE).1), [P], "{ending:?}");
    }
}

#[test]
fn an_answer_to_what_was_sent_before_a_refusal_proves_that_the_process_lives() {
    let warm_after = |answered: bool| {
        let mut rig = Rig::new(settings());
        let (early, got) = rig.ask(WRITE);
        assert_eq!(sends(&got), [P]);
        rig.pass(5 * MS);
        let (late, _) = rig.ask(WRITE);
        rig.end(late, 0, P, AttemptOutcome::ConnectFailed);
        rig.end(early, 0, P, if answered { AttemptOutcome::Ok } else { AttemptOutcome::ConnectionReset });
        rig.pass(100 * MS);
        (0..3).filter(|_| sends(&rig.ask(WRITE).1) == [P]).count()
    };
    assert_eq!(warm_after(true), 3);
    assert!(warm_after(false) < 3, "a cold one has its budget");
}
