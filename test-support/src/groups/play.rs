//! One schedule on several processes with hot keys and a split at once: faults of processes, of their network and of databases, drawn
//! from a seed; clients all the while; and the judges' word at the end. A failing seed plays the same again.

use super::draw::{Trouble, draw, heal, trouble};
use super::judge::{Read, claims, cold, doubles, stale, windows};
use super::traffic::{Habit, Told, Traffic};
use super::{Change, Group, Load, Planted, Site, What, now_ms};
use crate::fleet::check_settled;
use crate::process::Process;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub(super) const PLACES: usize = 4;
const KEYS: usize = 24;
pub(super) const FAULTS: Duration = Duration::from_secs(8);
const MEND: Duration = Duration::from_secs(40);
/// Budgets of the options below, in a window of a second, and what stopped processes may have had on their way.
const COPIES: usize = 12;
const SHADOWS: usize = 24;
const ON_THE_WAY: usize = PLACES;
const MORE: &str = "<hot bears='25' copies-per-s='12' reads-per-s='12' all-per-s='60' window-ms='1000'/>\
     <split from='0' below='1' above='2' at='2147483648' least='1' within-ms='60000' confirm-ms='2500' \
     reads-per-s='24' all-per-s='80' window-ms='1000'/>";

/// What a schedule came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub broken: u64,
    /// Reads that were held against what they had to see; copies and comparisons that there were, and flags of planted faults.
    pub checked: usize,
    pub claims: usize,
    pub copy_reads: usize,
    pub copy_writes: usize,
    pub shadows: usize,
    pub flags: usize,
    pub planted: usize,
}

/// The hash by which the options split, as a test sees it.
pub type Hash = fn(&str) -> u32;

