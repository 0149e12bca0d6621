//! The pool's connections by key.

use super::super::ids::ConnectionKey;
use super::connection::Connection;
use slab::Slab;
use std::ops::{Index, IndexMut};

/// A slab of connections that is indexed by `ConnectionKey`. Keys of removed connections are reused.
#[derive(Default)]
pub(super) struct ConnectionTable(Slab<Connection>);

impl ConnectionTable {
    /// Returns the number of connections, whether opening, busy or idle.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether a connection has this key.
    pub(super) fn contains(&self, key: ConnectionKey) -> bool {
        self.0.contains(key.0)
    }

    /// Returns the connection with this key, or `None` if it was removed.
    pub(super) fn get(&self, key: ConnectionKey) -> Option<&Connection> {
        self.0.get(key.0)
    }

    /// Returns the connection with this key, or `None` if it was removed.
    pub(super) fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.0.get_mut(key.0)
    }

    /// Iterates over all connections with their keys, in the order of the keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &Connection)> {
        self.0.iter().map(|(slot, connection)| (ConnectionKey(slot), connection))
    }

    /// Returns the key that the next `insert` will use. The socket is registered under this key before the insert.
    pub(super) fn next_key(&self) -> ConnectionKey {
        ConnectionKey(self.0.vacant_key())
    }

    /// Inserts a connection and returns its key.
    pub(super) fn insert(&mut self, connection: Connection) -> ConnectionKey {
        ConnectionKey(self.0.insert(connection))
    }

    /// Removes and returns the connection with this key. Panics if there is none.
    pub(super) fn remove(&mut self, key: ConnectionKey) -> Connection {
        self.0.remove(key.0)
    }
}

/// Indexing is for keys of connections that are known to be open; it panics for any other key.
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
