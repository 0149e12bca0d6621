//! Merging forms a semilattice, is limited to listed incarnations, drops the receiver's own observations, and
//! keeps a bounded number of servers.

mod common;

use birchreach_peer_state::{
    Observation, ObservationSource, PeerState, Role, ServerFacts, ServerIncarnation, advice,
};
use common::{SECOND, SERVERS, exported, new_state, server};

fn random_observation<T>(rng: &mut fastrand::Rng, value: T) -> Option<Observation<T>> {
    let sources = [
        ObservationSource::EndpointList,
        ObservationSource::LoadReport,
        ObservationSource::ServerStatus,
        ObservationSource::ServedWrite,
    ];
    rng.bool().then(|| Observation {
        value,
        // The ranges are small so that ties are frequent.
        observed_at: rng.i64(0..4),
        hop_count: rng.u8(0..3),
        source: sources[rng.usize(0..4)],
        observer: rng.u64(0..3),
    })
}

fn random_facts(rng: &mut fastrand::Rng) -> ServerFacts {
    let mut facts = ServerFacts::new(rng.u64(0..2), rng.u32(0..2));
    let (position, lag, latency) = (rng.i64(0..3), rng.i64(0..3), rng.i64(0..3));
    facts.position = random_observation(rng, position);
    facts.lag = random_observation(rng, lag);
    facts.latency = random_observation(rng, latency);
    facts.primary = random_observation(rng, ());
    facts.replica = random_observation(rng, ());
    let (suspect, slow_start) = (rng.bool(), rng.u16(0..3));
    facts.suspect = random_observation(rng, suspect);
    facts.slow_start_permille = random_observation(rng, slow_start);
    facts
}

#[test]
fn merges_are_a_semilattice() {
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (first, second, third) = (random_facts(&mut rng), random_facts(&mut rng), random_facts(&mut rng));

        let both = first.merge(&second);

        assert_eq!(both, second.merge(&first), "seed {seed}: commutative");
        assert_eq!(both.merge(&third), first.merge(&second.merge(&third)), "seed {seed}: associative");
        assert_eq!(first.merge(&first), first, "seed {seed}: idempotent");
        assert_eq!(both.merge(&second), both, "seed {seed}: merged twice");
    }
}

/// A provider that observed the position and role of `s-0`, whose start time is 5 ms.
fn provider_of_incarnation_5() -> PeerState {
    let mut provider = new_state(1);
    provider.add_listed_server("s-0", ServerIncarnation { started_ms: 5, group: 0 });
    let source = ObservationSource::ServerStatus;
    provider.record_position(10 * SECOND, "s-0", 9 * SECOND, SECOND, source);
    provider.record_role(10 * SECOND, "s-0", Role::Primary, ObservationSource::ServedWrite);
    provider
}

#[test]
fn another_incarnation_is_another_server() {
    let part = exported(&provider_of_incarnation_5(), 11 * SECOND);

    // A later incarnation, an earlier incarnation, and another group.
    for (started_ms, group) in [(6, 0), (0, 0), (5, 1)] {
        let listed = ServerIncarnation { started_ms, group };
        let mut receiver = new_state(2);
        receiver.add_listed_server("s-0", listed.clone());

        receiver.apply_transfer(11 * SECOND, &part);

        assert_eq!((receiver.facts("s-0"), receiver.dropped), (None, 1), "{listed:?}");
    }
}

#[test]
fn facts_are_discarded_with_their_incarnation() {
    // Given a proxy that received facts of a server.
    let part = exported(&provider_of_incarnation_5(), 11 * SECOND);
    let mut receiver = new_state(2);
    receiver.add_listed_server("s-0", ServerIncarnation { started_ms: 5, group: 0 });
    receiver.apply_transfer(11 * SECOND, &part);
    assert!(advice::position(&receiver, "s-0").is_some());

    // When a later incarnation is listed, then the facts are discarded.
    receiver.add_listed_server("s-0", ServerIncarnation { started_ms: 7, group: 0 });
    assert_eq!(receiver.facts("s-0"), None);

    // When the former incarnation is listed again, then the facts stay discarded.
    receiver.add_listed_server("s-0", ServerIncarnation { started_ms: 5, group: 0 });
    assert_eq!(receiver.facts("s-0"), None, "discarded facts must not return");
}

/// A state that observed `s-0` as primary at 10 s, and a state that received the observation at 11 s.
fn observer_and_receiver() -> (PeerState, PeerState) {
    let mut observer = new_state(1);
    observer.record_role(10 * SECOND, "s-0", Role::Primary, ObservationSource::ServerStatus);
    let mut receiver = new_state(2);
    receiver.apply_transfer(11 * SECOND, &exported(&observer, 11 * SECOND));
    (observer, receiver)
}

#[test]
fn own_observations_do_not_come_back() {
    let (_, receiver) = observer_and_receiver();
    let mut restarted = new_state(1);

    restarted.apply_transfer(12 * SECOND, &exported(&receiver, 12 * SECOND));

    assert_eq!(restarted.facts("s-0"), None);
}

#[test]
fn an_observation_is_forwarded_a_limited_number_of_times() {
    let (_, mut last) = observer_and_receiver();

    for observer in 3..8 {
        let mut next = new_state(observer);
        next.apply_transfer(12 * SECOND, &exported(&last, 12 * SECOND));
        last = next;
    }

    assert_eq!(last.facts("s-0"), None);
}

#[test]
fn tables_are_bounded() {
    // When more servers than the maximum are listed, and one with too long a name.
    let mut state = PeerState::new(1);
    let listed = ServerIncarnation { started_ms: 0, group: 0 };
    for number in 0..10_000 {
        state.add_listed_server(&server(number), listed.clone());
        state.record_role(SECOND, &server(number), Role::Replica, ObservationSource::ServerStatus);
    }
    state.add_listed_server(&"x".repeat(1000), listed);

    // Then the maximum number of servers is kept.
    assert_eq!((state.listed_servers().count(), state.servers().count()), (4096, 4096));

    // When another proxy receives all of them, then it keeps only those on its list.
    let mut receiver = new_state(2);
    receiver.apply_transfer(SECOND, &exported(&state, SECOND));
    assert!(receiver.servers().count() <= SERVERS as usize);
}
