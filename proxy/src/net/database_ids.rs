//! What names a connection to a database and a query on one, for timers and their owner. It lies below both.

/// The slot that the pool keeps a connection in. Slots of closed connections are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionKey(pub usize);

/// Number of a connection, never used again: a timer names it beside the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionSerial(u64);

/// Number of a query that has a timer of its own, never used again. Zero is no query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuerySerial(u64);

impl ConnectionSerial {
    /// The number of the connection after this one.
    pub fn next(self) -> ConnectionSerial {
        ConnectionSerial(self.0 + 1)
    }
}

impl QuerySerial {
    /// The number of the query after this one.
    pub fn next(self) -> QuerySerial {
        QuerySerial(self.0 + 1)
    }
}
