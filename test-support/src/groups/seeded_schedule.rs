//! A seeded fault-injection run of several processes, with hot keys and a shard split at the same time. The faults of
//! processes, network and databases are generated from a seed. Clients send requests throughout the run, and all checks
//! run at the end. A failing seed reproduces the same faults.

use super::database_faults::{
    DatabaseFault, GROUP_COUNT, GeneratedFaults, MEMBER_COUNT, NORMAL_LAG_MS, TimedDatabaseFault,
    clear_database_faults, generate_faults,
};
use super::run::Run;
use super::run_checks::FinishedRun;
use super::split_groups::{PARENT, inject_difference, start_split_groups, write_initial_rows};
use super::traffic::{Traffic, TrafficResult};
use super::{CapacityModel, ClusterRig, Group, GroupProfile, InjectedDifference};
use crate::process::Process;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

pub(super) const PROCESS_COUNT: usize = 4;

/// Duration of the period in which faults occur.
pub(super) const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// Duration of the traffic without faults, before and after the fault period.
const QUIET_PERIOD: Duration = Duration::from_secs(3);

/// Time limit for the processes to agree on the fleet.
pub(super) const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// Size and behavior of each group.
const GROUP_PROFILE: GroupProfile = GroupProfile {
    member_count: MEMBER_COUNT,
    lag_ms: NORMAL_LAG_MS,
    capacity: CapacityModel {
        max_concurrent: 4,
        statement_time: Duration::from_millis(1),
        slow_start_initial_fraction: 0.3,
        slow_start_window: Duration::from_secs(3),
    },
};

/// Number of keys that are read. Each client writes only the first key of its list.
const KEY_COUNT: usize = 24;

/// Clients may write the keys below this index, so no differences are injected there.
const FIRST_UNWRITTEN_KEY: usize = 8;

/// On average, one in this many keys gets a difference in runs that inject differences.
const KEYS_PER_DIFFERENCE: u8 = 6;

/// Background budgets in `EXTRA_OPTIONS`, per window of one second.
pub(super) const COPIES_PER_SECOND: usize = 12;
pub(super) const DUAL_READS_PER_SECOND: usize = 24;

/// Bound on statements that processes sent before they were suspended and that arrive in addition to a window's budget.
pub(super) const MAX_DELAYED_STATEMENTS: usize = PROCESS_COUNT;

const EXTRA_OPTIONS: &str = "<hot bears='25' copies-per-s='12' reads-per-s='12' all-per-s='60' window-ms='1000'/>\
     <split from='0' below='1' above='2' at='2147483648' least='1' within-ms='60000' confirm-ms='2500' \
     reads-per-s='24' all-per-s='80' window-ms='1000'/>";

/// The counts of a successful run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of reads that were served.
    pub served: u64,
    /// Number of reads that were rejected without execution.
    pub rejected: u64,
    /// Number of reads that failed for other reasons.
    pub failed: u64,
    /// Number of reads during which the connection broke.
    pub disconnected: u64,
    /// Number of reads that were checked for freshness.
    pub checked_reads: usize,
    /// Number of copies that were checked against the log of their home group.
    pub checked_copies: usize,
    /// Number of reads that were served from a copy.
    pub copy_reads: usize,
    /// Number of writes of copies.
    pub copy_writes: usize,
    /// Number of background reads for comparisons and copies.
    pub dual_reads: usize,
    /// Number of differences that processes reported in their logs.
    pub reported_differences: usize,
    /// Number of differences that were injected into the children of the split.
    pub injected_differences: usize,
}

/// A schedule of faults with the resources that its run uses.
#[derive(Clone, Copy, Debug)]
pub struct SeededSchedule<'a> {
    /// The seed of the faults, the requests and the injected differences.
    pub seed: u64,
    /// A loopback address that is not in use elsewhere during the run.
    pub loopback_address: [u8; 4],
    /// Path of the built proxy.
    pub program: &'a Path,
    /// The folder for the processes' files, which is deleted and created again.
    pub folder: &'a Path,
}

impl SeededSchedule<'_> {
    /// Runs the processes, clients and faults, then all checks. The error names the check that failed and lists the
    /// faults.
    pub fn run(&self) -> Result<Summary, String> {
        let SeededSchedule { seed, loopback_address, program, folder } = *self;
        let GeneratedFaults { schedule, database_faults } = generate_faults(seed);
        let describe = |error: String| format!("seed {seed}: {error}\n{schedule:?}\n{database_faults:?}");
        let describe_io = |error: io::Error| describe(error.to_string());
        let keys: Vec<String> = (0..KEY_COUNT).map(|n| format!("key-{n}")).collect();
        let groups = start_groups(loopback_address).map_err(describe_io)?;
        write_initial_rows(&groups[PARENT], &keys);
        let injected = inject_differences(seed, &groups, &keys);
        let rig =
            ClusterRig::new(groups, PROCESS_COUNT, loopback_address, program, folder, seed, EXTRA_OPTIONS)
                .map_err(describe_io)?;
        let mut run = Run::start(rig).map_err(describe_io)?;
        run.wait_until_settled().map_err(describe)?;
        let traffic = run.start_traffic(&keys, seed);
        sleep(QUIET_PERIOD);
        run.apply_faults(&schedule, &database_faults).map_err(describe_io)?;
        clear_database_faults(&run.rig);
        schedule.recover(&run.rig.fleet, &mut run.processes, RECOVERY_LIMIT)?;
        run.update_addresses();
        sleep(QUIET_PERIOD);
        let results: Vec<TrafficResult> = traffic.into_iter().map(Traffic::stop).collect();
        run.log_lines.extend(run.processes.iter().flatten().flat_map(Process::log));
        let finished = FinishedRun {
            groups: &run.rig.groups,
            traffic: &results,
            killed: &run.killed,
            log_lines: &run.log_lines,
            injected: &injected,
            stale_primary: database_faults.iter().any(leaves_stale_primary),
        };
        finished.check().map_err(describe)
    }
}

/// Starts the group that splits, its two children, and a group that holds copies.
fn start_groups(loopback_address: [u8; 4]) -> io::Result<Vec<Group>> {
    let mut groups = start_split_groups(loopback_address, &GROUP_PROFILE, &GROUP_PROFILE)?;
    groups.extend(ClusterRig::groups(GROUP_COUNT - groups.len(), loopback_address, &GROUP_PROFILE)?);
    Ok(groups)
}

/// For even seeds, injects differences into the children of the split. Returns the differences as logs report them.
fn inject_differences(seed: u64, groups: &[Group], keys: &[String]) -> BTreeSet<String> {
    let mut injected = BTreeSet::new();
    if !seed.is_multiple_of(2) {
        return injected;
    }
    let mut rng = fastrand::Rng::with_seed(seed);
    for key in keys.iter().skip(FIRST_UNWRITTEN_KEY) {
        if rng.u8(..KEYS_PER_DIFFERENCE) > 0 {
            continue;
        }
        let difference = match rng.u8(..3) {
            0 => InjectedDifference::Missing,
            1 => InjectedDifference::Extra,
            _ => InjectedDifference::OtherValue("ffff".into()),
        };
        injected.insert(inject_difference(groups, key, difference));
    }
    injected
}

/// Whether a fault leaves a former primary of the splitting group that was not notified of the failover.
fn leaves_stale_primary(timed: &TimedDatabaseFault) -> bool {
    matches!(timed.fault, DatabaseFault::FailOver { group: PARENT, old_primary_notified: false, .. })
}
