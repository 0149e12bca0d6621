//! Schedules of faults from seeds, on virtual time: invariants hold at any time, and once all faults have ended all processes come to
//! one view.

use super::SECOND;
use super::network::Network;
use birchreach_membership::{Membership, Micros, ViewState};

/// The time within which all agree after the last fault.
const AGREEMENT_LIMIT: Micros = 40 * SECOND;

/// A fault that is injected into a fleet, or the end of one.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    /// A process starts or restarts, on a clock with this offset.
    Start {
        index: usize,
        clock_offset: Micros,
    },
    Pause(usize),
    Resume(usize),
    Leave(usize),
    /// The processes below this index and the others do not reach each other.
    Partition(usize),
    /// A process receives nothing.
    NothingReceived(usize),
    /// Nothing that a process sends is received.
    NothingSent(usize),
    EndPartitions,
    Loss(f64),
}

/// A fault and its time.
#[derive(Clone, Debug)]
struct Scheduled {
    at: Micros,
    fault: Fault,
}

/// So many processes, and the faults that are injected.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    seed: u64,
    processes: usize,
    faults: Vec<Scheduled>,
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
        8 => Fault::NothingReceived(index),
        9 => Fault::NothingSent(index),
        10 => Fault::EndPartitions,
        _ => Fault::Loss([0.0, 0.05, 0.2][rng.usize(..3)]),
    }
}

impl Schedule {
    /// The schedule of a seed.
    pub(crate) fn draw(seed: u64) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let processes = rng.usize(3..=10);
        let mut at = 0;
        let count = rng.usize(4..=14);
        let mut faults = Vec::new();
        for _ in 0..count {
            at += rng.i64(SECOND / 10..6 * SECOND);
            faults.push(Scheduled { at, fault: draw_fault(&mut rng, processes) });
        }
        Schedule { seed, processes, faults }
    }

    /// Runs it; then all faults end, and processes that are down or have left start again. How long they took to agree.
    pub(crate) fn run(&self) -> Result<Micros, String> {
        let mut network = Network::started(self.processes, self.seed);
        for Scheduled { at, fault } in &self.faults {
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
        let took = network.time_to_agreement(self.processes, AGREEMENT_LIMIT);
        took.ok_or_else(|| format!("{self:?}: they do not agree: {:?}", views(&network)))
    }

    /// The invariants at any time: quotas never add up to more than the whole, no process is its own member, and none of several
    /// reports itself alone.
    fn check(&self, network: &Network) -> Result<(), String> {
        let joined = || network.live().filter(|membership| !membership.has_left());
        let quotas: f64 = joined().map(|membership| 1.0 / f64::from(membership.view().quota_divisor())).sum();
        let is_own_member = |membership: &Membership| {
            membership.members().any(|member| member.address == membership.identity().address)
        };
        let any_own_member = joined().any(is_own_member);
        let any_alone = joined().any(|membership| membership.view().state == ViewState::Standalone);
        if quotas > 1.0 + 1e-9 || any_own_member || any_alone {
            let now = network.now;
            return Err(format!(
                "{self:?}: quotas of {quotas}, own member {any_own_member}, alone {any_alone}, at {now}"
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
            network.is_partitioned = Box::new(move |from, to| (from < first) != (to < first));
        }
        Fault::NothingReceived(index) => network.is_partitioned = Box::new(move |_, to| to == index),
        Fault::NothingSent(index) => network.is_partitioned = Box::new(move |from, _| from == index),
        Fault::EndPartitions => network.is_partitioned = Box::new(|_, _| false),
        Fault::Loss(fraction) => network.loss = fraction,
    }
}

fn views(network: &Network) -> Vec<(usize, u64, ViewState)> {
    let views = network.live().map(Membership::view);
    views.map(|view| (view.member_count, view.digest, view.state)).collect()
}

/// The first 150 schedules settle.
pub(crate) fn some_schedules_settle() -> Result<(), String> {
    (1..=150).try_for_each(|seed| Schedule::draw(seed).run().map(drop))
}
