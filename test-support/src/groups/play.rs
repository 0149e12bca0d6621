//! One schedule on several processes with hot keys and a split at once: faults of processes, of their network and of databases, drawn
//! from a seed; clients all the while; and the judges' word at the end. A failing seed plays the same again.

use super::draw::{DatabaseFault, apply_database_fault, clear_database_faults, generate_faults};
use super::judge::{
    ServedRead, check_copies, check_freshness, check_none_while_warming_up, check_rate_limit,
    check_single_execution,
};
use super::traffic::{Traffic, TrafficProfile, TrafficResult};
use super::{CapacityModel, Change, ClusterRig, Group, PlantedDifference, StatementKind, now_ms};
use crate::fleet::check_settled;
use crate::process::Process;
use crate::schedule::TimedAction;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub(super) const PROCESS_COUNT: usize = 4;
const KEY_COUNT: usize = 24;
pub(super) const FAULT_PERIOD: Duration = Duration::from_secs(8);
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);
/// Budgets of the options below, in a window of a second, and what stopped processes may have had on their way.
const COPIES_PER_SECOND: usize = 12;
const DUAL_READS_PER_SECOND: usize = 24;
const MAX_DELAYED_STATEMENTS: usize = PROCESS_COUNT;
const EXTRA_OPTIONS: &str = "<hot bears='25' copies-per-s='12' reads-per-s='12' all-per-s='60' window-ms='1000'/>\
     <split from='0' below='1' above='2' at='2147483648' least='1' within-ms='60000' confirm-ms='2500' \
     reads-per-s='24' all-per-s='80' window-ms='1000'/>";

/// What a schedule came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub disconnected: u64,
    /// Reads that were held against what they had to see; copies and comparisons that there were, and flags of planted faults.
    pub checked_reads: usize,
    pub checked_copies: usize,
    pub copy_reads: usize,
    pub copy_writes: usize,
    pub dual_reads: usize,
    pub reported_differences: usize,
    pub planted_differences: usize,
}

/// The hash by which the options split, as a test sees it.
pub type Hash = fn(&str) -> u32;

/// Plays a seed. The error says what was broken, with the schedule.
pub fn play_schedule(
    seed: u64,
    own: [u8; 4],
    program: &Path,
    folder: &Path,
    hash: Hash,
    below: fn(&str) -> bool,
    above: fn(&str) -> bool,
) -> Result<Summary, String> {
    let (schedule, troubles) = generate_faults(seed);
    let told = |e: String| format!("seed {seed}: {e}\n{schedule:?}\n{troubles:?}");
    let io = |e: std::io::Error| told(e.to_string());
    let at = SocketAddr::new(IpAddr::from(own), 0);
    let (work, warm) = (Duration::from_millis(1), Duration::from_secs(3));
    let load = CapacityModel {
        max_concurrent: 4,
        statement_time: work,
        slow_start_initial_fraction: 0.3,
        slow_start_window: warm,
    };
    let parent = Group::start(at, 3, 30, load.clone(), None).map_err(io)?;
    let child = |own| Group::start(at, 3, 30, load.clone(), Some((parent.clone(), own)));
    let groups = vec![
        parent.clone(),
        child(below).map_err(io)?,
        child(above).map_err(io)?,
        Group::start(at, 3, 30, load.clone(), None).map_err(io)?,
    ];
    let keys: Vec<String> = (0..KEY_COUNT).map(|n| format!("key-{n}")).collect();
    for (n, key) in keys.iter().enumerate() {
        let change = Change::Row { key: key.clone(), value: format!("{n:04x}") };
        parent.with_state(|s| s.commit(0, now_ms() - 10_000, "", change));
    }
    let mut rng = fastrand::Rng::with_seed(seed);
    // In half of the seeds a child has faults, in rows that are not written.
    let mut planted = BTreeSet::new();
    for key in keys.iter().skip(8).filter(|_| seed.is_multiple_of(2)) {
        if rng.u8(..6) > 0 {
            continue;
        }
        let (owner, other) = if below(key) { (1, 2) } else { (2, 1) };
        let (group, fault, sort) = match rng.u8(..3) {
            0 => (owner, PlantedDifference::Missing, "missing"),
            1 => (other, PlantedDifference::Extra, "extra"),
            _ => (owner, PlantedDifference::OtherValue("ffff".into()), "differs"),
        };
        groups[group].with_state(|s| s.planted_differences.insert(key.clone(), fault));
        planted.insert(format!("{sort} {:08x}", hash(key)));
    }
    let site =
        ClusterRig::new(groups, PROCESS_COUNT, own, program, folder, seed, EXTRA_OPTIONS).map_err(io)?;
    let mut all: Vec<Option<Process>> =
        (0..PROCESS_COUNT).map(|n| site.start(n).map(Some)).collect::<Result<_, _>>().map_err(io)?;
    let start = Instant::now();
    while check_settled(PROCESS_COUNT, &all.iter().flatten().collect::<Vec<_>>()).is_err() {
        if start.elapsed() > RECOVERY_LIMIT {
            return Err(told("no join".into()));
        }
        sleep(Duration::from_millis(50));
    }
    let proxies = Arc::new(Mutex::new(all.iter().map(|p| p.as_ref()?.client_address()).collect::<Vec<_>>()));
    let reads = |n: usize| {
        let mut reads: Vec<(String, f64)> = keys.iter().map(|key| (key.clone(), 1.0)).collect();
        // The first key is written; the third is hot.
        reads[3].1 = 20.0;
        reads.swap(0, n);
        reads
    };
    let traffic: Vec<Traffic> = (0..PROCESS_COUNT)
        .map(|n| {
            let habit = TrafficProfile {
                group: 0,
                read_rates: reads(n),
                session_fraction: 0.3,
                write_rate: if n < 3 { 3.0 } else { 1.0 },
            };
            Traffic::start(&proxies, &site.groups, &[(n, habit)], seed)
        })
        .collect();
    sleep(Duration::from_secs(3));
    let mut lines: Vec<String> = Vec::new();
    let mut killed = [false; PROCESS_COUNT];
    std::thread::scope(|scope| {
        let (site, troubles) = (&site, &troubles);
        scope.spawn(move || {
            let start = Instant::now();
            for (at, act) in troubles {
                sleep(at.saturating_sub(start.elapsed()));
                apply_database_fault(site, act);
            }
        });
        let start = Instant::now();
        for TimedAction { after, action: act } in &schedule.actions {
            sleep(after.saturating_sub(start.elapsed()));
            if let Some(n) = act.ended_process() {
                killed[n] = true;
                lines.extend(all[n].iter().flat_map(Process::log));
            }
            schedule.apply(&site.fleet, &mut all, act)?;
            let now: Vec<Option<SocketAddr>> = all.iter().map(|p| p.as_ref()?.client_address()).collect();
            *crate::lock(&proxies) = now;
        }
        sleep(FAULT_PERIOD.saturating_sub(start.elapsed()));
        std::io::Result::Ok(())
    })
    .map_err(io)?;
    clear_database_faults(&site);
    schedule.recover(&site.fleet, &mut all, RECOVERY_LIMIT)?;
    *crate::lock(&proxies) = all.iter().map(|p| p.as_ref()?.client_address()).collect();
    sleep(Duration::from_secs(3));
    let said: Vec<TrafficResult> = traffic.into_iter().map(Traffic::stop).collect();
    lines.extend(all.iter().flatten().flat_map(Process::log));
    let deposed = troubles
        .iter()
        .any(|(_, t)| matches!(t, DatabaseFault::FailOver { group: 0, old_primary_notified: false, .. }));
    judge_run(&site, &said, &killed, &lines, &planted, deposed).map_err(told)
}

