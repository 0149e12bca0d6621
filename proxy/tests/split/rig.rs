//! Proxies in front of a group that splits into two children, and clients that read all keys of the group.

use birchreach_test_support::fleet::{admin_call, check_settled};
use birchreach_test_support::groups::history_checks::{check_none_during_slow_start, check_rate_limit};
use birchreach_test_support::groups::split_groups::{
    LOWER_CHILD, PARENT, UPPER_CHILD, start_split_groups, write_initial_rows,
};
use birchreach_test_support::groups::split_keys::hash;
use birchreach_test_support::groups::traffic::{ReadRate, Traffic, TrafficProfile};
use birchreach_test_support::groups::{CapacityModel, ClusterRig, GroupProfile, GroupState, StatementKind};
use birchreach_test_support::process::{MAX_WAIT, Process};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub(crate) const SPLIT_OPTIONS: &str = "<split from='0' below='1' above='2' at='2147483648' least='1' within-ms='60000' confirm-ms='2500' \
                     reads-per-s='60' all-per-s='200' window-ms='1000'/>";

/// The replication lag of the children.
pub(crate) const CHILD_LAG_MS: i64 = 30;

/// The number of equal ranges of the hash space. The test has one key in each range.
const RANGE_COUNT: usize = 64;
const HASHES_PER_RANGE: usize = 1 << 26;

const CAPACITY: CapacityModel = CapacityModel {
    max_concurrent: 4,
    statement_time: Duration::from_millis(1),
    slow_start_initial_fraction: 0.3,
    slow_start_window: Duration::from_secs(2),
};

const PARENT_PROFILE: GroupProfile = GroupProfile { member_count: 3, lag_ms: 20, capacity: CAPACITY };
const CHILD_PROFILE: GroupProfile =
    GroupProfile { member_count: 2, lag_ms: CHILD_LAG_MS, capacity: CAPACITY };

const BUDGET_WINDOW_MS: i64 = 1_000;

/// The maximum number of reads of a child in a window: two for each sample, and 8 that can be in flight before a suspension.
const MAX_DUAL_READS: usize = 2 * 60 + 8;

pub(crate) struct SplitRig {
    pub(crate) cluster: ClusterRig,
    pub(crate) processes: Vec<Process>,
    pub(crate) keys: Vec<String>,
    traffic: Option<Traffic>,
}

