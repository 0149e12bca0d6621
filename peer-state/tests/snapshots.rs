//! A snapshot is read with its age added to the facts, or rejected.

mod common;

use birchreach_peer_state::snapshot::{self, SnapshotError};
use birchreach_peer_state::{ObservationSource, PeerState, Role, ServerIncarnation, advice};
use common::{SECOND, server, with_list_of};

/// A state with the positions of 50 servers and one primary.
fn state() -> PeerState {
    let mut state = PeerState::new(1);
    for number in 0..50 {
        state.add_listed_server(&server(number), ServerIncarnation { started_ms: 0, group: number / 5 });
        let source = ObservationSource::ServerStatus;
        state.record_position(100 * SECOND, &server(number), 99 * SECOND, SECOND, source);
    }
    state.record_role(100 * SECOND, "s-0", Role::Primary, ObservationSource::ServedWrite);
    state
}

#[test]
fn reading_a_snapshot_adds_its_age_to_the_facts() {
    let state = state();
    let file = snapshot::write(&state, 101 * SECOND, 1_000_000);
    let mut new_proxy = with_list_of(&state, 2);

    let part = snapshot::read(&file, 1_030_000).unwrap();
    new_proxy.apply_transfer(500 * SECOND, &part);

    let primary = new_proxy.facts("s-0").unwrap().primary.unwrap();
    assert_eq!((primary.age(500 * SECOND), primary.hop_count), (31 * SECOND, 1));
    assert_eq!(advice::position(&new_proxy, "s-7").unwrap().value, 99 * SECOND);
}

#[test]
fn a_proxy_drops_its_own_observations_from_a_snapshot() {
    let state = state();
    let file = snapshot::write(&state, 101 * SECOND, 1_000_000);
    let mut restarted = with_list_of(&state, 1);

    let part = snapshot::read(&file, 1_030_000).unwrap();
    restarted.apply_transfer(500 * SECOND, &part);

    assert_eq!(restarted.servers().count(), 0);
}

#[test]
fn an_invalid_snapshot_is_rejected() {
    // Given a snapshot.
    let file = snapshot::write(&state(), 101 * SECOND, 1_000_000);

    // Then a truncated or changed file is rejected, and a file that is not a snapshot of this version.
    for length in 0..file.len() {
        assert!(snapshot::read(&file[..length], 1_000_000).is_err(), "{length} bytes");
    }
    for at in 8..file.len() {
        let mut changed = file.clone();
        changed[at] ^= 0x10;
        assert_eq!(snapshot::read(&changed, 1_000_000), Err(SnapshotError::Corrupt), "byte {at}");
    }
    assert_eq!(snapshot::read(b"{}", 0), Err(SnapshotError::UnknownFormat));
    assert_eq!(snapshot::read(b"bknow-2\n........", 0), Err(SnapshotError::UnknownFormat));

    // Then a file from the future, one that is too old, and one that is too long are rejected.
    assert_eq!(snapshot::read(&file, 999_999), Err(SnapshotError::WrittenInFuture));
    assert_eq!(snapshot::read(&file, 1_700_000), Err(SnapshotError::TooOld));
    assert_eq!(snapshot::read(&vec![0; snapshot::MAX_FILE_BYTES + 1], 0), Err(SnapshotError::TooLong));
}
