//! Test doubles for everything that a proxy communicates with, on loopback addresses: scripted databases, a discovery
//! service, a load balancer that runs health checks, clients, and a network with faults. The crate also runs the built
//! program as a child process and compares data with recorded bytes.
//!
//! The test doubles use threads and blocking sockets, because simple code matters more here than speed. The crate is
//! not meant for production and does not depend on the proxy's code.

#![warn(missing_docs)]

pub mod balancer;
pub mod client;
pub mod crowd;
pub mod database;
mod database_server;
pub mod discovery;
pub mod distance;
pub mod fleet;
pub mod groups;
mod links;
pub mod many_databases;
pub mod process;
pub mod recorded_bytes;
pub mod relay;
pub mod rig;
mod rig_settings;
mod rows;
pub mod schedule;
mod statement_text;
pub mod system_call_faults;
mod wire;

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, even if a thread panicked while holding it. Ignoring the poison flag is safe because every holder
/// leaves the data consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
