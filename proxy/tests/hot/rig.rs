//! Proxies in front of four groups of databases. One group has the key that becomes hot; the others hold copies of it.

use birchreach_test_support::fleet::{admin_call, check_settled};
use birchreach_test_support::groups::traffic::{ProxyAddresses, ReadRate, Traffic, TrafficProfile};
use birchreach_test_support::groups::{CapacityModel, ClusterRig, GroupProfile};
use birchreach_test_support::process::{MAX_WAIT, Process};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub(crate) const HOT_OPTIONS: &str =
    "<hot bears='30' copies-per-s='10' reads-per-s='10' all-per-s='60' window-ms='2000'/>";

pub(crate) const GROUP_COUNT: usize = 4;
pub(crate) const MEMBER_COUNT: usize = 3;

/// The group of the key that becomes hot.
pub(crate) const HOME_GROUP: usize = 0;

/// The replication lag.
pub(crate) const LAG_MS: i64 = 20;

const GROUP_PROFILE: GroupProfile = GroupProfile {
    member_count: MEMBER_COUNT,
    lag_ms: LAG_MS,
    capacity: CapacityModel {
        max_concurrent: 2,
        statement_time: Duration::from_millis(3),
        slow_start_initial_fraction: 0.3,
        slow_start_window: Duration::from_secs(3),
    },
};

/// The number of clients that also write.
const WRITING_CLIENTS: usize = 2;

pub(crate) struct HotRig {
    pub(crate) cluster: ClusterRig,
    /// By index of the process; `None` for a process that was killed.
    pub(crate) processes: Vec<Option<Process>>,
    addresses: Arc<ProxyAddresses>,
}

impl HotRig {
    /// Starts the processes. `test_number` selects the folder and addresses, which no other test uses.
    pub(crate) fn start(test_number: u8, process_count: usize) -> HotRig {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hot-{test_number}"));
        let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
        let loopback_address = [127, 87, test_number, 1];
        let groups = ClusterRig::groups(GROUP_COUNT, loopback_address, &GROUP_PROFILE).unwrap();
        let seed = u64::from(test_number);
        let cluster =
            ClusterRig::new(groups, process_count, loopback_address, program, &folder, seed, HOT_OPTIONS)
                .unwrap();
        let processes: Vec<Option<Process>> =
            (0..process_count).map(|process| Some(cluster.start(process).unwrap())).collect();
        let client_addresses = processes.iter().map(|process| process.as_ref()?.client_address()).collect();
        let rig = HotRig { cluster, processes, addresses: Arc::new(Mutex::new(client_addresses)) };
        rig.wait_until("join", || check_settled(process_count, &rig.running_processes()).is_ok());
        rig
    }

    pub(crate) fn running_processes(&self) -> Vec<&Process> {
        self.processes.iter().flatten().collect()
    }

    /// Waits until the condition holds.
    pub(crate) fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            let status = |process: &&Process| hot_status(process) + &admin_call(process, "fleet");
            let statuses: Vec<String> = self.running_processes().iter().map(status).collect();
            assert!(start.elapsed() < 2 * MAX_WAIT, "{what}: {statuses:#?}");
            sleep(Duration::from_millis(50));
        }
    }

    pub(crate) fn all_hot_statuses_start_with(&self, start: &str) -> bool {
        self.running_processes().iter().all(|process| hot_status(process).starts_with(start))
    }

    /// Returns whether each running process has `key_count` hot keys.
    pub(crate) fn all_have_hot_keys(&self, key_count: usize) -> bool {
        self.all_hot_statuses_start_with(&format!("hot keys={key_count} "))
    }

    /// Returns the number of reads that copies have served, summed over all running processes.
    pub(crate) fn served_from_copies(&self) -> u64 {
        self.running_processes().iter().map(|process| reads_served_from_copies(process)).sum()
    }

    /// Starts a client of each process. The clients read the hot key at this rate and another key once a second; some also write.
    pub(crate) fn start_traffic(&self, hot_reads_per_second: f64) -> Traffic {
        let read_rate = |key: &str, reads_per_second| ReadRate { key: key.into(), reads_per_second };
        let profile = |process| TrafficProfile {
            proxy: process,
            group: HOME_GROUP as u32,
            read_rates: vec![read_rate("hot", hot_reads_per_second), read_rate("cool", 1.0)],
            session_fraction: 0.3,
            write_rate: if process < WRITING_CLIENTS { 2.0 } else { 0.0 },
        };
        let profiles: Vec<TrafficProfile> = (0..self.processes.len()).map(profile).collect();
        Traffic::start(&self.addresses, &self.cluster.groups, &profiles, 1)
    }

    /// Kills a process if it is running, and starts it again.
    pub(crate) fn restart(&mut self, process: usize) {
        self.processes[process] = None;
        let started = self.cluster.start(process).unwrap();
        self.addresses.lock().unwrap()[process] = started.client_address();
        self.processes[process] = Some(started);
    }

    /// Reloads all processes with other options for hot keys. All of them have to be running.
    pub(crate) fn reload_all(&self, hot_options: &str) {
        for (index, process) in self.running_processes().iter().enumerate() {
            let options = self.cluster.fleet.options_xml(index).replace(HOT_OPTIONS, hot_options);
            let config = self.cluster.fleet.rig.config(index as u64 + 1);
            process.reload(&config, &options).unwrap();
        }
    }
}

/// Returns the reply of a process to the admin call `hot`.
fn hot_status(process: &Process) -> String {
    admin_call(process, "hot")
}

/// Returns a process's own count of the reads that copies have served.
fn reads_served_from_copies(process: &Process) -> u64 {
    let status = hot_status(process);
    let served = status.split_whitespace().find_map(|word| word.strip_prefix("served=")?.parse().ok());
    served.unwrap_or(0)
}