fn judge_run(
    site: &ClusterRig,
    said: &[TrafficResult],
    killed: &[bool],
    lines: &[String],
    planted: &BTreeSet<String>,
    deposed: bool,
) -> Result<Summary, String> {
    let mut sum = Summary { planted_differences: planted.len(), ..Summary::default() };
    for (told, killed) in said.iter().zip(killed) {
        sum.served += told.served;
        sum.rejected += told.rejected;
        sum.failed += told.failed;
        sum.disconnected += told.disconnected;
        if told.disconnected > 0 && !killed {
            return Err(format!("{} requests lost at a proxy that was not killed", told.disconnected));
        }
    }
    let states: Vec<_> = site
        .groups
        .iter()
        .map(|g| g.with_state(|s| (s.records.clone(), s.log.clone(), s.lost_commits.clone())))
        .collect();
    for (n, (records, log, lost)) in states.iter().enumerate() {
        let reads: Vec<ServedRead> =
            said.iter().flat_map(|t| &t.reads).filter(|r| r.0 == n as u32).map(|r| r.1.clone()).collect();
        // A primary that was deposed and does not know it is believed by whoever reads there: copies of it are not to be.
        if !deposed {
            sum.checked_reads += check_freshness(&reads, log, lost)?;
        }
        sum.checked_copies += check_copies(log, 0, &states[0].1, &states[0].2)?;
        let copies = |what: &StatementKind| *what == StatementKind::CopyWrite;
        let shadows = |what: &StatementKind| {
            matches!(what, StatementKind::Read { background: true } | StatementKind::PositionRead)
        };
        check_rate_limit(records, 1_000, COPIES_PER_SECOND + MAX_DELAYED_STATEMENTS, copies)?;
        // Each look, and each copy, reads twice; rows are read for copies at home alone.
        let most = if n == 0 { COPIES_PER_SECOND + DUAL_READS_PER_SECOND } else { DUAL_READS_PER_SECOND };
        check_rate_limit(records, 1_000, 2 * (most + MAX_DELAYED_STATEMENTS), shadows)?;
        check_none_while_warming_up(records, |what| copies(what) || shadows(what))?;
        sum.copy_reads +=
            records.iter().filter(|r| r.statement == StatementKind::CopyRead { served: true }).count();
        sum.copy_writes += records.iter().filter(|r| copies(&r.statement)).count();
        sum.dual_reads += records.iter().filter(|r| shadows(&r.statement)).count();
    }
    let records: Vec<_> = states.iter().map(|s| s.0.as_slice()).collect();
    let logs: Vec<_> = states.iter().flat_map(|s| [s.1.as_slice(), s.2.as_slice()]).collect();
    check_single_execution(&records, &logs)?;
    let word =
        |line: &str, key: &str| line.split([' ', '"']).find_map(|w| w.strip_prefix(key).map(String::from));
    let flags = lines.iter().filter(|l| l.contains("event=split-flag"));
    for line in flags {
        let flag = format!(
            "{} {}",
            word(line, "sort=").unwrap_or_default(),
            word(line, "hash=").unwrap_or_default()
        );
        if !planted.contains(&flag) {
            return Err(format!("a false flag: {line}"));
        }
        sum.reported_differences += 1;
    }
    if let Some(panic) = lines.iter().find(|l| l.contains("panicked")) {
        return Err(panic.clone());
    }
    Ok(sum)
}
