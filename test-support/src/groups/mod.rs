//! Groups of databases that are worth lying to: a log with positions, replicas that apply it late, failover that loses the last
//! writes, cold starts, queues, hangs, copies of others' rows, children that follow a group that splits; each run is recorded, by
//! which judges look at what proxies did.

mod answers;
mod draw;
pub mod judge;
mod member;
pub mod play;
mod site;
mod sql;
mod state;
pub mod traffic;

pub use member::{CapacityModel, Group};
pub use site::ClusterRig;
pub use state::{Change, Entry, PlantedDifference, Record, State, StatementKind};

use std::time::{SystemTime, UNIX_EPOCH};

/// The clock of all positions: Unix time in milliseconds.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as i64)
}
