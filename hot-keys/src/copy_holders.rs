//! Which databases are a key's guests: by rendezvous over the list, so that whoever has the same list chooses the same, connected or not.

use crate::{Key, mix};
use birchreach_fault_injection::fault_injected;

/// A database of the list that may be a guest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Database {
    /// The holder's own number for it.
    pub server: u32,
    pub group: u32,
    /// A number that is the same at every process, from its name in the list.
    pub name_hash: u64,
}

/// The first so many by their lots, of other groups than home and no two of one.
pub fn copy_holders(key: Key, of: &[Database], most: usize) -> Vec<Database> {
    let lot = |d: &Database| mix(mix(key.hash ^ u64::from(key.group)) ^ d.name_hash);
    let mut all: Vec<&Database> =
        of.iter().filter(|d| d.group != key.group || fault_injected!(PlacesCopiesAnywhere)).collect();
    all.sort_by_key(|d| (std::cmp::Reverse(lot(d)), d.name_hash));
    let mut taken: Vec<Database> = Vec::new();
    for d in all {
        if taken.len() < most
            && (fault_injected!(PlacesCopiesAnywhere) || taken.iter().all(|t| t.group != d.group))
        {
            taken.push(*d);
        }
    }
    taken
}
