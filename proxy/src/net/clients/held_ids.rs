//! Ids of writes that may still run although their clients have left, or at another process of this proxy. A write with such an id is
//! not started again.

use crate::hash::fnv1a;
use birchreach::Micros;
use std::collections::HashMap;

/// The most ids that are held. Further ones are not, so that clients that come and go cannot make the table grow.
const MAX_HELD_IDS: usize = 16_384;

/// Identifies a request's id by its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct IdHash(pub u64);

impl IdHash {
    /// Returns the hash of an id.
    pub(crate) fn of(id: &[u8]) -> IdHash {
        IdHash(fnv1a(id))
    }
}

/// The ids, and until when each of them is held.
#[derive(Default)]
pub(super) struct HeldIds {
    until: HashMap<IdHash, Micros>,
}

impl HeldIds {
    /// Holds an id until the deadline of its request, when nothing of it can begin any more. Returns false if there is no space.
    pub(super) fn hold(&mut self, id: IdHash, until: Micros) -> bool {
        let has_space = self.until.len() < MAX_HELD_IDS;
        if has_space {
            self.until.insert(id, until);
        }
        has_space
    }

    /// Returns whether an id is held at this time.
    pub(super) fn contains(&self, id: IdHash, now: Micros) -> bool {
        self.until.get(&id).is_some_and(|until| *until > now)
    }

    /// Returns whether no id is held.
    pub(super) fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Removes the ids that need not be held any more.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.until.retain(|_, until| *until > now);
        if self.until.is_empty() {
            self.until.shrink_to_fit();
        }
    }

    /// Iterates over the ids and the times until which they are held.
    pub(super) fn iter(&self) -> impl Iterator<Item = (IdHash, Micros)> {
        self.until.iter().map(|(id, until)| (*id, *until))
    }
}
