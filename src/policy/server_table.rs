//! The table of all known servers.
//!
//! [`ServerTable::ids`] is the only operation that visits all servers. Only complete endpoint lists need it.

use super::servers::Server;
use crate::interface::ServerId;
use std::collections::BTreeMap;
use std::ops::Index;

/// All known servers. An operation on one server costs O(log servers).
#[derive(Default)]
pub(super) struct ServerTable {
    by_id: BTreeMap<ServerId, Server>,
    /// Number of accesses to servers since the table was created, for tests.
    #[cfg(feature = "operation-counts")]
    access_count: std::cell::Cell<u64>,
}

impl ServerTable {
    pub(super) fn get(&self, id: &ServerId) -> Option<&Server> {
        self.count_accesses(1);
        self.by_id.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.count_accesses(1);
        self.by_id.get_mut(id)
    }

    pub(super) fn get_or_insert_with(
        &mut self,
        id: ServerId,
        new_server: impl FnOnce() -> Server,
    ) -> &mut Server {
        self.count_accesses(1);
        self.by_id.entry(id).or_insert_with(new_server)
    }

    pub(super) fn remove(&mut self, id: &ServerId) -> Option<Server> {
        self.count_accesses(1);
        self.by_id.remove(id)
    }

    pub(super) fn contains(&self, id: &ServerId) -> bool {
        self.by_id.contains_key(id)
    }

    /// The ids of all servers. Costs O(servers).
    pub(super) fn ids(&self) -> impl Iterator<Item = ServerId> {
        self.count_accesses(self.by_id.len() as u64);
        self.by_id.keys().copied()
    }

    #[cfg(feature = "operation-counts")]
    pub(super) fn access_count(&self) -> u64 {
        self.access_count.get()
    }

    #[cfg(feature = "operation-counts")]
    fn count_accesses(&self, count: u64) {
        self.access_count.set(self.access_count.get() + count);
    }

    #[cfg(not(feature = "operation-counts"))]
    fn count_accesses(&self, _count: u64) {}
}

impl Index<&ServerId> for ServerTable {
    type Output = Server;

    fn index(&self, id: &ServerId) -> &Server {
        self.count_accesses(1);
        &self.by_id[id]
    }
}
