//! Groups of databases with the behaviour that proxies have to cope with: a log with positions, replicas that apply it late,
//! failover that loses the last writes, slow starts, queues, hangs, copies of other groups' rows, and children that follow
//! a group that splits. Each statement is recorded; checks on these records show what proxies did.

mod answers;
mod cluster_rig;
mod database_faults;
mod history;
pub mod history_checks;
mod member;
pub mod play;
mod run;
mod run_checks;
pub mod split_groups;
pub mod split_keys;
mod sql;
mod state;
pub mod traffic;
mod traffic_client;

pub use cluster_rig::ClusterRig;
pub use history::{Change, Entry, GroupHistory, PlantedDifference, Record, StatementKind};
pub use member::{CapacityModel, Group, GroupProfile, ParentLog};
pub use state::{State, VisibleCopy, VisibleRow};

use std::time::{SystemTime, UNIX_EPOCH};

/// The clock of all positions: Unix time in milliseconds.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as i64)
}
