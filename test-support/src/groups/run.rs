//! The processes of a run: their start, their traffic, and the faults that occur while they run.

use super::ClusterRig;
use super::database_faults::{TimedDatabaseFault, apply_database_fault};
use super::seeded_schedule::{FAULT_PERIOD, PROCESS_COUNT, RECOVERY_LIMIT};
use super::traffic::{ProxyAddresses, ReadRate, Traffic, TrafficProfile};
use crate::fleet::check_settled;
use crate::lock;
use crate::process::Process;
use crate::schedule::{Schedule, TimedAction};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Interval at which the processes' agreement on the fleet is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The index of the hot key, and how many times per second each client reads the hot key and every other key.
const HOT_KEY: usize = 3;
const HOT_READ_RATE: f64 = 20.0;
const READ_RATE: f64 = 1.0;

/// Writes per second of each client. The client whose first key is the hot key writes less often.
const WRITE_RATE: f64 = 3.0;
const HOT_WRITE_RATE: f64 = 1.0;

/// The fraction of reads of the first key that must see the client's last write.
const SESSION_FRACTION: f64 = 0.3;

/// The processes of a run and the data collected during the run. `processes` is declared before `rig` so that the
/// processes are dropped first.
pub(super) struct Run {
    /// `None` stands for a process that was killed.
    pub processes: Vec<Option<Process>>,
    pub rig: ClusterRig,
    addresses: Arc<ProxyAddresses>,
    /// For each process, whether it was killed or restarted.
    pub killed: [bool; PROCESS_COUNT],
    /// Log lines of processes that have ended; after the traffic has stopped, of all processes.
    pub log_lines: Vec<String>,
}

impl Run {
    pub(super) fn start(rig: ClusterRig) -> io::Result<Run> {
        let processes: Vec<Option<Process>> =
            (0..PROCESS_COUNT).map(|n| rig.start(n).map(Some)).collect::<io::Result<_>>()?;
        Ok(Run {
            processes,
            rig,
            addresses: Arc::default(),
            killed: [false; PROCESS_COUNT],
            log_lines: Vec::new(),
        })
    }

    /// Waits until all processes agree on the fleet.
    pub(super) fn wait_until_settled(&self) -> Result<(), String> {
        let running: Vec<&Process> = self.processes.iter().flatten().collect();
        let start = Instant::now();
        while check_settled(PROCESS_COUNT, &running).is_err() {
            if start.elapsed() > RECOVERY_LIMIT {
                return Err(format!("the processes did not agree on the fleet within {RECOVERY_LIMIT:?}"));
            }
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Updates the addresses at which clients connect to the processes.
    pub(super) fn update_addresses(&self) {
        let addresses = client_addresses(&self.processes);
        *lock(&self.addresses) = addresses;
    }

    /// Starts one client for each process. The result is in the order of the processes.
    pub(super) fn start_traffic(&self, keys: &[String], seed: u64) -> Vec<Traffic> {
        self.update_addresses();
        let start_client = |process: usize| {
            let profile = TrafficProfile {
                proxy: process,
                group: 0,
                read_rates: read_rates(keys, process),
                session_fraction: SESSION_FRACTION,
                write_rate: if process == HOT_KEY { HOT_WRITE_RATE } else { WRITE_RATE },
            };
            Traffic::start(&self.addresses, &self.rig.groups, &[profile], seed)
        };
        (0..PROCESS_COUNT).map(start_client).collect()
    }

    /// Applies the process and database faults at their times and waits for the end of the fault period.
    pub(super) fn apply_faults(
        &mut self,
        schedule: &Schedule,
        database_faults: &[TimedDatabaseFault],
    ) -> io::Result<()> {
        let Run { processes, rig, addresses, killed, log_lines } = self;
        let rig = &*rig;
        scope(|scope| {
            scope.spawn(move || {
                let start = Instant::now();
                for TimedDatabaseFault { after, fault } in database_faults {
                    sleep(after.saturating_sub(start.elapsed()));
                    apply_database_fault(rig, fault);
                }
            });
            let start = Instant::now();
            for TimedAction { after, action } in &schedule.actions {
                sleep(after.saturating_sub(start.elapsed()));
                if let Some(process) = action.ended_process() {
                    killed[process] = true;
                    log_lines.extend(processes[process].iter().flat_map(Process::log));
                }
                schedule.apply(&rig.fleet, processes, action)?;
                let current = client_addresses(processes);
                *lock(addresses) = current;
            }
            sleep(FAULT_PERIOD.saturating_sub(start.elapsed()));
            Ok(())
        })
    }
}

/// The address of each process for clients; `None` if the process does not run.
fn client_addresses(processes: &[Option<Process>]) -> Vec<Option<SocketAddr>> {
    processes.iter().map(|process| process.as_ref()?.client_address()).collect()
}

/// The keys and read rates of a process's client. The client writes the first key, which differs between clients.
fn read_rates(keys: &[String], process: usize) -> Vec<ReadRate> {
    let rate = |key: &String| ReadRate { key: key.clone(), reads_per_second: READ_RATE };
    let mut rates: Vec<ReadRate> = keys.iter().map(rate).collect();
    rates[HOT_KEY].reads_per_second = HOT_READ_RATE;
    rates.swap(0, process);
    rates
}
