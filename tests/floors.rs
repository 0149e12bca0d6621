//! What may not be crowded out: writes, and what is worth most among held work.

mod common;
use birchreach::*;
use common::*;

#[test]
fn reads_that_fall_back_leave_a_share_of_the_primary_to_writes() {
    let mut rig = Rig::new(settings());
    rig.stands(P, Role::Primary, 0);
    // Nothing is known of the replicas: bounded reads fall back, up to half of the first cap of four.
    let fell_back: Vec<u32> = (0..6).flat_map(|_| sends(&rig.ask(BOUNDED).1)).collect();
    assert_eq!(fell_back, [P, P]);
    let writes: Vec<u32> = (0..6).flat_map(|_| sends(&rig.ask(WRITE).1)).collect();
    assert_eq!(writes, [P, P], "the other half is for writes");
}

#[test]
fn of_held_writes_the_dearest_go_first() {
    let mut set = settings();
    set.classes.push(RequestClass { priority_weight: 9.0, ..set.classes[0].clone() });
    let mut rig = Rig::new(set);
    rig.stands(P, Role::Primary, 0);
    let out: Vec<u64> = (0..4).map(|_| rig.ask(WRITE).0).collect();
    assert!(sends(&rig.ask(WRITE).1).is_empty(), "at its cap: held");
    let (dear, got) = rig.ask(4);
    assert!(sends(&got).is_empty(), "held too");
    assert!(sends(&rig.ask(WRITE).1).is_empty(), "and one that came last");
    let next = rig.end(out[0], 0, P, AttemptOutcome::Ok);
    let first = next.iter().find_map(|a| match a {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    });
    assert_eq!(first, Some(dear));
}
