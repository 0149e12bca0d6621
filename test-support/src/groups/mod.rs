//! Simulated groups of databases with the behavior that proxies must handle: a log with positions, replication lag,
//! failovers that lose the last writes, slow start, queues, hangs, copies of other groups' rows, and the children of a
//! shard split, which replicate from their parent group. The groups record each statement, so that checks can verify
//! what proxies sent.

mod answers;
mod cluster_rig;
mod database_faults;
mod history;
pub mod history_checks;
mod member;
mod run;
mod run_checks;
pub mod seeded_schedule;
pub mod split_groups;
pub mod split_keys;
mod sql;
mod state;
pub mod traffic;
mod traffic_client;

pub use cluster_rig::ClusterRig;
pub use history::{Change, GroupHistory, InjectedDifference, LogEntry, StatementKind, StatementRecord};
pub use member::{CapacityModel, Group, GroupProfile, ParentLog};
pub use state::{GroupState, VisibleCopy, VisibleRow};

use std::time::{SystemTime, UNIX_EPOCH};

/// The current Unix time in milliseconds, which all log positions are based on.
pub fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as i64)
}
