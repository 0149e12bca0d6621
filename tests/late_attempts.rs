//! Attempts that are late, lost or called off.

mod common;
use birchreach::*;
use common::*;

#[test]
fn a_server_that_answers_nothing_is_avoided_and_a_read_moves_on() {
    let mut rig = Rig::new(settings());
    let (id, got) = rig.ask(ANY);
    let mute = sends(&got)[0];
    let later = rig.pass(400 * MS);
    assert_eq!(sends(&later).len(), 1, "a second copy, as this class and site allow it");
    assert_ne!(sends(&later)[0], mute);
    let server = sends(&later)[0];
    rig.end(id, 1, server, AttemptOutcome::Ok);
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
    rig.end_with(id, 0, P, AttemptOutcome::Ok, note(Role::Primary, at));
    // The held write went out and is answered: the server lives, what was sent before it is lost.
    rig.end_with(5, 0, P, AttemptOutcome::Ok, note(Role::Primary, at));
    rig.pass(1_500 * MS);
    let sent = (0..3).filter(|_| sends(&rig.ask(WRITE).1) == [P]).count();
    assert_eq!(sent, 3);
}

/// Settings under which no second copy may go out beside the first.
fn one_at_a_time() -> Settings {
    Settings { hedging_allowed: false, health_checks_allowed: true, ..settings() }
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
    assert!(got.contains(&Action::HealthCheck { server: ServerId(server) }) && cancels(&got) == 0);
    rig.feed(Event::HealthCheckCompleted {
        server: ServerId(server),
        outcome: AttemptOutcome::Ok,
        load_report: None,
    });
    assert_eq!(
        cancels(&rig.pass(1_500 * MS)),
        0,
        "found on a quiet day: redone from the start, it ends too late"
    );
    assert!(!rig.router.is_avoided(rig.now, ServerId(server)), "nor is its server shunned for it");
    assert!(!refused(&rig.end(id, 0, server, AttemptOutcome::Ok)));
}

#[test]
fn a_server_that_is_silent_to_a_probe_too_loses_its_read_to_another() {
    let mut rig = Rig::new(one_at_a_time());
    let (id, got) = rig.ask(ANY);
    let server = sends(&got)[0];
    rig.pass(400 * MS);
    rig.feed(Event::HealthCheckCompleted {
        server: ServerId(server),
        outcome: AttemptOutcome::Timeout,
        load_report: None,
    });
    let got = rig.pass(300 * MS);
    assert_eq!(cancels(&got), 1);
    assert!(rig.router.is_avoided(rig.now, ServerId(server)));
    let got = rig.end(id, 0, server, AttemptOutcome::Cancelled);
    assert_eq!(sends(&got).len(), 1);
    assert_ne!(sends(&got), [server]);
}

/// A read sent before a probe of its server ended so, and what came of it a while later.
fn after_a_probe(rig: &mut Rig, ending: AttemptOutcome) -> (u64, u32, Vec<Action>) {
    let (id, got) = rig.ask(ANY);
    let server = sends(&got)[0];
    rig.pass(400 * MS);
    rig.feed(Event::HealthCheckCompleted { server: ServerId(server), outcome: ending, load_report: None });
    (id, server, rig.pass(300 * MS))
}

#[test]
fn a_server_that_turns_a_probe_away_is_alive_and_its_read_is_not_called_off() {
    for ending in [AttemptOutcome::Overloaded, AttemptOutcome::Error, AttemptOutcome::Ineligible] {
        let mut rig = Rig::new(one_at_a_time());
        let (_, server, got) = after_a_probe(&mut rig, ending);
        assert_eq!(cancels(&got), 0, "{ending:?} is an answer");
        assert!(!rig.router.is_avoided(rig.now, ServerId(server)));
    }
}

#[test]
fn a_probe_that_failed_long_ago_is_no_silence_to_what_is_sent_later() {
    let mut rig = Rig::bare(one_at_a_time());
    rig.list(&[P, R1].map(|id| member(id, EndpointState::Ready)));
    let (id, server, got) = after_a_probe(&mut rig, AttemptOutcome::Timeout);
    assert_eq!((server, cancels(&got)), (R1, 1));
    // It lives after all: the answer came just before the read was called off.
    rig.end(id, 0, R1, AttemptOutcome::Ok);
    rig.pass(1_000 * MS);
    assert_eq!(sends(&rig.ask(ANY).1), [R1]);
    let got = rig.pass(700 * MS);
    assert_eq!(cancels(&got), 0, "it was not asked about this one yet");
    assert!(got.contains(&Action::HealthCheck { server: ServerId(R1) }));
}

#[test]
fn a_read_whose_answer_was_lost_goes_out_again_once_the_first_is_called_off() {
    let mut rig = Rig::new(one_at_a_time());
    let (lost, got) = rig.ask_for(ANY, |r| r.timeout = 20_000 * MS);
    let server = sends(&got)[0];
    rig.pass(10 * MS);
    // Its server answers what it was sent later; the other one is as busy.
    for _ in 0..12 {
        let asked = [rig.ask(ANY), rig.ask(ANY)];
        rig.pass(10 * MS);
        for (id, got) in asked {
            rig.end(id, 0, sends(&got)[0], AttemptOutcome::Ok);
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
    assert!(!rig.router.is_avoided(rig.now, ServerId(server)), "it answers others");
    let got = rig.end(lost, 0, server, AttemptOutcome::Cancelled);
    assert_eq!(sends(&got).len(), 1, "{got:?}");
}