impl SplitRig {
    /// Starts the processes and a client of each. `test_number` selects the folder and addresses, which no other test uses.
    pub(crate) fn start(test_number: u8, process_count: usize) -> SplitRig {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("split-{test_number}"));
        let program = Path::new(env!("CARGO_BIN_EXE_birchreach-proxy"));
        let loopback_address = [127, 86, test_number, 1];
        let keys = key_in_each_range();
        let groups = start_split_groups(loopback_address, &PARENT_PROFILE, &CHILD_PROFILE).unwrap();
        write_initial_rows(&groups[PARENT], &keys);
        let seed = u64::from(test_number);
        let cluster =
            ClusterRig::new(groups, process_count, loopback_address, program, &folder, seed, SPLIT_OPTIONS)
                .unwrap();
        let processes: Vec<Process> =
            (0..process_count).map(|process| cluster.start(process).unwrap()).collect();
        let mut rig = SplitRig { cluster, processes, keys, traffic: None };
        rig.wait_until("join", |rig| {
            check_settled(process_count, &rig.processes.iter().collect::<Vec<_>>()).is_ok()
        });
        rig.traffic = Some(rig.start_traffic());
        rig
    }

    /// Starts a client of each process. Each client writes a key that no other client writes, and reads all keys.
    fn start_traffic(&self) -> Traffic {
        let proxies = Arc::new(Mutex::new(self.processes.iter().map(Process::client_address).collect()));
        let profile = |process: usize| TrafficProfile {
            proxy: process,
            group: PARENT as u32,
            read_rates: self.read_rates(process),
            session_fraction: 0.0,
            write_rate: 3.0,
        };
        let profiles: Vec<TrafficProfile> = (0..self.processes.len()).map(profile).collect();
        Traffic::start(&proxies, &self.cluster.groups, &profiles, 7)
    }

    /// Returns read rates for all keys. The client writes the first key, which differs between processes.
    fn read_rates(&self, process: usize) -> Vec<ReadRate> {
        let read_rate = |key: &String| ReadRate { key: key.clone(), reads_per_second: 1.0 };
        let mut rates: Vec<ReadRate> = self.keys.iter().map(read_rate).collect();
        rates.swap(0, process * 5);
        rates
    }

    /// Reloads a process with other options for the split.
    pub(crate) fn reload(&self, process: usize, split_options: &str) {
        let options = self.cluster.fleet.options_xml(process).replace(SPLIT_OPTIONS, split_options);
        let config = self.cluster.fleet.rig.config(process as u64 + 1);
        self.processes[process].reload(&config, &options).unwrap();
    }

    /// Returns the reply of a process to the admin call `split`.
    pub(crate) fn split_status(&self, process: usize) -> String {
        admin_call(&self.processes[process], "split")
    }

    /// Waits until the condition holds.
    pub(crate) fn wait_until(&self, what: &str, mut holds: impl FnMut(&SplitRig) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            let statuses: Vec<String> = (0..self.processes.len()).map(|n| self.split_status(n)).collect();
            assert!(start.elapsed() < 3 * MAX_WAIT, "{what}: {statuses:#?}");
            sleep(Duration::from_millis(100));
        }
    }

    pub(crate) fn all_have_verdict(&self, verdict: &str) -> bool {
        let start = format!("split verdict={verdict} ");
        (0..self.processes.len()).all(|process| self.split_status(process).starts_with(&start))
    }

    /// Returns whether a process has no verdict for all processes yet, or the verdict that the children differ.
    pub(crate) fn has_no_clean_verdict(&self, process: usize) -> bool {
        let status = self.split_status(process);
        status.contains("verdict=not-yet") || status.contains("verdict=dirty")
    }

    /// Returns the kind and hash of each difference that a log reports as confirmed, sorted and without duplicates.
    pub(crate) fn confirmed_differences(&self) -> Vec<String> {
        let lines = self.processes.iter().flat_map(Process::log);
        let flags = lines.filter(|line| line.contains("event=split-flag"));
        let mut differences: Vec<String> = flags.filter_map(|line| reported_difference(&line)).collect();
        differences.sort();
        differences.dedup();
        differences
    }

    /// Stops the clients. Checks that only the parent served them and that the reads of the children stayed within the budget.
    pub(crate) fn stop_and_check_records(&mut self) {
        let result = self.traffic.take().unwrap().stop();
        assert!(
            result.served_fraction() > 0.5 && result.served > 200,
            "{} served, {} rejected",
            result.served,
            result.rejected
        );
        for child in [LOWER_CHILD, UPPER_CHILD] {
            self.cluster.groups[child].with_state(|state| check_child_records(state));
        }
    }
}

/// Returns one key for each range of hashes, in the order of the ranges.
fn key_in_each_range() -> Vec<String> {
    let mut by_range: Vec<Option<String>> = vec![None; RANGE_COUNT];
    for n in 0..10_000 {
        let key = format!("key-{n}");
        let range = hash(&key) as usize / HASHES_PER_RANGE;
        by_range[range].get_or_insert(key);
    }
    by_range.into_iter().flatten().collect()
}

/// Returns the kind and hash in a log line that reports a difference.
fn reported_difference(line: &str) -> Option<String> {
    let value_of = |key: &str| line.split([' ', '"']).find_map(|word| word.strip_prefix(key));
    Some(format!("{} {}", value_of("sort=")?, value_of("hash=")?))
}

/// Checks that a child was read only by the proxies' comparison, within its budget, and not during the slow start of the child.
fn check_child_records(state: &GroupState) {
    let is_client_read =
        |statement: &StatementKind| matches!(statement, StatementKind::Read { background: false });
    let client_reads = state.records.iter().filter(|record| is_client_read(&record.statement)).count();
    assert_eq!(client_reads, 0, "a child served a read of a client");
    let is_dual_read = |statement: &StatementKind| {
        matches!(statement, StatementKind::Read { background: true } | StatementKind::PositionRead)
    };
    let highest = check_rate_limit(&state.records, BUDGET_WINDOW_MS, MAX_DUAL_READS, is_dual_read).unwrap();
    check_none_during_slow_start(&state.records, is_dual_read).unwrap();
    assert!(highest > 0);
}
