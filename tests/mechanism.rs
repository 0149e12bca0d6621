//! The ordinary path, bullet by bullet.

mod common;
use birchreach::*;
use common::*;

#[test]
fn writes_go_to_the_primary_and_any_reads_to_replicas() {
    let mut rig = Rig::new(settings());
    for _ in 0..4 {
        assert_eq!(sends(&rig.ask(WRITE).1), [P]);
    }
    let mut seen: Vec<u32> = (0..4).flat_map(|_| sends(&rig.ask(ANY).1)).collect();
    seen.sort_unstable();
    assert_eq!(seen, [R1, R1, R2, R2], "equal counts are kept equal");
}

#[test]
fn the_count_is_per_unit_weight() {
    let mut rig = Rig::bare(settings());
    let mut list = [P, R1, R2].map(|id| member(id, MemberState::Ready));
    list[1].weight = 3.0;
    rig.list(&list);
    let seen: Vec<u32> = (0..4).flat_map(|_| sends(&rig.ask(ANY).1)).collect();
    assert_eq!(seen.iter().filter(|s| **s == R1).count(), 3);
}

#[test]
fn own_zone_first_while_no_busier() {
    let mut rig = Rig::bare(settings());
    let mut list = [P, R1, R2].map(|id| member(id, MemberState::Ready));
    list[1].zone = ZoneId(1);
    rig.list(&list);
    assert_eq!(sends(&rig.ask(ANY).1), [R2]);
    assert_eq!(sends(&rig.ask(ANY).1), [R1]);
}

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
    assert_eq!(sends(&rig.ask_for(SESSION, |r| r.written = Some(at)).1), [R2]);
    assert_eq!(sends(&rig.ask_for(SESSION, |r| r.written = Some(at + 1)).1), [P]);
    assert_ne!(sends(&rig.ask(SESSION).1), [P], "without a write any replica will do");
}

#[test]
fn remembered_writes_bind_the_session_even_when_the_client_has_left() {
    let mut s = settings();
    s.tokens = Tokens::Remembered;
    let mut rig = Rig::new(s);
    rig.stands(R1, Role::Replica, 0);
    rig.stands(R2, Role::Replica, 0);
    let (id, _) = rig.ask_for(WRITE, |r| r.session = Some(SessionId(9)));
    rig.feed(Event::Gone { request: RequestId(id) });
    let commit = rig.now + MS;
    rig.pass(5 * MS);
    rig.end_with(id, 0, P, Ending::Ok, note(Role::Primary, commit));
    assert_eq!(sends(&rig.ask_for(SESSION, |r| r.session = Some(SessionId(9))).1), [P]);
    assert_ne!(sends(&rig.ask_for(SESSION, |r| r.session = Some(SessionId(8))).1), [P]);
}

#[test]
fn a_fresh_router_probes_a_group_at_its_first_read_only() {
    let mut s = settings();
    s.may_probe = true;
    let mut rig = Rig::bare(s);
    let probes = |got: &[Action]| got.iter().filter(|a| matches!(a, Action::Probe { .. })).count();
    let got = rig.list(&[P, R1, R2].map(|id| member(id, MemberState::Ready)));
    assert_eq!(probes(&got), 0, "hundreds of routers start at once");
    assert!(probes(&rig.ask(BOUNDED).1) > 0);
}

#[test]
fn where_servers_check_the_furthest_ahead_is_tried_before_the_primary() {
    let mut s = settings();
    s.checks = Checks::Refuse;
    let mut rig = Rig::new(s);
    rig.stands(R1, Role::Replica, 900 * MS);
    rig.stands(R2, Role::Replica, 800 * MS);
    rig.pass(600 * MS);
    let (id, got) = rig.ask(BOUNDED);
    assert_eq!(sends(&got), [R2]);
    let at = rig.now - 800 * MS;
    assert_eq!(sends(&rig.end_with(id, 0, R2, Ending::Miss, note(Role::Replica, at))), [R1]);
    assert_eq!(sends(&rig.end_with(id, 1, R1, Ending::Miss, note(Role::Replica, at))), [P]);
}

#[test]
fn a_write_goes_once_round_the_members_and_is_then_held() {
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(WRITE);
    let at = rig.now;
    let mut seen = vec![P];
    for attempt in 0..3 {
        rig.pass(5 * MS);
        let server = seen[attempt as usize];
        let got = rig.end_with(id, attempt, server, Ending::Miss, note(Role::Replica, at));
        seen.extend(sends(&got));
        if seen.len() < attempt as usize + 2 {
            seen.extend(sends(&rig.pass(100 * MS)));
        }
        if attempt == 2 {
            assert!(!refused(&got) && !failed(&got), "held, not given up");
        }
    }
    seen.truncate(3);
    seen.sort_unstable();
    assert_eq!(seen, [P, R1, R2]);
}

