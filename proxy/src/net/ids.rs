//! Keys and serial numbers of connections. Event sources and timers refer to connections by them. Each kind has its own
//! type, so that one kind cannot be used in place of another.

/// The slab slot of an operator's connection. Slots of closed connections are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AdminKey(pub usize);

/// The slab slot of a connection in the pool. Slots of closed connections are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionKey(pub usize);

/// The serial number of a connection in the pool. It is never reused, so a timer that names both the key and the
/// serial cannot reach a later connection in the same slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionSerial(u64);

/// The serial number of a query that has its own timer. It is never reused. Zero stands for no query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QuerySerial(u64);

/// The slab slot of a balancer's connection. Slots of closed connections are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CheckConnectionKey(pub usize);

/// The serial number of a balancer's connection. It is never reused, so a timer that names both the key and the
/// serial cannot reach a later connection in the same slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CheckConnectionSerial(u64);

/// The slab slot of a link to another proxy. Slots of closed links are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkKey(pub usize);

/// The serial number of a link to another proxy. It is never reused, so a timer that names both the key and the
/// serial cannot reach a later link in the same slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkSerial(u64);

/// The serial number of a state that a poll of discovery has entered. It is never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PollStateSerial(u64);

impl ConnectionSerial {
    pub(super) fn next(self) -> ConnectionSerial {
        ConnectionSerial(self.0 + 1)
    }
}

impl QuerySerial {
    pub(super) fn next(self) -> QuerySerial {
        QuerySerial(self.0 + 1)
    }
}

impl CheckConnectionSerial {
    pub(super) fn next(self) -> CheckConnectionSerial {
        CheckConnectionSerial(self.0 + 1)
    }
}

impl LinkSerial {
    pub(super) fn next(self) -> LinkSerial {
        LinkSerial(self.0 + 1)
    }
}

impl PollStateSerial {
    pub(super) fn next(self) -> PollStateSerial {
        PollStateSerial(self.0 + 1)
    }
}
