//! Whose turn it is to renew a key's copies: time is cut into slots, and a slot is the reporter's with the highest lot. Clocks need not
//! agree for anything that must hold: a slot that is taken twice costs a copy, one that is taken by nobody makes copies older.

use crate::{Key, Micros, mix};
use birchreach_fault_injection::fault_injected;

/// A copy to be renewed, and where to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCopy {
    pub key: Key,
    pub key_bytes: Vec<u8>,
    /// The guests' numbers, and their groups, whose primaries take the copy.
    pub holders: Vec<(u32, u32)>,
}

/// The slot of a time; keys' slots do not all begin at once.
pub fn slot_at(now: Micros, key: Key, interval: Micros) -> i64 {
    let interval = interval.max(1);
    (now + (mix(key.hash) % interval as u64) as i64).div_euclid(interval)
}

/// When the next slot of a key begins.
pub fn next_slot_at(now: Micros, key: Key, interval: Micros) -> Micros {
    let interval = interval.max(1);
    (slot_at(now, key, interval) + 1) * interval - (mix(key.hash) % interval as u64) as i64
}

/// Is this slot of the key this origin's?
pub fn is_own_slot(slot: i64, key: Key, own: u64, reporters: impl Iterator<Item = u64>) -> bool {
    let lot = |origin: u64| (mix(mix(origin ^ key.hash) ^ slot as u64), origin);
    let mut all = reporters.map(lot).peekable();
    let own = lot(own);
    let known = all.peek().is_some();
    known && all.all(|other| other <= own || fault_injected!(ClaimsEverySlot))
}
