//! Helpers that several test files share.
#![allow(dead_code, reason = "no test file uses all of them")]

use birchreach_peer_state::frame::Keys;
use birchreach_peer_state::{Micros, PeerState, ServerIncarnation, TransferPart};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Servers on the list of [`new_state`].
pub const SERVERS: u32 = 6;

/// Keys with these numbers; the first seals.
pub fn keys(ids: &[u32]) -> Keys {
    let key = |id: &u32| (*id, format!("a secret with the number {id}").into_bytes());
    Keys::new(ids.iter().map(key).collect()).unwrap()
}

/// The name of a server.
pub fn server(n: u32) -> String {
    format!("s-{n}")
}

/// A state that knows nothing of the servers on its list: two groups of three.
pub fn new_state(observer: u64) -> PeerState {
    let mut state = PeerState::new(observer);
    for n in 0..SERVERS {
        state.add_listed_server(&server(n), ServerIncarnation { started_ms: 0, group: n % 2 });
    }
    state
}

/// What a proxy sends at this time on its clock.
pub fn exported(state: &PeerState, now: Micros) -> TransferPart {
    TransferPart { servers: state.export_facts(now).collect() }
}
