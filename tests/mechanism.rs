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
    let mut list = [P, R1, R2].map(|id| member(id, EndpointState::Ready));
    list[1].weight = 3.0;
    rig.list(&list);
    let seen: Vec<u32> = (0..4).flat_map(|_| sends(&rig.ask(ANY).1)).collect();
    assert_eq!(seen.iter().filter(|s| **s == R1).count(), 3);
}

#[test]
fn own_zone_first_while_no_busier() {
    let mut rig = Rig::bare(settings());
    let mut list = [P, R1, R2].map(|id| member(id, EndpointState::Ready));
    list[1].zone = ZoneId(1);
    rig.list(&list);
    assert_eq!(sends(&rig.ask(ANY).1), [R2]);
    assert_eq!(sends(&rig.ask(ANY).1), [R1]);
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
        let got = rig.end_with(id, attempt, server, AttemptOutcome::Ineligible, note(Role::Replica, at));
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
    rig.end(first, 0, P, AttemptOutcome::ConnectFailed);
    let (read, got) = rig.ask(ANY);
    let server = sends(&got)[0];
    rig.pass(5 * MS);
    let at = rig.now;
    let got = rig.end_with(read, 0, server, AttemptOutcome::Ok, note(Role::Primary, at));
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
    let got = rig.end(id, 0, server, AttemptOutcome::Ok);
    let goes = |a: &Action| matches!(a, Action::Send { request, .. } if request.0 == newest);
    assert!(got.iter().any(goes), "found in an incident: oldest first starts what cannot end in time");
}

#[test]
fn a_held_read_is_refused_while_a_return_may_help_not_started_too_late() {
    let mut s = settings();
    s.classes[ANY as usize].late_weight_fraction = 0.0;
    let mut rig = Rig::new(s);
    fill(&mut rig);
    let (id, _) = rig.ask(ANY);
    let asked = rig.now;
    rig.pass(1_000 * MS);
    let refused = |(_, a): &&(Micros, Action)| matches!(a, Action::Reject { request, .. } if request.0 == id);
    let at = rig.all.iter().find(refused).unwrap().0;
    assert!(at < asked + 500 * MS, "before the aim, not at it: {}", at - asked);
}

#[test]
fn a_server_that_answers_full_rests_and_its_cap_shrinks() {
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(ANY);
    let full = sends(&got)[0];
    rig.pass(5 * MS);
    let got = rig.end(id, 0, full, AttemptOutcome::Overloaded);
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
            let got = rig.end(id, attempt, R1, AttemptOutcome::Error);
            attempt += 1;
            server = sends(&got)[0];
        }
        rig.pass(5 * MS);
        rig.end(id, attempt, server, AttemptOutcome::Ok);
    }
    assert!(bad <= 5, "{bad}");
}

#[test]
fn ties_at_idle_servers_are_drawn_by_weight() {
    let mut rig = Rig::bare(settings());
    let weighted = |id, weight| Endpoint { weight, ..member(id, EndpointState::Ready) };
    rig.list(&[weighted(P, 1.0), weighted(R1, 3.0), weighted(R2, 1.0)]);
    let mut heavy = 0;
    for _ in 0..400 {
        let (id, got) = rig.ask(ANY);
        heavy += usize::from(sends(&got) == [R1]);
        rig.end(id, 0, sends(&got)[0], AttemptOutcome::Ok);
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
        rig.end(id, 0, sends(&got)[0], AttemptOutcome::Ok);
    }
    assert!((8..32).contains(&silent), "not heard of is not known to be behind: {silent} of 40");
}
