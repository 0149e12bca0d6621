//! One run of several processes with hot keys and a shard split at once. Faults of processes, of their network and of
//! databases are drawn from a seed; clients send requests all the while; all checks follow at the end. A failing seed gives
//! the same faults again.

use super::database_faults::{
    DatabaseFault, GROUP_COUNT, GeneratedFaults, MEMBER_COUNT, NORMAL_LAG_MS, TimedDatabaseFault,
    clear_database_faults, generate_faults,
};
use super::run::Run;
use super::run_checks::FinishedRun;
use super::split_groups::{PARENT, plant_difference, start_split_groups, write_initial_rows};
use super::traffic::{Traffic, TrafficResult};
use super::{CapacityModel, ClusterRig, Group, GroupProfile, PlantedDifference};
use crate::process::Process;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

pub(super) const PROCESS_COUNT: usize = 4;

/// How long faults happen.
pub(super) const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// Traffic without faults, before and after them.
const QUIET_PERIOD: Duration = Duration::from_secs(3);

/// How long processes may take to agree on the fleet.
pub(super) const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// The members of each group.
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

/// Keys that are read; each client writes the first of its list.
const KEY_COUNT: usize = 24;

/// Keys below this one may be written, so no difference is planted in them.
const FIRST_UNWRITTEN_KEY: usize = 8;

/// One key in so many gets a difference, where differences are planted.
const KEYS_PER_DIFFERENCE: u8 = 6;

/// Budgets in the options below, in a window of one second.
pub(super) const COPIES_PER_SECOND: usize = 12;
pub(super) const DUAL_READS_PER_SECOND: usize = 24;

/// Statements that paused processes may have sent before, and that arrive beside a window's budget.
pub(super) const MAX_DELAYED_STATEMENTS: usize = PROCESS_COUNT;

const EXTRA_OPTIONS: &str = "<hot bears='25' copies-per-s='12' reads-per-s='12' all-per-s='60' window-ms='1000'/>\
     <split from='0' below='1' above='2' at='2147483648' least='1' within-ms='60000' confirm-ms='2500' \
     reads-per-s='24' all-per-s='80' window-ms='1000'/>";

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Reads that were served.
    pub served: u64,
    /// Reads that were rejected without execution.
    pub rejected: u64,
    /// Reads that failed otherwise.
    pub failed: u64,
    /// Reads during which the connection broke.
    pub disconnected: u64,
    /// Reads that were checked for freshness.
    pub checked_reads: usize,
    /// Copies that were checked against their home group's log.
    pub checked_copies: usize,
    /// Reads that were served from a copy.
    pub copy_reads: usize,
    /// Copies that were written.
    pub copy_writes: usize,
    /// Background reads for comparisons and copies.
    pub dual_reads: usize,
    /// Differences that processes reported.
    pub reported_differences: usize,
    /// Differences that were planted in the children of the split.
    pub planted_differences: usize,
}

/// A schedule of faults, and what it is played with.
#[derive(Clone, Copy, Debug)]
pub struct SeededSchedule<'a> {
    /// The faults, the requests and the planted differences are drawn from it.
    pub seed: u64,
    /// A loopback address that nobody else uses meanwhile.
    pub loopback_address: [u8; 4],
    /// The built proxy.
    pub program: &'a Path,
    /// The processes' files; it is deleted and created.
    pub folder: &'a Path,
}

impl SeededSchedule<'_> {
    /// Plays the schedule on processes and runs all checks. The error says which check failed, with the faults.
    pub fn play(&self) -> Result<Summary, String> {
        let SeededSchedule { seed, loopback_address, program, folder } = *self;
        let GeneratedFaults { schedule, database_faults } = generate_faults(seed);
        let describe = |error: String| format!("seed {seed}: {error}\n{schedule:?}\n{database_faults:?}");
        let describe_io = |error: io::Error| describe(error.to_string());
        let keys: Vec<String> = (0..KEY_COUNT).map(|n| format!("key-{n}")).collect();
        let groups = start_groups(loopback_address).map_err(describe_io)?;
        write_initial_rows(&groups[PARENT], &keys);
        let planted = plant_differences(seed, &groups, &keys);
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
            planted: &planted,
            stale_primary: database_faults.iter().any(leaves_stale_primary),
        };
        finished.check().map_err(describe)
    }
}

/// The group that splits, its two children, and a group that holds copies.
fn start_groups(loopback_address: [u8; 4]) -> io::Result<Vec<Group>> {
    let mut groups = start_split_groups(loopback_address, &GROUP_PROFILE, &GROUP_PROFILE)?;
    groups.extend(ClusterRig::groups(GROUP_COUNT - groups.len(), loopback_address, &GROUP_PROFILE)?);
    Ok(groups)
}

/// Plants differences in the children of the split, for even seeds, and returns them as logs report them.
fn plant_differences(seed: u64, groups: &[Group], keys: &[String]) -> BTreeSet<String> {
    let mut planted = BTreeSet::new();
    if !seed.is_multiple_of(2) {
        return planted;
    }
    let mut rng = fastrand::Rng::with_seed(seed);
    for key in keys.iter().skip(FIRST_UNWRITTEN_KEY) {
        if rng.u8(..KEYS_PER_DIFFERENCE) > 0 {
            continue;
        }
        let difference = match rng.u8(..3) {
            0 => PlantedDifference::Missing,
            1 => PlantedDifference::Extra,
            _ => PlantedDifference::OtherValue("ffff".into()),
        };
        planted.insert(plant_difference(groups, key, difference));
    }
    planted
}

/// Whether a fault leaves a former primary of the splitting group that was not notified.
fn leaves_stale_primary(timed: &TimedDatabaseFault) -> bool {
    matches!(timed.fault, DatabaseFault::FailOver { group: PARENT, old_primary_notified: false, .. })
}
