//! Which databases hold the copies of a key: chosen by rendezvous hashing over the endpoint list, so that processes with equal lists
//! choose the same ones, whichever of them they can reach.

use crate::{Key, mix};
use birchreach_fault_injection::fault_injected;
use std::cmp::Reverse;

/// A database of the endpoint list that may hold copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Database {
    /// The caller's number for it.
    pub server: u32,
    /// The group that it belongs to.
    pub group: u32,
    /// A hash of its name in the list, the same at every process.
    pub name_hash: u64,
}

/// The databases that hold a key's copies: the first `count` by their weights, outside the key's group and no two of one group.
pub(crate) fn copy_holders(key: Key, databases: &[Database], count: usize) -> Vec<Database> {
    let weight = |database: &Database| mix(mix(key.hash ^ u64::from(key.group)) ^ database.name_hash);
    let anywhere = fault_injected!(PlacesCopiesAnywhere);
    let mut candidates: Vec<&Database> =
        databases.iter().filter(|database| database.group != key.group || anywhere).collect();
    candidates.sort_by_key(|database| (Reverse(weight(database)), database.name_hash));
    let mut holders: Vec<Database> = Vec::new();
    for candidate in candidates {
        let group_is_new = holders.iter().all(|holder| holder.group != candidate.group);
        if holders.len() < count && (group_is_new || anywhere) {
            holders.push(*candidate);
        }
    }
    holders
}
