//! The five rules at their edges.

mod common;
use birchreach::*;
use common::*;

fn finals(rig: &Rig, id: u64) -> usize {
    let is = |a: &Action| match a {
        Action::Refuse { request, .. } | Action::Fail { request } => request.0 == id,
        _ => false,
    };
    rig.all.iter().filter(|(_, a)| is(a)).count()
}

#[test]
fn a_request_of_a_group_without_members_is_refused_in_time() {
    let mut rig = Rig::bare(settings());
    let (id, _) = rig.ask(ANY);
    let deadline = rig.now + 2_000 * MS;
    rig.pass(3_000 * MS);
    assert_eq!(finals(&rig, id), 1);
    let answered = rig.all.iter().find(|(_, a)| matches!(a, Action::Refuse { .. }));
    assert!(answered.is_some_and(|(at, _)| *at <= deadline));
    assert_eq!(rig.router.open_requests(), 0);
}

#[test]
fn nothing_goes_out_after_the_final_answer() {
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(WRITE);
    rig.pass(2_000 * MS);
    rig.end(id, 0, P, Ending::Timeout);
    assert_eq!(finals(&rig, id), 1);
    rig.pass(5_000 * MS);
    rig.end(id, 0, P, Ending::Ok);
    assert_eq!(finals(&rig, id), 1);
    let sent = rig.all.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count();
    assert_eq!(sent, 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_sent_again() {
    for ending in [Ending::Error, Ending::Reset, Ending::Timeout, Ending::Cancelled] {
        let mut rig = Rig::new(settings());
        let (id, _) = rig.ask(WRITE);
        let got = rig.end(id, 0, P, ending);
        assert!(failed(&got) && !refused(&got), "{ending:?}");
        assert!(sends(&rig.pass(3_000 * MS)).is_empty());
    }
}

#[test]
fn a_keyed_request_is_sent_again_inside_its_window_only() {
    let mut s = settings();
    s.classes[0] = class(Need::Write, keyed());
    let mut rig = Rig::new(s.clone());
    let (id, _) = rig.ask(WRITE);
    rig.pass(200 * MS);
    let mut got = rig.end(id, 0, P, Ending::Error);
    got.extend(rig.pass(100 * MS));
    assert_eq!(sends(&got), [P], "inside");

    let mut rig = Rig::new(s);
    let (id, _) = rig.ask(WRITE);
    rig.now += 600 * MS;
    let mut got = rig.end(id, 0, P, Ending::Error);
    got.extend(rig.pass(1_000 * MS));
    assert!(sends(&got).is_empty() && failed(&got) && !refused(&got), "outside");
}

#[test]
fn never_two_at_once_where_that_is_forbidden() {
    let mut s = settings();
    s.parallel = false;
    let mut rig = Rig::new(s);
    let (id, got) = rig.ask(ANY);
    let first = sends(&got)[0];
    let got = rig.pass(1_000 * MS);
    assert!(sends(&got).is_empty());
    assert!(got.contains(&Action::Cancel { request: RequestId(id), attempt: AttemptNo(0) }));
    let got = rig.end(id, 0, first, Ending::Cancelled);
    assert_eq!(sends(&got).len(), 1);
    assert_ne!(sends(&got)[0], first);
}

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
fn a_cold_server_gets_its_part_of_the_budget_and_no_burst() {
    let mut rig = Rig::new(settings());
    let ask_many = |rig: &mut Rig| {
        let mut cold = 0;
        for turn in 0..300 {
            let (id, got) = rig.ask(ANY);
            cold += usize::from(sends(&got) == [R1]);
            let server = sends(&got)[0];
            rig.pass((4 + turn % 13) * MS);
            rig.end(id, 0, server, Ending::Ok);
        }
        cold
    };
    let warm = ask_many(&mut rig);
    assert!(warm > 90, "{warm}");
    // A cold server may have 2 x 0.2 of what a warm one serves, halved.
    let mut list = [P, R1, R2].map(|id| member(id, MemberState::Ready));
    list[1].started = Some(rig.now);
    rig.list(&list);
    let cold = ask_many(&mut rig);
    assert!((10..=60).contains(&cold), "{cold}");
}

#[test]
fn an_old_report_of_a_primary_loses_to_a_newer_note_that_it_is_none() {
    let mut rig = Rig::new(settings());
    let claimed = rig.now - 10 * MS;
    let (id, _) = rig.ask(WRITE);
    let at = rig.now;
    rig.end_with(id, 0, P, Ending::Miss, note(Role::Replica, at - 900 * MS));
    let report = Report { position: Some(claimed), role: Some(Role::Primary) };
    rig.feed(Event::Probed { server: ServerId(P), ending: Ending::Ok, report: Some(report) });
    rig.pass(400 * MS);
    assert!(!sends(&rig.ask(BOUNDED).1).contains(&P), "that would be a stale read");
}

#[test]
fn odd_events_are_ignored() {
    let mut rig = Rig::new(settings());
    rig.end(77, 3, R1, Ending::Ok);
    rig.end(77, 3, 999, Ending::Error);
    rig.feed(Event::Gone { request: RequestId(5_000) });
    rig.feed(Event::Started { request: RequestId(5_000), attempt: AttemptNo(0) });
    rig.feed(Event::Timer { id: 12 });
    rig.feed(Event::Probed { server: ServerId(999), ending: Ending::Timeout, report: None });
    let mut list = [P, R1, R2].map(|id| member(id, MemberState::Ready));
    list[1].weight = f64::NAN;
    list[2].weight = 0.0;
    rig.list(&list);
    assert!(refused(&rig.ask(99).1), "a class that does not exist");
    assert_eq!(sends(&rig.ask(ANY).1).len(), 1);
    let (id, _) = rig.ask_for(ANY, |r| r.patience = -5);
    rig.pass(MS);
    assert_eq!(finals(&rig, id), 1);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings());
        for i in 0..200 {
            let (id, got) = rig.ask(i % 4);
            if let Some(server) = sends(&got).first() {
                rig.pass(7 * MS);
                rig.end(id, 0, *server, if i % 5 == 0 { Ending::Error } else { Ending::Ok });
            }
        }
        rig.all
    };
    assert_eq!(run(), run());
}

