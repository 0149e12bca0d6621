//! Keys and serial numbers of connections, which event sources and timers refer to. Each kind has a type of its own, so that one
//! cannot be used in place of another.

/// The slot of an operator's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AdminKey(pub usize);

/// The slot that the pool keeps a connection in. Slots of closed connections are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionKey(pub usize);

/// Number of a connection, never used again: a timer names it beside the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionSerial(u64);

/// Number of a query that has a timer of its own, never used again. Zero is no query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QuerySerial(u64);

/// The slot of a balancer's connection. Slots of closed connections are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CheckKey(pub usize);

/// Number of a balancer's connection, never used again: a timer names it beside the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CheckSerial(u64);

/// The slot of a link to another proxy. Slots of closed links are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkKey(pub usize);

/// Number of a link to another proxy, never used again: a timer names it beside the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkSerial(u64);

/// Number of a state that a poll of discovery has entered, never used again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PollStateSerial(u64);

impl ConnectionSerial {
    /// The number of the connection after this one.
    pub(super) fn next(self) -> ConnectionSerial {
        ConnectionSerial(self.0 + 1)
    }
}

impl QuerySerial {
    /// The number of the query after this one.
    pub(super) fn next(self) -> QuerySerial {
        QuerySerial(self.0 + 1)
    }
}

impl CheckSerial {
    /// The number of the connection after this one.
    pub(super) fn next(self) -> CheckSerial {
        CheckSerial(self.0 + 1)
    }
}

impl LinkSerial {
    /// The number of the link after this one.
    pub(super) fn next(self) -> LinkSerial {
        LinkSerial(self.0 + 1)
    }
}

impl PollStateSerial {
    /// The number of the state after this one.
    pub(super) fn next(self) -> PollStateSerial {
        PollStateSerial(self.0 + 1)
    }
}
