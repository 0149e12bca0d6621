//! Selection of the process that refreshes the copies of a key. Time is divided into slots as long as the refresh
//! interval. Rendezvous hashing over the reporters of the key selects the owner of each slot. Correctness does not
//! require that clocks or reports agree: a slot with two owners costs one redundant copy, and a slot without an owner
//! makes the copies older.

use crate::{Database, Key, Micros, mix};
use birchreach_fault_injection::fault_injected;

/// A key whose copies this process refreshes now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueRefresh {
    /// The key whose row is read.
    pub key: Key,
    /// The key's bytes, which the queries to databases contain.
    pub key_bytes: Vec<u8>,
    /// The databases that hold the copies. Each copy is written to the primary of its holder's group.
    pub holders: Vec<Database>,
}

/// The time by which a key's slots are shifted, so that the slots of different keys do not begin at the same instant.
fn slot_offset(key: Key, interval: Micros) -> Micros {
    (mix(key.hash) % interval as u64) as Micros
}

/// Returns the number of the key's slot that contains the instant `now`.
pub(crate) fn slot_at(now: Micros, key: Key, interval: Micros) -> i64 {
    let interval = interval.max(1);
    (now + slot_offset(key, interval)).div_euclid(interval)
}

pub(crate) fn next_slot_at(now: Micros, key: Key, interval: Micros) -> Micros {
    let interval = interval.max(1);
    (slot_at(now, key, interval) + 1) * interval - slot_offset(key, interval)
}

/// Returns whether this origin owns a slot of the key. The slots of a key without reporters have no owner.
pub(crate) fn owns_slot(slot: i64, key: Key, own_origin: u64, reporters: impl Iterator<Item = u64>) -> bool {
    let weight = |origin: u64| (mix(mix(origin ^ key.hash) ^ slot as u64), origin);
    let own_weight = weight(own_origin);
    let mut weights = reporters.map(weight).peekable();
    let is_reported = weights.peek().is_some();
    is_reported && weights.all(|other_weight| other_weight <= own_weight || fault_injected!(ClaimsEverySlot))
}
