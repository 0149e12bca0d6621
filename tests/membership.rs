//! Which servers may be sent work: lists, drains, servers that left, signs of life.

mod common;
use birchreach::*;
use common::*;

#[test]
fn nothing_new_goes_to_a_draining_or_gone_server() {
    for state in [MemberState::Draining, MemberState::Gone] {
        let mut rig = Rig::new(settings());
        rig.list(&[member(P, MemberState::Ready), member(R1, state), member(R2, MemberState::Ready)]);
        for _ in 0..20 {
            let (id, got) = rig.ask(ANY);
            assert_eq!(sends(&got), [R2]);
            rig.end(id, 0, R2, Ending::Ok);
        }
    }
    let mut rig = Rig::new(settings());
    rig.list(&[member(P, MemberState::Ready), member(R2, MemberState::Ready)]);
    assert_eq!(sends(&rig.ask(ANY).1), [R2], "left out of a whole list is gone");
}

#[test]
fn a_held_request_does_not_go_to_a_server_that_began_to_drain() {
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(WRITE);
    rig.end(id, 0, P, Ending::Full);
    rig.list(&[
        member(P, MemberState::Draining),
        member(R1, MemberState::Ready),
        member(R2, MemberState::Ready),
    ]);
    assert!(!sends(&rig.pass(2_000 * MS)).contains(&P));
}

#[test]
fn where_gone_does_not_bind_a_wrong_list_empties_no_group_but_draining_does() {
    let mut s = settings();
    s.soft_removal = true;
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
    rig.list(&[P, R1, R2].map(|id| member(id, MemberState::Gone)));
    assert_eq!(served(&mut rig), [P, R1, R2], "all called gone");
    let mut rig = Rig::new(s.clone());
    for state in [MemberState::Draining, MemberState::Gone] {
        rig.list(&[member(P, MemberState::Ready), member(R1, state), member(R2, MemberState::Ready)]);
    }
    assert_eq!(served(&mut rig), [P, R2], "seen draining, then gone");
    rig.list(&[P, R1, R2].map(|id| member(id, MemberState::Ready)));
    assert!(served(&mut rig).contains(&R1), "ready again");
    let mut rig = Rig::bare(s);
    rig.list(&[member(P, MemberState::Ready), member(R1, MemberState::Gone)]);
    assert_eq!(served(&mut rig), [P], "never seen ready");
}

#[test]
fn what_was_told_while_a_connection_opened_forbids_the_write() {
    let may = |rig: &Rig, id| rig.router.may_write(rig.now, RequestId(id), AttemptNo(0));
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
    rig.list(&[member(P, MemberState::Draining), member(R1, MemberState::Ready)]);
    assert!(!may(&rig, id));
    // The primary that was to answer a read says that it is none.
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(BOUNDED);
    assert!(sends(&got) == [P] && may(&rig, id));
    let (other, _) = rig.ask(WRITE);
    rig.end_with(other, 0, P, Ending::Miss, note(Role::Replica, rig.now - 1_000 * MS));
    assert!(!may(&rig, id));
    // The request is over.
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(ANY);
    rig.feed(Event::Gone { request: RequestId(id) });
    assert!(!may(&rig, id));
}

#[test]
fn servers_that_left_are_forgotten_but_not_while_anything_is_out_at_them() {
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(WRITE);
    assert_eq!(sends(&got), [P]);
    for next in 10..200 {
        rig.list(&[member(next, MemberState::Ready)]);
        rig.pass(1_000 * MS);
        assert!(rig.router.knows(ServerId(next)) && rig.router.knows(ServerId(P)));
    }
    assert_eq!(
        (0..200).filter(|s| rig.router.knows(ServerId(*s))).count(),
        22,
        "P, and those of the last 20 s"
    );
    rig.end(id, 0, P, Ending::Timeout);
    rig.list(&[member(199, MemberState::Ready)]);
    assert!(!rig.router.knows(ServerId(P)));
}

#[test]
fn connections_that_break_do_not_shut_a_server_out_nor_make_it_cold() {
    for ending in [Ending::Broken, Ending::Reset] {
        let mut rig = Rig::new(settings());
        let (id, got) = rig.ask(WRITE);
        assert_eq!(sends(&got), [P]);
        let got = rig.end(id, 0, P, ending);
        assert_eq!(failed(&got), ending == Ending::Reset);
        // What never ran goes again after a pause, to the same primary, and so does the next write.
        let again = if ending == Ending::Broken { vec![P] } else { vec![] };
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
        rig.end(late, 0, P, Ending::ConnectFailed);
        rig.end(early, 0, P, if answered { Ending::Ok } else { Ending::Reset });
        rig.pass(100 * MS);
        (0..3).filter(|_| sends(&rig.ask(WRITE).1) == [P]).count()
    };
    assert_eq!(warm_after(true), 3);
    assert!(warm_after(false) < 3, "a cold one has its budget");
}