#[test]
fn a_held_write_follows_the_new_primary_at_once() {
    let mut rig = Rig::new(settings());
    let (first, _) = rig.ask(WRITE);
    rig.end(first, 0, P, Ending::ConnectFailed);
    let (read, got) = rig.ask(ANY);
    let server = sends(&got)[0];
    rig.pass(5 * MS);
    let at = rig.now;
    let got = rig.end_with(read, 0, server, Ending::Ok, note(Role::Primary, at));
    let later = rig.pass(300 * MS);
    assert!(sends(&got).contains(&server) || sends(&later).contains(&server));
}

/// Fills the caps of the fixture's servers with `any` reads; gives the ids and where they went.
fn fill(rig: &mut Rig) -> Vec<(u64, u32)> {
    let mut out = Vec::new();
    loop {
        let (id, got) = rig.ask(ANY);
        match sends(&got).first() {
            Some(server) => out.push((id, *server)),
            None => return out,
        }
    }
}

#[test]
fn at_all_caps_a_read_is_held_and_the_newest_goes_first() {
    let mut rig = Rig::new(settings());
    let out = fill(&mut rig);
    let (newest, got) = rig.ask(ANY);
    assert!(sends(&got).is_empty() && !refused(&got));
    let (id, server) = out[0];
    let got = rig.end(id, 0, server, Ending::Ok);
    let goes = |a: &Action| matches!(a, Action::Send { request, .. } if request.0 == newest);
    assert!(got.iter().any(goes), "found in an incident: oldest first starts what cannot end in time");
}

#[test]
fn a_held_read_is_refused_while_a_return_may_help_not_started_too_late() {
    let mut s = settings();
    s.classes[ANY as usize].late_worth = 0.0;
    let mut rig = Rig::new(s);
    fill(&mut rig);
    let (id, _) = rig.ask(ANY);
    let asked = rig.now;
    rig.pass(1_000 * MS);
    let refused = |(_, a): &&(Micros, Action)| matches!(a, Action::Refuse { request, .. } if request.0 == id);
    let at = rig.all.iter().find(refused).unwrap().0;
    assert!(at < asked + 500 * MS, "before the aim, not at it: {}", at - asked);
}

#[test]
fn a_server_that_answers_full_rests_and_its_cap_shrinks() {
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(ANY);
    let full = sends(&got)[0];
    rig.pass(5 * MS);
    let got = rig.end(id, 0, full, Ending::Full);
    let other = if full == R1 { R2 } else { R1 };
    assert_eq!(sends(&got), [other]);
    // It holds nothing and so looks idle; without a rest it would draw every read.
    assert_eq!(sends(&rig.ask(ANY).1), [other]);
}

#[test]
fn a_server_that_errs_at_once_stops_drawing_reads() {
    let mut rig = Rig::new(settings());
    let mut bad = 0;
    for _ in 0..40 {
        let (id, got) = rig.ask(ANY);
        let mut server = sends(&got)[0];
        let mut attempt = 0;
        rig.pass(5 * MS);
        while server == R1 {
            bad += 1;
            let got = rig.end(id, attempt, R1, Ending::Error);
            attempt += 1;
            server = sends(&got)[0];
        }
        rig.pass(5 * MS);
        rig.end(id, attempt, server, Ending::Ok);
    }
    assert!(bad <= 5, "{bad}");
}

#[test]
fn a_server_that_answers_nothing_is_avoided_and_a_read_moves_on() {
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(ANY);
    let mute = sends(&got)[0];
    let later = rig.pass(400 * MS);
    assert_eq!(sends(&later).len(), 1, "a second copy, as this class and site allow it");
    assert_ne!(sends(&later)[0], mute);
    let server = sends(&later)[0];
    rig.end(id, 1, server, Ending::Ok);
    for _ in 0..3 {
        assert_ne!(sends(&rig.ask(ANY).1), [mute]);
    }
}

#[test]
fn lost_attempts_give_their_places_back() {
    let mut rig = Rig::new(settings());
    // Found in an incident: answers got lost, their attempts filled the primary's cap until the
    // clients' deadline, and the primary got nothing for seconds.
    for _ in 0..4 {
        assert_eq!(sends(&rig.ask(WRITE).1), [P], "each of these is lost");
        rig.pass(2 * MS);
    }
    assert!(sends(&rig.ask(WRITE).1).is_empty(), "the first cap is full");
    let (id, at) = (1, rig.now);
    rig.end_with(id, 0, P, Ending::Ok, note(Role::Primary, at));
    // The held write went out and is answered: the server lives, what was sent before it is lost.
    rig.end_with(5, 0, P, Ending::Ok, note(Role::Primary, at));
    rig.pass(1_500 * MS);
    let sent = (0..3).filter(|_| sends(&rig.ask(WRITE).1) == [P]).count();
    assert_eq!(sent, 3);
}

