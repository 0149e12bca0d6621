//! The order of the servers that are queried for the primary role, and the decay of suspicion.

mod common;

use birchreach_peer_state::{ObservationSource, PeerState, Role, advice};
use common::{SECOND, exported, new_state};

/// A state that observed a server's role at this time, in its status.
fn observer_of(observer: u64, seconds: i64, uid: &str, role: Role) -> PeerState {
    let mut state = new_state(observer);
    state.record_role(seconds * SECOND, uid, role, ObservationSource::ServerStatus);
    state
}

/// A state that received all facts of the others at 20 s.
fn receiver_of(observer: u64, others: &[&PeerState]) -> PeerState {
    let mut receiver = new_state(observer);
    for other in others {
        receiver.apply_transfer(20 * SECOND, &exported(other, 20 * SECOND));
    }
    receiver
}

fn candidates(state: &PeerState, seconds: i64) -> Vec<String> {
    let candidates = advice::primary_candidates(state, 0, seconds * SECOND);
    candidates.into_iter().map(|candidate| candidate.uid).collect()
}

#[test]
fn trust_in_a_primary_decays_with_hops_and_age() {
    let receiver = receiver_of(3, &[&observer_of(1, 10, "s-0", Role::Primary)]);

    assert_eq!(candidates(&receiver, 20), ["s-0"], "only this server was received");

    let trust_at = |seconds| advice::primary_candidates(&receiver, 0, seconds * SECOND)[0].trust;
    assert!(trust_at(20) < 0.3 && trust_at(60) < trust_at(20) / 10.0);
}

#[test]
fn former_primaries_are_not_the_first_candidates() {
    // s-0 was observed before a failover, s-2 after it.
    let (before, after) =
        (observer_of(1, 10, "s-0", Role::Primary), observer_of(2, 15, "s-2", Role::Primary));

    let receiver = receiver_of(3, &[&before, &after]);

    assert_eq!(candidates(&receiver, 20), ["s-2"]);
    assert!(advice::is_former_primary(&receiver, "s-0") && !advice::is_former_primary(&receiver, "s-2"));
}

#[test]
fn a_primary_later_observed_as_a_replica_is_not_a_candidate() {
    let mut receiver = receiver_of(4, &[&observer_of(1, 10, "s-0", Role::Primary)]);

    receiver.record_role(21 * SECOND, "s-0", Role::Replica, ObservationSource::ServerStatus);

    assert!(candidates(&receiver, 22).is_empty() && advice::is_former_primary(&receiver, "s-0"));
}

#[test]
fn concurrent_primaries_are_both_candidates_with_reduced_trust() {
    let before = observer_of(1, 10, "s-0", Role::Primary);
    let after = observer_of(2, 15, "s-2", Role::Primary);
    let partitioned = observer_of(5, 15, "s-4", Role::Primary);
    let receiver = receiver_of(3, &[&before, &after, &partitioned]);

    let candidates = advice::primary_candidates(&receiver, 0, 20 * SECOND);

    assert_eq!(candidates.len(), 2);
    assert!(candidates.iter().all(|candidate| candidate.trust < 0.2));
}

#[test]
fn received_suspicion_decays_faster_than_own() {
    let mut observer = new_state(1);
    observer.record_health(10 * SECOND, "s-0", true);
    let mut receiver = new_state(2);
    receiver.apply_transfer(10 * SECOND, &exported(&observer, 10 * SECOND));

    let own = advice::suspicion(&observer, "s-0", 14 * SECOND);
    let received = advice::suspicion(&receiver, "s-0", 14 * SECOND);

    assert!(own > 0.45 && received < own / 3.0, "{own} {received}");

    receiver.record_health(14 * SECOND, "s-0", false);

    assert_eq!(advice::suspicion(&receiver, "s-0", 14 * SECOND), 0.0);
}
