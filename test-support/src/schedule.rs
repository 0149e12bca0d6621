//! Schedules of faults on a fleet of processes: data from a seed, which is printed when one fails and plays the same again.

use crate::fleet::{Fleet, check_settled};
use crate::process::Process;
use crate::relay::NetworkFaults;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// What happens.
#[derive(Clone, Debug)]
pub enum FaultAction {
    Kill(usize),
    /// Under its name, with an empty memory.
    Start(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize),
    /// It hears nobody; or nobody hears it.
    BlockInbound(usize),
    BlockOutbound(usize),
    HealNetwork,
    /// Datagrams are lost, come twice, late and spoilt.
    DatagramFaults(f64),
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub process_count: usize,
    pub actions: Vec<(Duration, FaultAction)>,
}

impl FaultAction {
    /// The place whose process ends by it, if one does.
    pub fn ended_process(&self) -> Option<usize> {
        match self {
            FaultAction::Kill(n) | FaultAction::Start(n) => Some(*n),
            _ => None,
        }
    }
}

impl Schedule {
    /// So many acts within so long.
    pub fn generate(seed: u64, places: usize, acts: usize, within: Duration) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut acts: Vec<(Duration, FaultAction)> = (0..acts)
            .map(|_| {
                let n = rng.usize(..places);
                let act = match rng.u8(..10) {
                    0 | 1 => FaultAction::Kill(n),
                    2 => FaultAction::Start(n),
                    3 => FaultAction::Pause(n),
                    4 => FaultAction::Resume(n),
                    5 => FaultAction::Partition(rng.usize(1..places)),
                    6 => FaultAction::BlockInbound(n),
                    7 => FaultAction::BlockOutbound(n),
                    8 => FaultAction::HealNetwork,
                    _ => FaultAction::DatagramFaults([0.0, 0.05, 0.2][rng.usize(..3)]),
                };
                (within.mul_f64(rng.f64()), act)
            })
            .collect();
        acts.sort_by_key(|(at, _)| *at);
        Schedule { seed, process_count: places, actions: acts }
    }

    /// Plays it on processes that run; `none` stands where one was killed.
    pub fn play(&self, fleet: &Fleet, all: &mut [Option<Process>]) -> io::Result<()> {
        let start = Instant::now();
        for (at, act) in &self.actions {
            thread::sleep(at.saturating_sub(start.elapsed()));
            self.apply(fleet, all, act)?;
        }
        Ok(())
    }

    pub fn apply(&self, fleet: &Fleet, all: &mut [Option<Process>], act: &FaultAction) -> io::Result<()> {
        let signal = |all: &[Option<Process>], n: usize, name| {
            all[n].iter().for_each(|process| process.signal(name));
        };
        let cut = |pairs: &dyn Fn(usize, usize) -> bool| {
            let all = (0..self.process_count).flat_map(|a| (0..self.process_count).map(move |b| (a, b)));
            let cut = all.filter(|(a, b)| a != b && pairs(*a, *b)).collect();
            let rules = fleet.relays.faults();
            fleet.relays.set_faults(NetworkFaults { blocked: cut, ..rules });
        };
        match *act {
            FaultAction::Kill(n) => all[n] = None,
            FaultAction::Start(n) => {
                all[n] = None;
                all[n] = Some(fleet.start(n, None)?);
            }
            FaultAction::Pause(n) => signal(all, n, "STOP"),
            FaultAction::Resume(n) => signal(all, n, "CONT"),
            FaultAction::Partition(of) => cut(&|a, b| (a < of) != (b < of)),
            FaultAction::BlockInbound(n) => cut(&|_, b| b == n),
            FaultAction::BlockOutbound(n) => cut(&|a, _| a == n),
            FaultAction::HealNetwork => cut(&|_, _| false),
            FaultAction::DatagramFaults(share) => {
                let rules = fleet.relays.faults();
                let delay = Duration::from_secs_f64(share);
                fleet.relays.set_faults(NetworkFaults {
                    loss_fraction: share,
                    duplicate_fraction: share,
                    corrupt_fraction: share,
                    max_delay: delay,
                    ..rules
                });
            }
        }
        Ok(())
    }

    /// All is well again and whoever was lost is there: they come to one view within so long, or it is told what they say.
    pub fn recover(
        &self,
        fleet: &Fleet,
        all: &mut [Option<Process>],
        most: Duration,
    ) -> Result<Duration, String> {
        fleet.relays.set_faults(NetworkFaults::default());
        for (n, place) in all.iter_mut().enumerate() {
            match place {
                Some(process) => process.signal("CONT"),
                None => *place = Some(fleet.start(n, None).map_err(|e| e.to_string())?),
            }
        }
        let start = Instant::now();
        let running: Vec<&Process> = all.iter().flatten().collect();
        loop {
            match check_settled(self.process_count, &running) {
                Ok(()) => return Ok(start.elapsed()),
                Err(views) if start.elapsed() > most => return Err(format!("{self:?}: {views}")),
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
        }
    }
}
