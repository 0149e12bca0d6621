//! Troubles of databases, drawn from a seed, beside a schedule of troubles of processes.

use super::play::{FAULTS, PLACES};
use super::{Site, now_ms};
use crate::schedule::Schedule;
use std::time::Duration;

/// What happens to databases.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// Another member takes over; the old one knows it, or not for a second.
    FailOver {
        group: usize,
        to: usize,
        knows: bool,
    },
    Lag {
        group: usize,
        ms: i64,
    },
    Restart {
        group: usize,
        member: usize,
        back: i64,
    },
    Hang {
        group: usize,
        member: usize,
        hung: bool,
    },
}

pub fn draw(seed: u64) -> (Schedule, Vec<(Duration, Trouble)>) {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5ca1ab1e);
    let schedule = Schedule::generate(seed, PLACES, rng.usize(2..8), FAULTS);
    let mut troubles: Vec<(Duration, Trouble)> = (0..rng.usize(2..7))
        .map(|_| {
            let (group, member) = (rng.usize(..4), rng.usize(..3));
            let trouble = match rng.u8(..5) {
                0 => Trouble::FailOver { group, to: member, knows: rng.bool() },
                1 => Trouble::Lag { group, ms: [30, 1_500, 4_000][rng.usize(..3)] },
                2 | 3 => Trouble::Restart { group, member, back: rng.i64(0..6_000) },
                _ => Trouble::Hang { group, member, hung: rng.bool() },
            };
            (FAULTS.mul_f64(rng.f64()), trouble)
        })
        .collect();
    troubles.sort_by_key(|(at, _)| *at);
    (schedule, troubles)
}

pub(super) fn trouble(site: &Site, trouble: &Trouble) {
    match *trouble {
        Trouble::FailOver { group, to, knows } => {
            site.groups[group].with(|s| s.fail_over(to, now_ms(), knows));
            site.tell();
        }
        Trouble::Lag { group, ms } => {
            site.groups[group].with(|s| s.members.iter_mut().for_each(|m| m.lag = ms))
        }
        Trouble::Restart { group, member, back } => {
            // A primary that ends is followed by another.
            site.groups[group].with(|s| {
                if s.primary == member {
                    s.fail_over((member + 1) % 3, now_ms(), true);
                }
            });
            site.restart(group, member, back);
        }
        Trouble::Hang { group, member, hung } => site.groups[group].with(|s| s.members[member].hung = hung),
    }
}

/// All is well again with the databases.
pub(super) fn heal(site: &Site) {
    for group in &site.groups {
        group.with(|s| {
            for n in 0..s.members.len() {
                s.learns(n);
                let m = &mut s.members[n];
                (m.hung, m.up, m.lag) = (false, true, 30);
            }
        });
    }
    site.tell();
}