/// Plays a seed. The error says what was broken, with the schedule.
pub fn play(
    seed: u64,
    own: [u8; 4],
    program: &Path,
    folder: &Path,
    hash: Hash,
    below: fn(&str) -> bool,
    above: fn(&str) -> bool,
) -> Result<Summary, String> {
    let (schedule, troubles) = draw(seed);
    let told = |e: String| format!("seed {seed}: {e}\n{schedule:?}\n{troubles:?}");
    let io = |e: std::io::Error| told(e.to_string());
    let at = SocketAddr::new(IpAddr::from(own), 0);
    let (work, warm) = (Duration::from_millis(1), Duration::from_secs(3));
    let load = Load { at_once: 4, work, cold_share: 0.3, cold: warm };
    let parent = Group::start(at, 3, 30, load.clone(), None).map_err(io)?;
    let child = |own| Group::start(at, 3, 30, load.clone(), Some((parent.clone(), own)));
    let groups = vec![
        parent.clone(),
        child(below).map_err(io)?,
        child(above).map_err(io)?,
        Group::start(at, 3, 30, load.clone(), None).map_err(io)?,
    ];
    let keys: Vec<String> = (0..KEYS).map(|n| format!("key-{n}")).collect();
    for (n, key) in keys.iter().enumerate() {
        let change = Change::Row { key: key.clone(), value: format!("{n:04x}") };
        parent.with(|s| s.commit(0, now_ms() - 10_000, "", change));
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
            0 => (owner, Planted::Missing, "missing"),
            1 => (other, Planted::Extra, "extra"),
            _ => (owner, Planted::Other("ffff".into()), "differs"),
        };
        groups[group].with(|s| s.planted.insert(key.clone(), fault));
        planted.insert(format!("{sort} {:08x}", hash(key)));
    }
    let site = Site::new(groups, PLACES, own, program, folder, seed, MORE).map_err(io)?;
    let mut all: Vec<Option<Process>> =
        (0..PLACES).map(|n| site.start(n).map(Some)).collect::<Result<_, _>>().map_err(io)?;
    let start = Instant::now();
    while check_settled(PLACES, &all.iter().flatten().collect::<Vec<_>>()).is_err() {
        if start.elapsed() > MEND {
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
    let traffic: Vec<Traffic> = (0..PLACES)
        .map(|n| {
            let habit =
                Habit { group: 0, reads: reads(n), sessions: 0.3, writes: if n < 3 { 3.0 } else { 1.0 } };
            Traffic::start(&proxies, &site.groups, &[(n, habit)], seed)
        })
        .collect();
    sleep(Duration::from_secs(3));
    let mut lines: Vec<String> = Vec::new();
    let mut killed = [false; PLACES];
    std::thread::scope(|scope| {
        let (site, troubles) = (&site, &troubles);
        scope.spawn(move || {
            let start = Instant::now();
            for (at, act) in troubles {
                sleep(at.saturating_sub(start.elapsed()));
                trouble(site, act);
            }
        });
        let start = Instant::now();
        for (at, act) in &schedule.actions {
            sleep(at.saturating_sub(start.elapsed()));
            if let Some(n) = act.ended_process() {
                killed[n] = true;
                lines.extend(all[n].iter().flat_map(Process::log));
            }
            schedule.apply(&site.fleet, &mut all, act)?;
            let now: Vec<Option<SocketAddr>> = all.iter().map(|p| p.as_ref()?.client_address()).collect();
            *crate::lock(&proxies) = now;
        }
        sleep(FAULTS.saturating_sub(start.elapsed()));
        std::io::Result::Ok(())
    })
    .map_err(io)?;
    heal(&site);
    schedule.recover(&site.fleet, &mut all, MEND)?;
    *crate::lock(&proxies) = all.iter().map(|p| p.as_ref()?.client_address()).collect();
    sleep(Duration::from_secs(3));
    let said: Vec<Told> = traffic.into_iter().map(Traffic::stop).collect();
    lines.extend(all.iter().flatten().flat_map(Process::log));
    let deposed = troubles.iter().any(|(_, t)| matches!(t, Trouble::FailOver { group: 0, knows: false, .. }));
    judge(&site, &said, &killed, &lines, &planted, deposed).map_err(told)
}

fn judge(
    site: &Site,
    said: &[Told],
    killed: &[bool],
    lines: &[String],
    planted: &BTreeSet<String>,
    deposed: bool,
) -> Result<Summary, String> {
    let mut sum = Summary { planted: planted.len(), ..Summary::default() };
    for (told, killed) in said.iter().zip(killed) {
        sum.served += told.served;
        sum.refused += told.refused;
        sum.failed += told.failed;
        sum.broken += told.broken;
        if told.broken > 0 && !killed {
            return Err(format!("{} requests lost at a proxy that was not killed", told.broken));
        }
    }
    let states: Vec<_> =
        site.groups.iter().map(|g| g.with(|s| (s.records.clone(), s.log.clone(), s.lost.clone()))).collect();
    for (n, (records, log, lost)) in states.iter().enumerate() {
        let reads: Vec<Read> =
            said.iter().flat_map(|t| &t.reads).filter(|r| r.0 == n as u32).map(|r| r.1.clone()).collect();
        // A primary that was deposed and does not know it is believed by whoever reads there: copies of it are not to be.
        if !deposed {
            sum.checked += stale(&reads, log, lost)?;
        }
        sum.claims += claims(log, 0, &states[0].1, &states[0].2)?;
        let copies = |what: &What| *what == What::CopyWrite;
        let shadows = |what: &What| matches!(what, What::Read { background: true } | What::Look);
        windows(records, 1_000, COPIES + ON_THE_WAY, copies)?;
        // Each look, and each copy, reads twice; rows are read for copies at home alone.
        let most = if n == 0 { COPIES + SHADOWS } else { SHADOWS };
        windows(records, 1_000, 2 * (most + ON_THE_WAY), shadows)?;
        cold(records, |what| copies(what) || shadows(what))?;
        sum.copy_reads += records.iter().filter(|r| r.what == What::CopyRead { served: true }).count();
        sum.copy_writes += records.iter().filter(|r| copies(&r.what)).count();
        sum.shadows += records.iter().filter(|r| shadows(&r.what)).count();
    }
    let records: Vec<_> = states.iter().map(|s| s.0.as_slice()).collect();
    let logs: Vec<_> = states.iter().flat_map(|s| [s.1.as_slice(), s.2.as_slice()]).collect();
    doubles(&records, &logs)?;
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
        sum.flags += 1;
    }
    if let Some(panic) = lines.iter().find(|l| l.contains("panicked")) {
        return Err(panic.clone());
    }
    Ok(sum)
}
