//! Schedules of faults on a fleet of processes. They are data drawn from a seed, which is printed when a run fails and
//! gives the same schedule again.

use crate::fleet::{Fleet, check_settled};
use crate::process::Process;
use crate::relay::{NetworkFaults, blocked_directions};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// How often recovery is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The fault fractions that [`FaultAction::DatagramFaults`] is drawn from.
const DATAGRAM_FAULT_FRACTIONS: [f64; 3] = [0.0, 0.05, 0.2];

/// A fault, or the end of one. Numbers are indices of processes.
#[derive(Clone, Debug)]
pub enum FaultAction {
    /// Kills a process.
    Kill(usize),
    /// Starts a process (killing its predecessor) under the same name, without its state.
    Start(usize),
    /// Stops a process from running (SIGSTOP).
    Pause(usize),
    /// Lets a paused process run again (SIGCONT).
    Resume(usize),
    /// Separates the processes below this index from the others.
    Partition(usize),
    /// A process receives nothing.
    BlockInbound(usize),
    /// Nothing that a process sends arrives.
    BlockOutbound(usize),
    /// Everything arrives again.
    HealNetwork,
    /// This fraction of datagrams is lost, duplicated and corrupted, with a delay of up to as many seconds.
    DatagramFaults(f64),
}

/// A fault and its time from the schedule's start.
#[derive(Clone, Debug)]
pub struct TimedAction {
    /// Time from the start.
    pub after: Duration,
    /// What happens then.
    pub action: FaultAction,
}

/// Faults in the order of their times.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// What the schedule was drawn from.
    pub seed: u64,
    /// Processes of the fleet.
    pub process_count: usize,
    /// The faults, by time.
    pub actions: Vec<TimedAction>,
}

impl FaultAction {
    /// The process whose present incarnation this ends, if it ends one.
    pub fn ended_process(&self) -> Option<usize> {
        match self {
            FaultAction::Kill(process) | FaultAction::Start(process) => Some(*process),
            _ => None,
        }
    }

    fn generate(rng: &mut fastrand::Rng, process_count: usize) -> FaultAction {
        // Drawn for each kind of fault, used or not: a seed's schedule depends on the order of draws.
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
    /// Draws so many actions within a period.
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

    /// Applies all actions at their times to running processes; `None` stands where one was killed.
    pub fn play(&self, fleet: &Fleet, processes: &mut [Option<Process>]) -> io::Result<()> {
        let start = Instant::now();
        for TimedAction { after, action } in &self.actions {
            thread::sleep(after.saturating_sub(start.elapsed()));
            self.apply(fleet, processes, action)?;
        }
        Ok(())
    }

    /// Applies one action.
    pub fn apply(
        &self,
        fleet: &Fleet,
        processes: &mut [Option<Process>],
        action: &FaultAction,
    ) -> io::Result<()> {
        match *action {
            FaultAction::Kill(process) => processes[process] = None,
            FaultAction::Start(process) => {
                // The old process ends before the new one takes its addresses.
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

    /// Blocks exactly the directions that this selects, by the sender and the receiver.
    fn block(&self, fleet: &Fleet, is_blocked: impl Fn(usize, usize) -> bool) {
        let blocked = blocked_directions(self.process_count, |from, to| from != to && is_blocked(from, to));
        fleet.relays.set_faults(NetworkFaults { blocked, ..fleet.relays.faults() });
    }

    /// Ends all faults and starts the processes that are missing. Returns how long they took to agree on the fleet; the
    /// error holds the schedule and what they report if they do not within the limit.
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

/// Sends a signal to a process, if it runs.
fn signal(process: &Option<Process>, name: &str) {
    if let Some(process) = process {
        process.signal(name);
    }
}
