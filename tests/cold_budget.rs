//! The budget of a cold server, as one router keeps to its part of it.

mod common;
use birchreach::*;
use common::*;

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
            rig.end(id, 0, server, AttemptOutcome::Ok);
        }
        cold
    };
    let warm = ask_many(&mut rig);
    assert!(warm > 90, "{warm}");
    // A cold server may have 2 x 0.2 of what a warm one serves, halved.
    let mut list = [P, R1, R2].map(|id| member(id, EndpointState::Ready));
    list[1].started_at = Some(rig.now);
    rig.list(&list);
    let cold = ask_many(&mut rig);
    assert!((10..=60).contains(&cold), "{cold}");
}

#[test]
fn a_fleet_that_is_mostly_cold_still_gets_its_budget() {
    let mut rig = Rig::new(settings());
    for _ in 0..1_000 {
        let (id, got) = rig.ask(ANY);
        let server = sends(&got)[0];
        rig.pass(10 * MS);
        rig.end(id, 0, server, AttemptOutcome::Ok);
    }
    // Found in an incident: the yardstick was what warm servers served at that moment, and with
    // both replicas new there were none, so that each got one request in the fall time.
    let mut list = [P, R1, R2].map(|id| member(id, EndpointState::Ready));
    list[1].started_at = Some(rig.now);
    list[2].started_at = Some(rig.now);
    rig.list(&list);
    rig.pass(4_000 * MS);
    let mut sent = 0;
    for _ in 0..60 {
        let (id, got) = rig.ask(ANY);
        for server in sends(&got) {
            sent += usize::from(server != P);
            rig.end(id, 0, server, AttemptOutcome::Ok);
        }
        rig.pass(5 * MS);
    }
    assert!(sent > 6, "{sent}");
}

#[test]
fn what_a_server_was_sent_while_warm_is_no_debt_when_it_turns_cold() {
    let mut rig = Rig::bare(settings());
    // It serves far more than the mean of all.
    let others = [R1, R2].map(|id| Endpoint { group: GroupId(1), ..member(id, EndpointState::Ready) });
    rig.list(&[vec![member(P, EndpointState::Ready)], others.to_vec()].concat());
    for _ in 0..500 {
        let (id, _) = rig.ask(WRITE);
        rig.pass(5 * MS);
        rig.end(id, 0, P, AttemptOutcome::Ok);
        rig.pass(5 * MS);
    }
    // Refused at once: no process runs. The one that comes next is cold, and gets a cold one's part.
    let (id, _) = rig.ask(WRITE);
    rig.end(id, 0, P, AttemptOutcome::ConnectFailed);
    assert_eq!(sends(&rig.pass(1_500 * MS)), [P], "a trial");
    rig.end(id, 1, P, AttemptOutcome::Ok);
    let mut sent = 0;
    for _ in 0..100 {
        sent += sends(&rig.ask(WRITE).1).len() + sends(&rig.pass(10 * MS)).len();
    }
    assert!(sent > 0, "it takes work again");
}
