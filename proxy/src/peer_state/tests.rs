//! What the decisions learn from another proxy's state.

use super::{PeerHints, PeerStateObserver, RemotePosition};
use birchreach::{LoadReport, Micros};
use birchreach_peer_state::{ObservationSource, Role, ServerIncarnation, TransferPart};

const SECOND: Micros = 1_000_000;

/// An observer whose endpoint list has a primary `p` and a replica `r`.
fn observer(id: u64) -> PeerStateObserver {
    let mut observer = PeerStateObserver::new(id);
    for uid in ["p", "r"] {
        observer.state.add_listed_server(uid, ServerIncarnation { started_ms: 0, group: 0 });
    }
    observer
}

/// One that observed the primary, and the replica's position, at 10 s.
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
    // Given a proxy whose provider observed the primary and a replica a second ago
    let (provider, mut receiver) = (provider(), observer(2));
    // When it receives the provider's state
    let first = transfer(&provider, &mut receiver, 11 * SECOND);
    // Then it learns the position, and whom to ask for the primary's role
    let report = LoadReport { position: Some(9_900_000), role: None };
    assert_eq!(first.positions, [RemotePosition { uid: "r".into(), report }]);
    assert_eq!(first.primary_candidates, ["p"]);
    // When it receives the same state again, then it learns no position
    let second = transfer(&provider, &mut receiver, 11_100_000);
    assert!(second.positions.is_empty(), "the decisions have it");
}

#[test]
fn a_primary_observed_locally_is_not_a_candidate() {
    // Given a proxy that received the provider's state, and then observed the primary itself
    let (provider, mut receiver) = (provider(), observer(2));
    transfer(&provider, &mut receiver, 11 * SECOND);
    receiver.state.record_role(11_200_000, "p", Role::Primary, ObservationSource::ServerStatus);
    // When it receives the state again, then it is to ask nobody
    assert!(transfer(&provider, &mut receiver, 11_300_000).primary_candidates.is_empty());
}

#[test]
fn peer_state_older_than_a_minute_is_ignored() {
    // Given a provider that observed its servers a minute ago
    let (provider, mut receiver) = (provider(), observer(3));
    // When a proxy receives its state, then it learns nothing
    let hints = transfer(&provider, &mut receiver, 70 * SECOND);
    assert!(hints.positions.is_empty() && hints.primary_candidates.is_empty());
}
