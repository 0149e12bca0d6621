//! Which process refreshes the copies of a key now. Time is divided into slots of a refresh interval, and each slot belongs to the
//! reporter of the key that rendezvous hashing selects. Correctness does not depend on clocks or reports that agree: a slot with two
//! owners costs one more copy, a slot with none makes copies older.

use crate::{Database, Key, Micros, mix};
use birchreach_fault_injection::fault_injected;

/// A key whose copies this process refreshes now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueRefresh {
    /// The key.
    pub key: Key,
    /// The key's bytes, to be sent to databases.
    pub key_bytes: Vec<u8>,
    /// The databases that hold its copies; a copy is written to the primaries of their groups.
    pub holders: Vec<Database>,
}

/// How far a key's slots are shifted, so that the slots of all keys do not begin at once.
fn slot_offset(key: Key, interval: Micros) -> Micros {
    (mix(key.hash) % interval as u64) as Micros
}

/// The number of a key's slot at an instant.
pub(crate) fn slot_at(now: Micros, key: Key, interval: Micros) -> i64 {
    let interval = interval.max(1);
    (now + slot_offset(key, interval)).div_euclid(interval)
}

/// When the next slot of a key begins.
pub(crate) fn next_slot_at(now: Micros, key: Key, interval: Micros) -> Micros {
    let interval = interval.max(1);
    (slot_at(now, key, interval) + 1) * interval - slot_offset(key, interval)
}

/// Whether a slot of the key belongs to this origin. Where nobody reports the key, its slots belong to none.
pub(crate) fn is_own_slot(
    slot: i64,
    key: Key,
    own_origin: u64,
    reporters: impl Iterator<Item = u64>,
) -> bool {
    let weight = |origin: u64| (mix(mix(origin ^ key.hash) ^ slot as u64), origin);
    let own_weight = weight(own_origin);
    let mut weights = reporters.map(weight).peekable();
    let is_reported = weights.peek().is_some();
    is_reported && weights.all(|other_weight| other_weight <= own_weight || fault_injected!(ClaimsEverySlot))
}
