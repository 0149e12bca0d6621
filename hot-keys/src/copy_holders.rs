//! Selection of the databases that hold the copies of a key, by rendezvous hashing over the endpoint list. Processes
//! with equal lists select the same databases, regardless of which databases each process can reach.

use crate::{Key, mix};
use birchreach_fault_injection::fault_injected;
use std::cmp::Reverse;

/// A database of the endpoint list that may hold copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Database {
    /// The caller's number for the database. It may differ between processes.
    pub server: u32,
    /// The group that the database belongs to.
    pub group: u32,
    /// A hash of the database's name in the endpoint list, equal at all processes.
    pub name_hash: u64,
}

/// Returns the databases that hold a key's copies: at most `count`, in descending order of weight. None of them belongs
/// to the key's own group, and no two belong to the same group.
pub(crate) fn copy_holders(key: Key, databases: &[Database], count: usize) -> Vec<Database> {
    let weight = |database: &Database| mix(mix(key.hash ^ u64::from(key.group)) ^ database.name_hash);
    let ignores_groups = fault_injected!(PlacesCopiesAnywhere);
    let mut candidates: Vec<&Database> =
        databases.iter().filter(|database| database.group != key.group || ignores_groups).collect();
    candidates.sort_by_key(|database| (Reverse(weight(database)), database.name_hash));
    let mut holders: Vec<Database> = Vec::new();
    for candidate in candidates {
        let group_is_new = holders.iter().all(|holder| holder.group != candidate.group);
        if holders.len() < count && (group_is_new || ignores_groups) {
            holders.push(*candidate);
        }
    }
    holders
}
