//! Scheduled events of the simulated fleet, ordered by time.

use birchreach_membership::Micros;

/// A datagram on its way. Ordered by arrival, then by number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Datagram {
    pub arrives_at: Micros,
    pub number: u64,
    pub to: usize,
    pub sender: u64,
    pub payload: Vec<u8>,
}

/// A full exchange at a time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Exchange {
    pub at: Micros,
    pub from: usize,
    pub to: usize,
}

/// A process wakes at a time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Wake {
    pub at: Micros,
    pub process: usize,
}