#[test]
fn a_replica_known_to_lag_too_far_is_tried_now_and_then_only() {
    let mut s = settings();
    s.checks = Checks::Refuse;
    let mut rig = Rig::new(s);
    let mut tries = 0;
    for i in 0..20 {
        let (id, got) = rig.ask(BOUNDED);
        let (mut server, mut attempt) = (sends(&got)[0], 0);
        while server != P {
            tries += 1;
            let at = rig.now - 900 * MS;
            let got = rig.end_with(id, attempt, server, Ending::Miss, note(Role::Replica, at));
            (server, attempt) = (sends(&got)[0], attempt + 1);
        }
        rig.pass(MS);
        rig.end(id, attempt, P, Ending::Ok);
        assert!(i > 0 || tries == 2, "the first is tried at each");
    }
    // Found in an incident: thousands of misses in seconds while a group lagged.
    assert_eq!(tries, 2);
}

#[test]
fn a_read_asks_a_replica_for_its_position_before_it_falls_on_the_primary() {
    let mut s = settings();
    s.may_probe = true;
    let mut rig = Rig::new(s);
    let asked = |got: &[Action]| {
        got.iter().find_map(|a| if let Action::Probe { server } = a { Some(server.0) } else { None })
    };
    let (id, got) = rig.ask(BOUNDED);
    assert!(sends(&got).is_empty(), "it waits");
    let first = asked(&got).expect("a probe");
    assert_eq!(sends(&rig.stands(first, Role::Replica, 100 * MS)), [first]);
    rig.end(id, 0, first, Ending::Ok);

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
fn ties_at_idle_servers_are_drawn_by_weight() {
    let mut rig = Rig::bare(settings());
    let weighted = |id, weight| Member { weight, ..member(id, MemberState::Ready) };
    rig.list(&[weighted(P, 1.0), weighted(R1, 3.0), weighted(R2, 1.0)]);
    let mut heavy = 0;
    for _ in 0..400 {
        let (id, got) = rig.ask(ANY);
        heavy += usize::from(sends(&got) == [R1]);
        rig.end(id, 0, sends(&got)[0], Ending::Ok);
    }
    assert!((260..340).contains(&heavy), "{heavy} of 400 to three quarters of the weight");
}

#[test]
fn a_read_that_any_replica_may_answer_leaves_the_fresh_one_to_bounded_reads() {
    let mut rig = Rig::new(settings());
    rig.stands(R1, Role::Replica, 0);
    rig.stands(R2, Role::Replica, 400 * MS);
    let went = [ANY, ANY, ANY].map(|class| sends(&rig.ask(class).1)[0]);
    assert_eq!(went, [R2, R2, R1], "one more at the one that is of no use to bounded reads, then the fewest");
}

#[test]
fn a_replica_that_fell_silent_draws_no_more_of_such_reads_than_others() {
    let mut rig = Rig::new(settings());
    rig.stands(R1, Role::Replica, 0);
    rig.stands(R2, Role::Replica, 0);
    let mut silent = 0;
    for _ in 0..40 {
        rig.pass(50 * MS);
        rig.stands(R1, Role::Replica, 0);
        let (id, got) = rig.ask(ANY);
        silent += usize::from(sends(&got) == [R2]);
        rig.end(id, 0, sends(&got)[0], Ending::Ok);
    }
    assert!((8..32).contains(&silent), "not heard of is not known to be behind: {silent} of 40");
}

/// Settings under which no second copy may go out beside the first.
fn one_at_a_time() -> Settings {
    Settings { parallel: false, may_probe: true, ..settings() }
}

fn cancels(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count()
}

#[test]
fn what_only_takes_long_is_not_called_off_where_no_second_copy_may_go() {
    let mut rig = Rig::new(one_at_a_time());
    let (id, got) = rig.ask(ANY);
    let server = sends(&got)[0];
    // The request outlasts the mean by far; its server is asked, and answers beside its queue.
    let got = rig.pass(400 * MS);
    assert!(got.contains(&Action::Probe { server: ServerId(server) }) && cancels(&got) == 0);
    rig.feed(Event::Probed { server: ServerId(server), ending: Ending::Ok, report: None });
    assert_eq!(
        cancels(&rig.pass(1_500 * MS)),
        0,
        "found on a quiet day: redone from the start, it ends too late"
    );
    assert!(!rig.router.avoids(rig.now, ServerId(server)), "nor is its server shunned for it");
    assert!(!refused(&rig.end(id, 0, server, Ending::Ok)));
}

#[test]
fn a_server_that_is_silent_to_a_probe_too_loses_its_read_to_another() {
    let mut rig = Rig::new(one_at_a_time());
    let (id, got) = rig.ask(ANY);
    let server = sends(&got)[0];
    rig.pass(400 * MS);
    rig.feed(Event::Probed { server: ServerId(server), ending: Ending::Timeout, report: None });
    let got = rig.pass(300 * MS);
    assert_eq!(cancels(&got), 1);
    assert!(rig.router.avoids(rig.now, ServerId(server)));
    let got = rig.end(id, 0, server, Ending::Cancelled);
    assert_eq!(sends(&got).len(), 1);
    assert_ne!(sends(&got), [server]);
}

/// A read sent before a probe of its server ended so, and what came of it a while later.
fn after_a_probe(rig: &mut Rig, ending: Ending) -> (u64, u32, Vec<Action>) {
    let (id, got) = rig.ask(ANY);
    let server = sends(&got)[0];
    rig.pass(400 * MS);
    rig.feed(Event::Probed { server: ServerId(server), ending, report: None });
    (id, server, rig.pass(300 * MS))
}

#[test]
fn a_server_that_turns_a_probe_away_is_alive_and_its_read_is_not_called_off() {
    for ending in [Ending::Full, Ending::Error, Ending::Miss] {
        let mut rig = Rig::new(one_at_a_time());
        let (_, server, got) = after_a_probe(&mut rig, ending);
        assert_eq!(cancels(&got), 0, "{ending:?} is an answer");
        assert!(!rig.router.avoids(rig.now, ServerId(server)));
    }
}

#[test]
fn a_probe_that_failed_long_ago_is_no_silence_to_what_is_sent_later() {
    let mut rig = Rig::bare(one_at_a_time());
    rig.list(&[P, R1].map(|id| member(id, MemberState::Ready)));
    let (id, server, got) = after_a_probe(&mut rig, Ending::Timeout);
    assert_eq!((server, cancels(&got)), (R1, 1));
    // It lives after all: the answer came just before the read was called off.
    rig.end(id, 0, R1, Ending::Ok);
    rig.pass(1_000 * MS);
    assert_eq!(sends(&rig.ask(ANY).1), [R1]);
    let got = rig.pass(700 * MS);
    assert_eq!(cancels(&got), 0, "it was not asked about this one yet");
    assert!(got.contains(&Action::Probe { server: ServerId(R1) }));
}

#[test]
fn a_read_whose_answer_was_lost_goes_out_again_once_the_first_is_called_off() {
    let mut rig = Rig::new(one_at_a_time());
    let (lost, got) = rig.ask_for(ANY, |r| r.patience = 20_000 * MS);
    let server = sends(&got)[0];
    rig.pass(10 * MS);
    // Its server answers what it was sent later; the other one is as busy.
    for _ in 0..12 {
        let asked = [rig.ask(ANY), rig.ask(ANY)];
        rig.pass(10 * MS);
        for (id, got) in asked {
            rig.end(id, 0, sends(&got)[0], Ending::Ok);
        }
    }
    let mut called_off = 0;
    for _ in 0..400 {
        called_off += cancels(&rig.pass(5 * MS));
        if called_off > 0 {
            break;
        }
    }
    assert_eq!(called_off, 1);
    assert!(!rig.router.avoids(rig.now, ServerId(server)), "it answers others");
    let got = rig.end(lost, 0, server, Ending::Cancelled);
    assert_eq!(sends(&got).len(), 1, "{got:?}");
}

#[test]
fn a_read_pays_no_probe_while_the_primary_is_seen_at_ease() {
    let asks = |took: Micros| {
        let mut rig = Rig::new(Settings { may_probe: true, ..settings() });
        for _ in 0..20 {
            let (id, _) = rig.ask(WRITE);
            rig.pass(took);
            rig.end(id, 0, P, Ending::Ok);
        }
        rig.ask(BOUNDED).1.iter().any(|a| matches!(a, Action::Probe { .. }))
    };
    // Of an aim of 500 ms.
    assert_eq!([50 * MS, 150 * MS].map(asks), [false, true]);
}

#[test]
fn a_read_pays_a_probe_again_once_one_that_fell_back_was_late() {
    let mut rig = Rig::new(Settings { may_probe: true, ..settings() });
    for _ in 0..20 {
        let (id, _) = rig.ask(WRITE);
        rig.pass(MS);
        rig.end(id, 0, P, Ending::Ok);
    }
    let (id, got) = rig.ask(BOUNDED);
    assert_eq!(sends(&got), [P]);
    rig.pass(600 * MS);
    rig.end(id, 0, P, Ending::Ok);
    for _ in 0..10 {
        let (id, _) = rig.ask(WRITE);
        rig.pass(MS);
        rig.end(id, 0, P, Ending::Ok);
    }
    assert!(rig.ask(BOUNDED).1.iter().any(|a| matches!(a, Action::Probe { .. })));
}
