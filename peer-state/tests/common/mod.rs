//! Helpers that the test files share.
#![allow(dead_code, reason = "no test file uses all of them")]

use birchreach_peer_state::frame::{Key, Keys};
use birchreach_peer_state::{Micros, PeerState, ServerIncarnation, TransferPart};

pub(crate) const MILLISECOND: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;
/// The number of servers on the list of [`new_state`].
pub(crate) const SERVERS: u32 = 6;

/// Keys with these identifiers. The first one seals.
pub(crate) fn keys(ids: &[u32]) -> Keys {
    let secret = |id: u32| format!("secret of the key {id}").into_bytes();
    let keys = ids.iter().map(|id| Key { id: *id, secret: secret(*id) });
    Keys::new(keys.collect()).unwrap()
}

/// The name of the server with this number.
pub(crate) fn server(number: u32) -> String {
    format!("s-{number}")
}

/// A state without facts, with six listed servers in two groups of three.
pub(crate) fn new_state(observer: u64) -> PeerState {
    let mut state = PeerState::new(observer);
    for number in 0..SERVERS {
        let listed = ServerIncarnation { started_ms: 0, group: number % 2 };
        state.add_listed_server(&server(number), listed);
    }
    state
}

/// A state with the same list as another one, without facts.
pub(crate) fn with_list_of(state: &PeerState, observer: u64) -> PeerState {
    let mut other = PeerState::new(observer);
    state.listed_servers().for_each(|(uid, listed)| other.add_listed_server(uid, listed.clone()));
    other
}

/// The facts that a proxy sends at this time on its clock.
pub(crate) fn exported(state: &PeerState, now: Micros) -> TransferPart {
    TransferPart { servers: state.export_facts(now).collect() }
}
