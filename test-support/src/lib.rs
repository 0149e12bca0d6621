//! Test doubles for everything a proxy talks to, on loopback addresses: scripted databases, discovery, a load balancer
//! that runs health checks, clients, a network with faults, and the built program as a child process; and what tests need to compare
//! with recorded bytes.
//!
//! They use threads and blocking sockets, because simple code matters more here than speed. Nothing here is meant for
//! production, and nothing here depends on the proxy's code.

#![warn(missing_docs)]

pub mod balancer;
pub mod client;
pub mod database;
mod database_server;
pub mod discovery;
pub mod fleet;
pub mod groups;
mod links;
pub mod many_databases;
pub mod process;
pub mod recorded_bytes;
pub mod relay;
pub mod rig;
pub mod schedule;
mod statement_text;
mod wire;

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, even if a thread panicked while it held it: each holder leaves the data consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
