//! Random schedules of faults on virtual time. The invariants hold at all times, and the views converge after the
//! last fault has ended.

use super::SECOND;
use super::network::Network;
use birchreach_membership::{Membership, Micros, ViewState};

/// Maximum time between the end of the last fault and convergence.
const CONVERGENCE_LIMIT: Micros = 40 * SECOND;

/// A fault injected into a fleet, or the end of a fault.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    /// A process starts or restarts with an offset on its clock.
    Start {
        index: usize,
        clock_offset: Micros,
    },
    Pause(usize),
    Resume(usize),
    Leave(usize),
    /// The processes below this index cannot exchange datagrams with the others.
    Partition(usize),
    /// All datagrams to this process are blocked.
    BlockIncoming(usize),
    /// All datagrams from this process are blocked.
    BlockOutgoing(usize),
    EndPartitions,
    /// Fraction of datagrams that are lost from now on.
    Loss(f64),
}

#[derive(Clone, Debug)]
struct ScheduledFault {
    at: Micros,
    fault: Fault,
}

/// The faults injected into a fleet, in the order of their times.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    seed: u64,
    processes: usize,
    faults: Vec<ScheduledFault>,
}

fn draw_fault(rng: &mut fastrand::Rng, processes: usize) -> Fault {
    let index = rng.usize(..processes);
    match rng.u8(..12) {
        0 | 1 => Fault::Kill(index),
        2 | 3 => {
            let clock_offset = if rng.u8(..4) == 0 { -rng.i64(0..3_600 * SECOND) } else { 0 };
            Fault::Start { index, clock_offset }
        }
        4 => Fault::Pause(index),
        5 => Fault::Resume(index),
        6 => Fault::Leave(index),
        7 => Fault::Partition(rng.usize(1..processes)),
        8 => Fault::BlockIncoming(index),
        9 => Fault::BlockOutgoing(index),
        10 => Fault::EndPartitions,
        _ => Fault::Loss([0.0, 0.05, 0.2][rng.usize(..3)]),
    }
}

impl Schedule {
    /// Generates the schedule that the seed determines.
    pub(crate) fn from_seed(seed: u64) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let processes = rng.usize(3..=10);
        let mut at = 0;
        let count = rng.usize(4..=14);
        let mut faults = Vec::new();
        for _ in 0..count {
            at += rng.i64(SECOND / 10..6 * SECOND);
            faults.push(ScheduledFault { at, fault: draw_fault(&mut rng, processes) });
        }
        Schedule { seed, processes, faults }
    }

    /// Runs the schedule, ends all faults, and restarts the processes that are down or have left. Returns the time
    /// between that and convergence.
    pub(crate) fn run(&self) -> Result<Micros, String> {
        let mut network = Network::started(self.processes, self.seed);
        for ScheduledFault { at, fault } in &self.faults {
            while network.now < *at {
                network.advance((*at - network.now).min(SECOND / 2));
                self.check(&network)?;
            }
            inject(&mut network, fault);
        }
        inject(&mut network, &Fault::EndPartitions);
        inject(&mut network, &Fault::Loss(0.0));
        for index in 0..self.processes {
            network.resume(index);
            let membership = network.processes[index].membership.as_ref();
            if membership.is_none_or(Membership::has_left) {
                network.start(index, 0);
            }
        }
        let took = network.time_to_convergence(self.processes, CONVERGENCE_LIMIT);
        took.ok_or_else(|| format!("{self:?}: the views did not converge: {:?}", views(&network)))
    }

    /// Checks the invariants that hold at all times. The quotas of all processes never exceed the fleet's quota in
    /// total, no process lists itself as another member, and no process of a larger fleet is in the state
    /// `Standalone`.
    fn check(&self, network: &Network) -> Result<(), String> {
        let joined = || network.live().filter(|membership| !membership.has_left());
        let quota_sum: f64 =
            joined().map(|membership| 1.0 / f64::from(membership.view().quota_divisor())).sum();
        let lists_itself = |membership: &Membership| {
            membership.members().any(|member| member.address == membership.identity().address)
        };
        let any_lists_itself = joined().any(lists_itself);
        let any_standalone = joined().any(|membership| membership.view().state == ViewState::Standalone);
        if quota_sum > 1.0 + 1e-9 || any_lists_itself || any_standalone {
            let now = network.now;
            return Err(format!(
                "{self:?}: at {now} µs: sum of quotas {quota_sum}, lists itself {any_lists_itself}, \
                 standalone {any_standalone}"
            ));
        }
        Ok(())
    }
}

fn inject(network: &mut Network, fault: &Fault) {
    match *fault {
        Fault::Kill(index) => network.kill(index),
        Fault::Start { index, clock_offset } => network.start(index, clock_offset),
        Fault::Pause(index) => network.pause(index),
        Fault::Resume(index) => network.resume(index),
        Fault::Leave(index) => network.leave(index),
        Fault::Partition(first) => {
            network.is_blocked = Box::new(move |from, to| (from < first) != (to < first));
        }
        Fault::BlockIncoming(index) => network.is_blocked = Box::new(move |_, to| to == index),
        Fault::BlockOutgoing(index) => network.is_blocked = Box::new(move |from, _| from == index),
        Fault::EndPartitions => network.is_blocked = Box::new(|_, _| false),
        Fault::Loss(fraction) => network.loss = fraction,
    }
}

fn views(network: &Network) -> Vec<(usize, u64, ViewState)> {
    let views = network.live().map(Membership::view);
    views.map(|view| (view.member_count, view.digest, view.state)).collect()
}

/// The views converge after each of the first 150 schedules.
pub(crate) fn views_converge_after_random_faults() -> Result<(), String> {
    (1..=150).try_for_each(|seed| Schedule::from_seed(seed).run().map(drop))
}
