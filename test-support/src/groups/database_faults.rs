//! Faults of databases. They are generated from the same seed as a schedule of process faults.

use super::seeded_schedule::{FAULT_PERIOD, PROCESS_COUNT};
use super::{ClusterRig, now_ms};
use crate::schedule::Schedule;
use std::time::Duration;

/// Number of groups in the rig, and number of members in each group.
pub(super) const GROUP_COUNT: usize = 4;
pub(super) const MEMBER_COUNT: usize = 3;

/// Replication lag in the absence of faults.
pub(super) const NORMAL_LAG_MS: i64 = 30;

/// Replication lags from which a [`DatabaseFault::Lag`] is chosen.
const LAGS_MS: [i64; 3] = [30, 1_500, 4_000];

/// Age limit of the backups from which databases are restored.
const MAX_BEHIND_MS: i64 = 6_000;

/// Makes the random numbers independent of those of the schedule, which has the same seed.
const SEED_MASK: u64 = 0x5ca1ab1e;

/// A fault of a database, or the end of a fault. Groups and members are indices.
#[derive(Clone, Debug)]
pub(super) enum DatabaseFault {
    /// Another member becomes the primary. Unless the old primary is notified, it continues to report itself as the
    /// primary.
    FailOver { group: usize, new_primary: usize, old_primary_notified: bool },
    /// Sets the replication lag of all members of a group.
    Lag { group: usize, lag_ms: i64 },
    /// A member restarts from a backup that is `behind_ms` old.
    Restart { group: usize, member: usize, behind_ms: i64 },
    /// A member stops or resumes answering statements.
    Hang { group: usize, member: usize, hung: bool },
}

/// A fault and its time since the start of the faults.
#[derive(Clone, Debug)]
pub(super) struct TimedDatabaseFault {
    pub after: Duration,
    pub fault: DatabaseFault,
}

impl DatabaseFault {
    fn generate(rng: &mut fastrand::Rng) -> DatabaseFault {
        // Both are drawn for every kind of fault, used or not: the faults of a seed depend on the order of draws.
        let (group, member) = (rng.usize(..GROUP_COUNT), rng.usize(..MEMBER_COUNT));
        match rng.u8(..5) {
            0 => DatabaseFault::FailOver { group, new_primary: member, old_primary_notified: rng.bool() },
            1 => DatabaseFault::Lag { group, lag_ms: LAGS_MS[rng.usize(..LAGS_MS.len())] },
            2 | 3 => DatabaseFault::Restart { group, member, behind_ms: rng.i64(0..MAX_BEHIND_MS) },
            _ => DatabaseFault::Hang { group, member, hung: rng.bool() },
        }
    }
}

/// All faults of a run.
pub(super) struct GeneratedFaults {
    /// The faults of the processes and of the network between them.
    pub schedule: Schedule,
    /// The faults of databases, ordered by time.
    pub database_faults: Vec<TimedDatabaseFault>,
}

/// Generates the faults of processes and of databases from a seed.
pub(super) fn generate_faults(seed: u64) -> GeneratedFaults {
    let mut rng = fastrand::Rng::with_seed(seed ^ SEED_MASK);
    let schedule = Schedule::generate(seed, PROCESS_COUNT, rng.usize(2..8), FAULT_PERIOD);
    let fault_count = rng.usize(2..7);
    let mut timed_fault = |_| {
        let fault = DatabaseFault::generate(&mut rng);
        TimedDatabaseFault { after: FAULT_PERIOD.mul_f64(rng.f64()), fault }
    };
    let mut database_faults: Vec<TimedDatabaseFault> = (0..fault_count).map(&mut timed_fault).collect();
    database_faults.sort_by_key(|timed| timed.after);
    GeneratedFaults { schedule, database_faults }
}

pub(super) fn apply_database_fault(rig: &ClusterRig, fault: &DatabaseFault) {
    match *fault {
        DatabaseFault::FailOver { group, new_primary, old_primary_notified } => {
            rig.groups[group]
                .with_state(|state| state.fail_over(new_primary, now_ms(), old_primary_notified));
            rig.update_discovery();
        }
        DatabaseFault::Lag { group, lag_ms } => rig.groups[group]
            .with_state(|state| state.members.iter_mut().for_each(|member| member.lag_ms = lag_ms)),
        DatabaseFault::Restart { group, member, behind_ms } => {
            // Fail over before the primary stops.
            rig.groups[group].with_state(|state| {
                if state.primary == member {
                    state.fail_over((member + 1) % MEMBER_COUNT, now_ms(), true);
                }
            });
            rig.restart(group, member, behind_ms);
        }
        DatabaseFault::Hang { group, member, hung } => {
            rig.groups[group].with_state(|state| state.members[member].hung = hung)
        }
    }
}

/// Ends all database faults and updates the endpoint list.
pub(super) fn clear_database_faults(rig: &ClusterRig) {
    for group in &rig.groups {
        group.with_state(|state| {
            for index in 0..state.members.len() {
                state.notify_former_primary(index);
                let member = &mut state.members[index];
                member.hung = false;
                member.running = true;
                member.lag_ms = NORMAL_LAG_MS;
            }
        });
    }
    rig.update_discovery();
}
