//! Positions and primary candidates that are derived from another proxy's state.

use super::{PeerHints, PeerStateObserver, RemotePosition};
use birchreach::{LoadReport, Micros};
use birchreach_peer_state::{ObservationSource, Role, ServerIncarnation, TransferPart};

const SECOND: Micros = 1_000_000;

/// Creates an observer whose endpoint list has a primary `p` and a replica `r`.
fn observer(id: u64) -> PeerStateObserver {
    let mut observer = PeerStateObserver::new(id);
    for uid in ["p", "r"] {
        observer.state.add_listed_server(uid, ServerIncarnation { started_ms: 0, group: 0 });
    }
    observer
}

/// Creates an observer that observed the primary and the position of the replica at 10 s.
fn provider() -> PeerStateObserver {
    let mut provider = observer(1);
    provider.state.record_role(10 * SECOND, "p", Role::Primary, ObservationSource::ServedWrite);
    provider.state.record_position(10 * SECOND, "r", 9_900_000, 100_000, ObservationSource::ServerStatus);
    provider
}

/// Transfers the provider's state without delay.
fn transfer(provider: &PeerStateObserver, receiver: &mut PeerStateObserver, now: Micros) -> PeerHints {
    let part = TransferPart { servers: provider.state.export_facts(now).collect() };
    receiver.apply_transfer(now, now, &part)
}

#[test]
fn a_recent_remote_position_is_reported_once_and_the_likely_primary_is_a_candidate() {
    // Given a proxy, and a provider that observed the primary and a replica one second ago
    let (provider, mut receiver) = (provider(), observer(2));
    // When the proxy receives the provider's state
    let first = transfer(&provider, &mut receiver, 11 * SECOND);
    // Then the position is reported, and the primary is a candidate for a role check
    let report = LoadReport { position: Some(9_900_000), role: None };
    assert_eq!(first.positions, [RemotePosition { uid: "r".into(), report }]);
    assert_eq!(first.primary_candidates, ["p"]);
    // When the proxy receives the same state again, then no position is reported
    let second = transfer(&provider, &mut receiver, 11_100_000);
    assert!(second.positions.is_empty(), "the position was reported before");
}

#[test]
fn a_primary_observed_locally_is_not_a_candidate() {
    // Given a proxy that received the provider's state and then observed the primary itself
    let (provider, mut receiver) = (provider(), observer(2));
    transfer(&provider, &mut receiver, 11 * SECOND);
    receiver.state.record_role(11_200_000, "p", Role::Primary, ObservationSource::ServerStatus);
    // When the proxy receives the state again, then there is no candidate for a role check
    assert!(transfer(&provider, &mut receiver, 11_300_000).primary_candidates.is_empty());
}

#[test]
fn peer_state_older_than_a_minute_is_ignored() {
    // Given a provider that observed its servers a minute ago
    let (provider, mut receiver) = (provider(), observer(3));
    // When a proxy receives the provider's state, then the state yields no hints
    let hints = transfer(&provider, &mut receiver, 70 * SECOND);
    assert!(hints.positions.is_empty() && hints.primary_candidates.is_empty());
}
