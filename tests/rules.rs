//! One final answer, no effect twice, no stale read: the rules at their edges.

mod common;
use birchreach::*;
use common::*;

fn finals(rig: &Rig, id: u64) -> usize {
    let is = |a: &Action| match a {
        Action::Reject { request, .. } | Action::Fail { request } => request.0 == id,
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
    let answered = rig.all.iter().find(|(_, a)| matches!(a, Action::Reject { .. }));
    assert!(answered.is_some_and(|(at, _)| *at <= deadline));
    assert_eq!(rig.router.open_request_count(), 0);
}

#[test]
fn nothing_goes_out_after_the_final_answer() {
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(WRITE);
    rig.pass(2_000 * MS);
    rig.end(id, 0, P, AttemptOutcome::Timeout);
    assert_eq!(finals(&rig, id), 1);
    rig.pass(5_000 * MS);
    rig.end(id, 0, P, AttemptOutcome::Ok);
    assert_eq!(finals(&rig, id), 1);
    let sent = rig.all.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count();
    assert_eq!(sent, 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_sent_again() {
    for ending in [
        AttemptOutcome::Error,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Timeout,
        AttemptOutcome::Cancelled,
    ] {
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
    s.classes[0] = class(Consistency::Write, keyed());
    let mut rig = Rig::new(s.clone());
    let (id, _) = rig.ask(WRITE);
    rig.pass(200 * MS);
    let mut got = rig.end(id, 0, P, AttemptOutcome::Error);
    got.extend(rig.pass(100 * MS));
    assert_eq!(sends(&got), [P], "inside");

    let mut rig = Rig::new(s);
    let (id, _) = rig.ask(WRITE);
    rig.now += 600 * MS;
    let mut got = rig.end(id, 0, P, AttemptOutcome::Error);
    got.extend(rig.pass(1_000 * MS));
    assert!(sends(&got).is_empty() && failed(&got) && !refused(&got), "outside");
}

#[test]
fn never_two_at_once_where_that_is_forbidden() {
    let mut s = settings();
    s.hedging_allowed = false;
    let mut rig = Rig::new(s);
    let (id, got) = rig.ask(ANY);
    let first = sends(&got)[0];
    let got = rig.pass(1_000 * MS);
    assert!(sends(&got).is_empty());
    assert!(got.contains(&Action::Cancel { request: RequestId(id), attempt: AttemptNo(0) }));
    let got = rig.end(id, 0, first, AttemptOutcome::Cancelled);
    assert_eq!(sends(&got).len(), 1);
    assert_ne!(sends(&got)[0], first);
}

#[test]
fn an_old_report_of_a_primary_loses_to_a_newer_note_that_it_is_none() {
    let mut rig = Rig::new(settings());
    let claimed = rig.now - 10 * MS;
    let (id, _) = rig.ask(WRITE);
    let at = rig.now;
    rig.end_with(id, 0, P, AttemptOutcome::Ineligible, note(Role::Replica, at - 900 * MS));
    let report = LoadReport { position: Some(claimed), role: Some(Role::Primary) };
    rig.feed(Event::HealthCheckCompleted {
        server: ServerId(P),
        outcome: AttemptOutcome::Ok,
        load_report: Some(report),
    });
    rig.pass(400 * MS);
    assert!(!sends(&rig.ask(BOUNDED).1).contains(&P), "that would be a stale read");
}

#[test]
fn odd_events_are_ignored() {
    let mut rig = Rig::new(settings());
    rig.end(77, 3, R1, AttemptOutcome::Ok);
    rig.end(77, 3, 999, AttemptOutcome::Error);
    rig.feed(Event::ClientDisconnected { request: RequestId(5_000) });
    rig.feed(Event::ResponseStarted { request: RequestId(5_000), attempt: AttemptNo(0) });
    rig.feed(Event::Timer { id: 12 });
    rig.feed(Event::HealthCheckCompleted {
        server: ServerId(999),
        outcome: AttemptOutcome::Timeout,
        load_report: None,
    });
    let mut list = [P, R1, R2].map(|id| member(id, EndpointState::Ready));
    list[1].weight = f64::NAN;
    list[2].weight = 0.0;
    rig.list(&list);
    assert!(refused(&rig.ask(99).1), "a class that does not exist");
    assert_eq!(sends(&rig.ask(ANY).1).len(), 1);
    let (id, _) = rig.ask_for(ANY, |r| r.timeout = -5);
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
                rig.end(id, 0, *server, if i % 5 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Ok });
            }
        }
        rig.all
    };
    assert_eq!(run(), run());
}

#[test]
fn a_fresh_read_never_goes_round_members_that_do_not_check() {
    for (checks, round) in [(StaleReadPolicy::Served, false), (StaleReadPolicy::Rejected, true)] {
        let mut s = settings();
        s.stale_reads = checks;
        s.classes[ANY as usize] = class(Consistency::Strong, Idempotency::Idempotent);
        let mut rig = Rig::new(s);
        let (id, got) = rig.ask(ANY);
        assert_eq!(sends(&got), [P]);
        let at = rig.now;
        // The primary turns out to be none; a replica would answer with whatever it holds.
        let mut got = rig.end_with(id, 0, P, AttemptOutcome::Ineligible, note(Role::Replica, at));
        got.extend(rig.pass(500 * MS));
        assert_eq!(!sends(&got).is_empty(), round, "{checks:?}");
    }
}

#[test]
fn what_no_server_has_had_is_refused_by_half_of_its_time_and_not_before_it_must() {
    // No connection comes up, or there is nobody to send to at all.
    for servers in [&[P][..], &[]] {
        let mut rig = Rig::bare(settings());
        rig.list(&servers.iter().map(|id| member(*id, EndpointState::Ready)).collect::<Vec<_>>());
        let (id, got) = rig.ask(WRITE);
        for _ in sends(&got) {
            rig.end(id, 0, P, AttemptOutcome::ClosedBeforeExecution);
            rig.list(&[]);
        }
        assert!(!refused(&rig.pass(900 * MS)));
        assert!(refused(&rig.pass(100 * MS)));
    }
    // One that a server turned away has been with it.
    let mut rig = Rig::new(settings());
    let (id, _) = rig.ask(WRITE);
    rig.end(id, 0, P, AttemptOutcome::Overloaded);
    rig.list(&[]);
    assert!(!refused(&rig.pass(1_200 * MS)));
}
