//! Troubles of databases, drawn from a seed, beside a schedule of troubles of processes.

use super::play::{FAULT_PERIOD, PROCESS_COUNT};
use super::{ClusterRig, now_ms};
use crate::schedule::Schedule;
use std::time::Duration;

/// What happens to databases.
#[derive(Clone, Debug)]
pub enum DatabaseFault {
    /// Another member takes over; the old one knows it, or not for a second.
    FailOver {
        group: usize,
        new_primary: usize,
        old_primary_notified: bool,
    },
    Lag {
        group: usize,
        lag_ms: i64,
    },
    Restart {
        group: usize,
        member: usize,
        behind_ms: i64,
    },
    Hang {
        group: usize,
        member: usize,
        hung: bool,
    },
}

pub fn generate_faults(seed: u64) -> (Schedule, Vec<(Duration, DatabaseFault)>) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5ca1ab1e);
    let schedule = Schedule::generate(seed, PROCESS_COUNT, rng.usize(2..8), FAULT_PERIOD);
    let mut troubles: Vec<(Duration, DatabaseFault)> = (0..rng.usize(2..7))
        .map(|_| {
            let (group, member) = (rng.usize(..4), rng.usize(..3));
            let trouble = match rng.u8(..5) {
                0 => DatabaseFault::FailOver { group, new_primary: member, old_primary_notified: rng.bool() },
                1 => DatabaseFault::Lag { group, lag_ms: [30, 1_500, 4_000][rng.usize(..3)] },
                2 | 3 => DatabaseFault::Restart { group, member, behind_ms: rng.i64(0..6_000) },
                _ => DatabaseFault::Hang { group, member, hung: rng.bool() },
            };
            (FAULT_PERIOD.mul_f64(rng.f64()), trouble)
        })
        .collect();
    troubles.sort_by_key(|(at, _)| *at);
    (schedule, troubles)
}

pub(super) fn apply_database_fault(site: &ClusterRig, trouble: &DatabaseFault) {
    match *trouble {
        DatabaseFault::FailOver { group, new_primary: to, old_primary_notified: knows } => {
            site.groups[group].with_state(|s| s.fail_over(to, now_ms(), knows));
            site.update_discovery();
        }
        DatabaseFault::Lag { group, lag_ms: ms } => {
            site.groups[group].with_state(|s| s.members.iter_mut().for_each(|m| m.lag_ms = ms))
        }
        DatabaseFault::Restart { group, member, behind_ms: back } => {
            // A primary that ends is followed by another.
            site.groups[group].with_state(|s| {
                if s.primary == member {
                    s.fail_over((member + 1) % 3, now_ms(), true);
                }
            });
            site.restart(group, member, back);
        }
        DatabaseFault::Hang { group, member, hung } => {
            site.groups[group].with_state(|s| s.members[member].hung = hung)
        }
    }
}

/// All is well again with the databases.
pub(super) fn clear_database_faults(site: &ClusterRig) {
    for group in &site.groups {
        group.with_state(|s| {
            for n in 0..s.members.len() {
                s.notify_deposed(n);
                let m = &mut s.members[n];
                (m.hung, m.running, m.lag_ms) = (false, true, 30);
            }
        });
    }
    site.update_discovery();
}