#[test]
fn a_fleet_that_is_mostly_cold_still_gets_its_budget() {
    let mut rig = Rig::new(settings());
    for _ in 0..1_000 {
        let (id, got) = rig.ask(ANY);
        let server = sends(&got)[0];
        rig.pass(10 * MS);
        rig.end(id, 0, server, Ending::Ok);
    }
    // Found in an incident: the yardstick was what warm servers served at that moment, and with
    // both replicas new there were none, so that each got one request in the fall time.
    let mut list = [P, R1, R2].map(|id| member(id, MemberState::Ready));
    list[1].started = Some(rig.now);
    list[2].started = Some(rig.now);
    rig.list(&list);
    rig.pass(4_000 * MS);
    let mut sent = 0;
    for _ in 0..60 {
        let (id, got) = rig.ask(ANY);
        for server in sends(&got) {
            sent += usize::from(server != P);
            rig.end(id, 0, server, Ending::Ok);
        }
        rig.pass(5 * MS);
    }
    assert!(sent > 6, "{sent}");
}

#[test]
fn a_fresh_read_never_goes_round_members_that_do_not_check() {
    for (checks, round) in [(Checks::Silent, false), (Checks::Refuse, true)] {
        let mut s = settings();
        s.checks = checks;
        s.classes[ANY as usize] = class(Need::Fresh, Effect::Safe);
        let mut rig = Rig::new(s);
        let (id, got) = rig.ask(ANY);
        assert_eq!(sends(&got), [P]);
        let at = rig.now;
        // The primary turns out to be none; a replica would answer with whatever it holds.
        let mut got = rig.end_with(id, 0, P, Ending::Miss, note(Role::Replica, at));
        got.extend(rig.pass(500 * MS));
        assert_eq!(!sends(&got).is_empty(), round, "{checks:?}");
    }
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
fn what_a_server_was_sent_while_warm_is_no_debt_when_it_turns_cold() {
    let mut rig = Rig::bare(settings());
    // It serves far more than the mean of all.
    let others = [R1, R2].map(|id| Member { group: GroupId(1), ..member(id, MemberState::Ready) });
    rig.list(&[vec![member(P, MemberState::Ready)], others.to_vec()].concat());
    for _ in 0..500 {
        let (id, _) = rig.ask(WRITE);
        rig.pass(5 * MS);
        rig.end(id, 0, P, Ending::Ok);
        rig.pass(5 * MS);
    }
    // Refused at once: no process runs. The one that comes next is cold, and gets a cold one's part.
    let (id, _) = rig.ask(WRITE);
    rig.end(id, 0, P, Ending::ConnectFailed);
    assert_eq!(sends(&rig.pass(1_500 * MS)), [P], "a trial");
    rig.end(id, 1, P, Ending::Ok);
    let mut sent = 0;
    for _ in 0..100 {
        sent += sends(&rig.ask(WRITE).1).len() + sends(&rig.pass(10 * MS)).len();
    }
    assert!(sent > 0, "it takes work again");
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

#[test]
fn what_no_server_has_had_is_refused_by_half_of_its_time_and_not_before_it_must() {
    // No connection comes up, or there is nobody to send to at all.
    for servers in [&[P][..], &[]] {
        let mut rig = Rig::bare(settings());
        rig.list(&servers.iter().map(|id| member(*id, MemberState::Ready)).collect::<Vec<_>>());
        let (id, got) = rig.ask(WRITE);
        for _ in sends(&got) {
            rig.end(id, 0, P, Ending::Broken);
            rig.list(&[]);
        }
        assert!(!refused(&rig.pass(900 * MS)));
        assert!(refused(&rig.pass(100 * MS)));
    }
    // One that a server turned away has been with it.
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(WRITE);
    rig.end(id, 0, P, Ending::Full);
    rig.list(&[]);
    assert!(!refused(&rig.pass(1_200 * MS)));
}
