//! Simulated fleet and its invariants, shared by the tests and the examples.
#![allow(dead_code, reason = "no test or example uses all of it")]

pub(crate) mod events;
pub(crate) mod network;
pub(crate) mod process;
pub(crate) mod scenarios;
pub(crate) mod schedule;

use birchreach_membership::Micros;
use std::net::SocketAddr;

pub(crate) const SECOND: Micros = 1_000_000;

/// Returns the address of the process with this index.
pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7000))
}
