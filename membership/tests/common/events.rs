//! Scheduled events of the simulated fleet. Their derived order is by time.

use birchreach_membership::Micros;

/// A datagram in transit. Datagrams that arrive at the same time are delivered in the order of sending.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Datagram {
    pub arrives_at: Micros,
    pub sequence: u64,
    pub to: usize,
    pub sender: u64,
    pub payload: Vec<u8>,
}

/// A full exchange between two processes.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Exchange {
    pub at: Micros,
    pub from: usize,
    pub to: usize,
}

/// A wake-up of a process.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Wake {
    pub at: Micros,
    pub process: usize,
}
