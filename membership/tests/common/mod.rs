//! A simulated fleet, and what must hold of it: shared by the tests and the examples.
#![allow(dead_code, reason = "no test or example uses all of it")]

pub mod events;
pub mod network;
pub mod process;
pub mod scenarios;
pub mod schedule;

use birchreach_membership::Micros;
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;

/// The address of a process, by its index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7000))
}
