//! Test partners of the proxy, on loopback addresses: scripted databases and discovery, a balancer that reads health,
//! clients, and the built program as a child. Threads and blocking sockets: they are to be plain, not fast. Nothing
//! here is meant for real use, and none of it knows anything of the proxy's code.

pub mod balancer;
pub mod client;
pub mod database;
pub mod discovery;
pub mod fleet;
pub mod groups;
mod links;
pub mod process;
pub mod relay;
pub mod rig;
pub mod schedule;
mod wire;

use std::sync::{Mutex, MutexGuard};

/// A lock that a panicked thread held is as good as any here.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
