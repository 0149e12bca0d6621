//! The processes of a run: their start, their traffic, and the faults while they run.

use super::ClusterRig;
use super::database_faults::{TimedDatabaseFault, apply_database_fault};
use super::play::{FAULT_PERIOD, PROCESS_COUNT, RECOVERY_LIMIT};
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

/// How often it is checked whether processes agree on the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The hot key, and how often each client reads it and every other key in a second.
const HOT_KEY: usize = 3;
const HOT_READ_RATE: f64 = 20.0;
const READ_RATE: f64 = 1.0;

/// How often a client writes in a second; the client whose first key is the hot one writes less.
const WRITE_RATE: f64 = 3.0;
const HOT_WRITE_RATE: f64 = 1.0;

/// Fraction of reads of the first key that have to see the client's last write.
const SESSION_FRACTION: f64 = 0.3;

/// The processes of a run and what they left so far. The processes end before the rig.
pub(super) struct Run {
    /// `None` stands where a process was killed.
    pub processes: Vec<Option<Process>>,
    pub rig: ClusterRig,
    addresses: Arc<ProxyAddresses>,
    /// Whether each process was killed or restarted.
    pub killed: [bool; PROCESS_COUNT],
    /// Log lines of processes that ended.
    pub log_lines: Vec<String>,
}

impl Run {
    /// Starts all processes.
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
                return Err("the processes did not agree on the fleet".into());
            }
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Tells clients where the processes are reached now.
    pub(super) fn update_addresses(&self) {
        let addresses = client_addresses(&self.processes);
        *lock(&self.addresses) = addresses;
    }

    /// Starts a client for each process; the result has one for each, too.
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

    /// Applies the faults of processes and of databases at their times, and waits for the end of their period.
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

/// Where clients reach each process; `None` for those that do not run.
fn client_addresses(processes: &[Option<Process>]) -> Vec<Option<SocketAddr>> {
    processes.iter().map(|process| process.as_ref()?.client_address()).collect()
}

/// The keys with their rates, for the client of a process: it writes the first, which differs from client to client.
fn read_rates(keys: &[String], process: usize) -> Vec<ReadRate> {
    let rate = |key: &String| ReadRate { key: key.clone(), reads_per_second: READ_RATE };
    let mut rates: Vec<ReadRate> = keys.iter().map(rate).collect();
    rates[HOT_KEY].reads_per_second = HOT_READ_RATE;
    rates.swap(0, process);
    rates
}
