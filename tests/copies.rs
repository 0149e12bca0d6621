//! Guests: servers of other groups that may have a copy of what a read asks for; and where background work may go.

mod common;
use birchreach::*;
use common::*;

const G: u32 = 21;
const H: u32 = 22;

/// Group 1 has a server that may have copies of group 0's rows, and another.
fn rig() -> Rig {
    let mut rig = Rig::new(settings());
    let mut list = [P, R1, R2, G, H].map(|id| member(id, EndpointState::Ready));
    for line in &mut list[3..] {
        line.group = GroupId(1);
    }
    list[4].primary = true;
    rig.list(&list);
    rig
}

fn reads(rig: &mut Rig, class: u16, times: usize, copy: Micros) -> Vec<u32> {
    let guests = vec![copy_candidate(G, copy)];
    (0..times).flat_map(|_| sends(&rig.ask_for(class, |r| r.copy_candidates = guests.clone()).1)).collect()
}

#[test]
fn a_guest_is_one_among_the_replicas() {
    let mut rig = rig();
    let now = rig.now;
    let seen = reads(&mut rig, ANY, 6, now);
    for id in [R1, R2, G] {
        assert_eq!(seen.iter().filter(|s| **s == id).count(), 2, "{seen:?}");
    }
}

#[test]
fn only_a_copy_that_is_likely_new_enough_is_tried() {
    let mut rig = rig();
    let now = rig.now;
    assert_eq!(reads(&mut rig, BOUNDED, 1, now - 301 * MS), [P], "older than the class allows");
    assert_eq!(reads(&mut rig, BOUNDED, 1, now - 299 * MS), [G]);
    let at = now - 50 * MS;
    let (id, sent) = rig.ask_for(SESSION, |r| {
        (r.last_write_position, r.copy_candidates) = (Some(at), vec![copy_candidate(G, at)])
    });
    assert_eq!(sends(&sent), [G]);
    assert_eq!(
        rig.router.required_copy_position(rig.now, RequestId(id)),
        Some(at),
        "and has to prove its session's write"
    );
    rig.pass(30 * MS);
    let (id, _) = rig.ask_for(BOUNDED, |r| r.copy_candidates = vec![copy_candidate(G, now)]);
    rig.pass(10 * MS);
    let proof = rig.router.required_copy_position(rig.now, RequestId(id));
    assert_eq!(proof, Some(rig.now - 300 * MS), "as of the moment at which it is written");
}

#[test]
fn writes_and_current_reads_never_go_there() {
    let mut rig = rig();
    let now = rig.now;
    assert_eq!(reads(&mut rig, WRITE, 4, now + 1_000 * MS), [P; 4]);
    let mut set = settings();
    set.classes[BOUNDED as usize].consistency = Consistency::Strong;
    rig.feed(Event::Settings(Box::new(set)));
    assert!(!reads(&mut rig, BOUNDED, 4, now + 1_000 * MS).contains(&G));
}

#[test]
fn a_copy_that_is_missing_costs_one_attempt() {
    let mut rig = rig();
    rig.stands(R1, Role::Replica, 0);
    let guests = vec![copy_candidate(G, rig.now)];
    let mut missed = 0;
    for _ in 0..4 {
        let (id, sent) = rig.ask_for(BOUNDED, |r| r.copy_candidates = guests.clone());
        if sends(&sent) == [G] {
            missed += 1;
            assert!(
                rig.router.may_still_send(rig.now, RequestId(id), AttemptNo(0)),
                "its own position does not matter"
            );
            assert_eq!(sends(&rig.end(id, 0, G, AttemptOutcome::Ineligible)), [R1], "at once, and elsewhere");
        }
    }
    assert!(missed >= 1);
    assert!(reads(&mut rig, ANY, 3, 0).contains(&G), "it is no suspect for that");
}

#[test]
fn a_guest_that_drains_or_is_unknown_is_none() {
    let mut rig = rig();
    let mut line = member(G, EndpointState::Draining);
    line.group = GroupId(1);
    rig.feed(Event::EndpointsChanged(EndpointList { complete: false, endpoints: vec![line] }));
    let now = rig.now;
    assert!(!reads(&mut rig, ANY, 6, now).contains(&G));
    let (_, sent) = rig.ask_for(ANY, |r| r.copy_candidates = vec![copy_candidate(99, now)]);
    assert_ne!(sends(&sent), [99]);
}

#[test]
fn background_work_yields_and_leaves_the_cold_alone() {
    let mut rig = rig();
    let spare = |rig: &Rig, write| rig.router.background_candidate(GroupId(0), write, true).map(|s| s.0);
    assert_eq!((spare(&rig, true), spare(&rig, false)), (Some(P), Some(R1)));
    assert_eq!(rig.router.background_candidate(GroupId(9), false, true), None);
    reads(&mut rig, ANY, 1, 0);
    assert_ne!(spare(&rig, false), None);
    // Clients fill half of what a server may hold for this router: it is theirs.
    let sent: Vec<u32> = (0..40).flat_map(|_| sends(&rig.ask(WRITE).1)).collect();
    assert!(sent.len() >= 2 && spare(&rig, true).is_none(), "{} writes are out", sent.len());
    assert_eq!(
        rig.router.background_candidate(GroupId(0), true, false).map(|s| s.0),
        Some(P),
        "but for what relieves it"
    );
    let mut line = member(R1, EndpointState::Ready);
    line.started_at = Some(rig.now);
    rig.feed(Event::EndpointsChanged(EndpointList { complete: false, endpoints: vec![line] }));
    assert_eq!(spare(&rig, false), Some(R2), "a cold one is left alone");
}
