//! The pool's connections by key.

use super::super::ids::ConnectionKey;
use super::connection::Connection;
use slab::Slab;
use std::ops::{Index, IndexMut};

/// Connections by key, as a slab has them.
#[derive(Default)]
pub(super) struct ConnectionTable(Slab<Connection>);

impl ConnectionTable {
    /// How many connections there are.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether a connection has this key.
    pub(super) fn contains(&self, key: ConnectionKey) -> bool {
        self.0.contains(key.0)
    }

    /// The connection with this key, if there is one.
    pub(super) fn get(&self, key: ConnectionKey) -> Option<&Connection> {
        self.0.get(key.0)
    }

    /// The connection with this key, if there is one.
    pub(super) fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.0.get_mut(key.0)
    }

    /// All connections with their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &Connection)> {
        self.0.iter().map(|(slot, connection)| (ConnectionKey(slot), connection))
    }

    /// The key that the next insertion gives.
    pub(super) fn next_key(&self) -> ConnectionKey {
        ConnectionKey(self.0.vacant_key())
    }

    /// Keeps a connection under a free key.
    pub(super) fn insert(&mut self, connection: Connection) -> ConnectionKey {
        ConnectionKey(self.0.insert(connection))
    }

    /// Takes out a connection that is known to be there.
    pub(super) fn remove(&mut self, key: ConnectionKey) -> Connection {
        self.0.remove(key.0)
    }
}

/// For keys of connections that are known to be open.
impl Index<ConnectionKey> for ConnectionTable {
    type Output = Connection;

    fn index(&self, key: ConnectionKey) -> &Connection {
        &self.0[key.0]
    }
}

impl IndexMut<ConnectionKey> for ConnectionTable {
    fn index_mut(&mut self, key: ConnectionKey) -> &mut Connection {
        &mut self.0[key.0]
    }
}
