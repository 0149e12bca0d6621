//! Schedules of faults on a fleet of processes. A schedule is data that is generated from a seed. Errors contain the
//! seed, which reproduces the schedule.

use crate::fleet::{Fleet, check_settled};
use crate::process::Process;
use crate::relay::{NetworkFaults, blocked_directions};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which recovery is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The fractions from which a [`FaultAction::DatagramFaults`] is chosen.
const DATAGRAM_FAULT_FRACTIONS: [f64; 3] = [0.0, 0.05, 0.2];

/// A fault, or the end of a fault. Numbers are process indices unless stated otherwise.
#[derive(Clone, Debug)]
pub enum FaultAction {
    /// Kills a process (SIGKILL). The process stays down until [`FaultAction::Start`] or [`Schedule::recover`].
    Kill(usize),
    /// Starts a process under the same name but without its earlier state. Kills the old process if it still runs.
    Start(usize),
    /// Suspends a process (SIGSTOP).
    Pause(usize),
    /// Resumes a suspended process (SIGCONT).
    Resume(usize),
    /// Blocks all traffic between the processes below this index and the others.
    Partition(usize),
    /// Blocks all traffic to a process.
    BlockInbound(usize),
    /// Blocks all traffic from a process.
    BlockOutbound(usize),
    /// Unblocks all traffic.
    HealNetwork,
    /// Sets the loss, duplicate and corruption fractions to this value, and the maximum delay to the same number of
    /// seconds.
    DatagramFaults(f64),
}

/// A fault action and the time at which it is applied.
#[derive(Clone, Debug)]
pub struct TimedAction {
    /// Time since the start of the schedule.
    pub after: Duration,
    /// The fault that begins or ends at this time.
    pub action: FaultAction,
}

/// A sequence of fault actions, ordered by time.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed that the schedule was generated from.
    pub seed: u64,
    /// Number of processes in the fleet. The process indices in `actions` are below it.
    pub process_count: usize,
    /// The actions, ordered by time.
    pub actions: Vec<TimedAction>,
}

impl FaultAction {
    /// The process whose current incarnation this action ends; `None` if it ends no process.
    pub fn ended_process(&self) -> Option<usize> {
        match self {
            FaultAction::Kill(process) | FaultAction::Start(process) => Some(*process),
            _ => None,
        }
    }

    fn generate(rng: &mut fastrand::Rng, process_count: usize) -> FaultAction {
        // Drawn for every kind of fault, used or not: the schedule of a seed depends on the order of draws.
        let process = rng.usize(..process_count);
        match rng.u8(..10) {
            0 | 1 => FaultAction::Kill(process),
            2 => FaultAction::Start(process),
            3 => FaultAction::Pause(process),
            4 => FaultAction::Resume(process),
            5 => FaultAction::Partition(rng.usize(1..process_count)),
            6 => FaultAction::BlockInbound(process),
            7 => FaultAction::BlockOutbound(process),
            8 => FaultAction::HealNetwork,
            _ => {
                let index = rng.usize(..DATAGRAM_FAULT_FRACTIONS.len());
                FaultAction::DatagramFaults(DATAGRAM_FAULT_FRACTIONS[index])
            }
        }
    }
}

impl Schedule {
    /// Generates `action_count` actions at random times within a period.
    pub fn generate(seed: u64, process_count: usize, action_count: usize, period: Duration) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut timed_action = |_| {
            let action = FaultAction::generate(&mut rng, process_count);
            TimedAction { after: period.mul_f64(rng.f64()), action }
        };
        let mut actions: Vec<TimedAction> = (0..action_count).map(&mut timed_action).collect();
        actions.sort_by_key(|timed| timed.after);
        Schedule { seed, process_count, actions }
    }

    /// Applies all actions at their times to the processes of a fleet. `None` stands for a process that does not run.
    pub fn run(&self, fleet: &Fleet, processes: &mut [Option<Process>]) -> io::Result<()> {
        let start = Instant::now();
        for TimedAction { after, action } in &self.actions {
            thread::sleep(after.saturating_sub(start.elapsed()));
            self.apply(fleet, processes, action)?;
        }
        Ok(())
    }

    /// Applies one action immediately. Fails if a process cannot be started.
    pub fn apply(
        &self,
        fleet: &Fleet,
        processes: &mut [Option<Process>],
        action: &FaultAction,
    ) -> io::Result<()> {
        match *action {
            FaultAction::Kill(process) => processes[process] = None,
            FaultAction::Start(process) => {
                // The old process must end before the new one binds its addresses.
                processes[process] = None;
                processes[process] = Some(fleet.start(process, None)?);
            }
            FaultAction::Pause(process) => signal(&processes[process], "STOP"),
            FaultAction::Resume(process) => signal(&processes[process], "CONT"),
            FaultAction::Partition(first) => self.block(fleet, |from, to| (from < first) != (to < first)),
            FaultAction::BlockInbound(process) => self.block(fleet, |_, to| to == process),
            FaultAction::BlockOutbound(process) => self.block(fleet, |from, _| from == process),
            FaultAction::HealNetwork => self.block(fleet, |_, _| false),
            FaultAction::DatagramFaults(fraction) => fleet.relays.set_faults(NetworkFaults {
                loss_fraction: fraction,
                duplicate_fraction: fraction,
                corrupt_fraction: fraction,
                max_delay: Duration::from_secs_f64(fraction),
                ..fleet.relays.faults()
            }),
        }
        Ok(())
    }

    /// Blocks exactly the directions for which `is_blocked(from, to)` holds.
    fn block(&self, fleet: &Fleet, is_blocked: impl Fn(usize, usize) -> bool) {
        let blocked = blocked_directions(self.process_count, |from, to| from != to && is_blocked(from, to));
        fleet.relays.set_faults(NetworkFaults { blocked, ..fleet.relays.faults() });
    }

    /// Ends all faults and starts the processes that do not run. Returns how long the processes took to agree on the
    /// fleet. If they do not agree within the limit, the error contains the schedule and their reports.
    pub fn recover(
        &self,
        fleet: &Fleet,
        processes: &mut [Option<Process>],
        limit: Duration,
    ) -> Result<Duration, String> {
        fleet.relays.set_faults(NetworkFaults::default());
        for (index, place) in processes.iter_mut().enumerate() {
            match place {
                Some(process) => process.signal("CONT"),
                None => *place = Some(fleet.start(index, None).map_err(|e| e.to_string())?),
            }
        }
        let start = Instant::now();
        let running: Vec<&Process> = processes.iter().flatten().collect();
        loop {
            match check_settled(self.process_count, &running) {
                Ok(()) => return Ok(start.elapsed()),
                Err(views) if start.elapsed() > limit => return Err(format!("{self:?}: {views}")),
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }
}

/// Sends a signal to a process if it runs.
fn signal(process: &Option<Process>, name: &str) {
    if let Some(process) = process {
        process.signal(name);
    }
}
