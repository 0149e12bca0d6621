//! From the hang of a primary to the changed response that balancers read, and claims withdrawn where nothing hung.

use crate::{Done, Times};
use birchreach_test_support::balancer::{Balancer, Check, Rules, check};
use birchreach_test_support::client::Client;
use birchreach_test_support::process::{PATIENCE, Process};
use birchreach_test_support::rig::Rig;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GROUPS: usize = 8;
const WRITERS_PER_GROUP: usize = 2;
/// One group hangs often, and its claim must not be restored later each time.
const CLAIMS: &str = "<claims rise-most-ms='1000'/>";
const PROBES: &str =
    "<probes every-ms='600' suspect-ms='300' timeout-ms='400' group-per-s='10' whole-per-s='80'/>";
const WRITE_TIMEOUT_MS: u32 = 8_000;
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Writers look this often whether the run is over.
const WRITE_SLICE: Duration = Duration::from_millis(200);
const BALANCER_INTERVAL: Duration = Duration::from_millis(500);
const HANG_POLL: Duration = Duration::from_millis(5);
const RECOVERY_POLL: Duration = Duration::from_millis(10);
/// A group rests at least this long, and up to the random part longer, before it hangs again.
const REST: Duration = Duration::from_millis(600);
const MAX_RANDOM_REST_MS: u64 = 800;

/// A run with hangs.
struct HangCase {
    name: &'static str,
    options: String,
    traffic: bool,
}

/// A run without hangs.
struct CalmCase {
    name: &'static str,
    classes: &'static [&'static str],
    heavy_delay: Duration,
    options: &'static str,
}

/// Times from a hang to the changed response, and to a balancer that acts on it.
#[derive(Default)]
struct HangTimes {
    reported: Times,
    acted: Times,
}

/// Runs the measurement and prints its tables.
pub fn run(program: &Path, folder: &Path, hangs: usize, calm: u64, seed: u64) -> Done {
    println!(
        "| hangs, {GROUPS} groups | n | median ms | 99th ms | most ms |\n| --- | --- | --- | --- | --- |"
    );
    for (number, case) in hang_cases().into_iter().enumerate() {
        let rig = Rig::new(GROUPS as u32, [127, 90, number as u8, 1], program, folder)?;
        let proxy = rig.start_with_doors(1, 64, &case.options)?;
        let times = measure_hangs(&rig, &proxy, &case, hangs, seed)?;
        println!("| {}: told | {} |", case.name, times.reported.row());
        println!("| {}: a balancer acts (every 500 ms, fall 2) | {} |", case.name, times.acted.row());
    }
    println!("\n| run of {calm} s | requests served | write claims withdrawn |\n| --- | --- | --- |");
    for (number, case) in calm_cases().into_iter().enumerate() {
        let rig = Rig::new(GROUPS as u32, [127, 91, number as u8, 1], program, folder)?;
        let (served, withdrawn) = measure_calm(&rig, &case, Duration::from_secs(calm))?;
        println!("| {} | {served} | {withdrawn} |", case.name);
    }
    Ok(())
}

fn hang_cases() -> [HangCase; 3] {
    [
        HangCase { name: "traffic, probes", options: format!("{CLAIMS}{PROBES}"), traffic: true },
        HangCase { name: "traffic, no probes", options: CLAIMS.into(), traffic: true },
        HangCase { name: "no traffic, probes", options: format!("{CLAIMS}{PROBES}"), traffic: false },
    ]
}

fn calm_cases() -> [CalmCase; 5] {
    let case = |name, classes, heavy_delay_ms, options| CalmCase {
        name,
        classes,
        heavy_delay: Duration::from_millis(heavy_delay_ms),
        options,
    };
    [
        case("calm, probes", &["file-entry"], 0, PROBES),
        case("calm, no probes", &["file-entry"], 0, ""),
        case("heavy only (4 s each), probes", &["heavy"], 4_000, PROBES),
        case("heavy only (1.5 s each), no probes", &["heavy"], 1_500, ""),
        case("heavy (4 s) beside others, no probes", &["heavy", "file-entry"], 4_000, ""),
    ]
}

/// How many requests were served, and how many write claims withdrawn, in a run without hangs.
fn measure_calm(
    rig: &Rig,
    case: &CalmCase,
    span: Duration,
) -> Result<(usize, usize), Box<dyn std::error::Error>> {
    for group in &rig.groups {
        group.primary.delay("heavy", case.heavy_delay);
    }
    let proxy = rig.start_with_doors(1, 64, case.options)?;
    let until = Instant::now() + span;
    let served = AtomicUsize::new(0);
    let clients = proxy.clients().ok_or("it does not serve")?;
    // Claims withdrawn after the last write was sent are no part of the run.
    let withdrawn = thread::scope(|scope| {
        for group in 0..GROUPS {
            for class in case.classes {
                let served = &served;
                scope.spawn(move || write_until(clients, class, group as u32, until, served));
            }
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
        proxy.log().iter().filter(|line| line.contains("kind=write able=false")).count()
    });
    Ok((served.load(Ordering::Relaxed), withdrawn))
}

fn write_until(address: SocketAddr, class: &str, group: u32, until: Instant, served: &AtomicUsize) {
    let mut client = None;
    while Instant::now() < until {
        let Some(connected) = &mut client else {
            client = Client::connect(address).ok();
            continue;
        };
        match connected.write(class, group, WRITE_TIMEOUT_MS) {
            Ok(_) => drop(served.fetch_add(1, Ordering::Relaxed)),
            Err(_) => client = None,
        }
        thread::sleep(WRITE_INTERVAL);
    }
}

fn measure_hangs(
    rig: &Rig,
    proxy: &Process,
    case: &HangCase,
    hangs: usize,
    seed: u64,
) -> Result<HangTimes, String> {
    let clients = proxy.clients().ok_or("it does not serve")?;
    let watch = GroupWatch {
        rig,
        clients,
        http: proxy.checks("http").ok_or("no checks")?,
        agent: proxy.checks("agent").ok_or("no checks")?,
    };
    let stop = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    let cycles = hangs.div_ceil(GROUPS);
    thread::scope(|scope| {
        let (watch, stop, served) = (&watch, &stop, &served);
        let writers = if case.traffic { GROUPS * WRITERS_PER_GROUP } else { 0 };
        for writer in 0..writers {
            let group = (writer / WRITERS_PER_GROUP) as u32;
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    write_until(clients, "file-entry", group, Instant::now() + WRITE_SLICE, served);
                }
            });
        }
        let hang_group = |group| move || watch.hang_repeatedly(group, cycles, seed);
        let threads: Vec<_> = (0..GROUPS).map(|group| scope.spawn(hang_group(group))).collect();
        let mut all = Ok(HangTimes::default());
        for thread in threads {
            let times = thread.join().map_err(|_| "a thread panicked".to_string()).flatten();
            all = all.and_then(|all| Ok(all.joined(&times?)));
        }
        stop.store(true, Ordering::Relaxed);
        all
    })
}

impl HangTimes {
    fn joined(mut self, other: &HangTimes) -> HangTimes {
        self.reported.join(&other.reported);
        self.acted.join(&other.acted);
        self
    }
}

/// What is needed to watch the groups of a rig through a proxy.
struct GroupWatch<'a> {
    rig: &'a Rig,
    clients: SocketAddr,
    http: SocketAddr,
    agent: SocketAddr,
}

impl GroupWatch<'_> {
    fn claims_writes(&self, group: usize) -> bool {
        let query = Check::Http(format!("/group/{group}/write"));
        check(self.http, &query, PATIENCE).is_ok_and(|reply| reply.up)
    }

    /// Has the primary of a group hang so often, and takes the time until that is reported.
    fn hang_repeatedly(&self, group: usize, cycles: usize, seed: u64) -> Result<HangTimes, String> {
        let mut rng = fastrand::Rng::with_seed(seed + group as u64);
        let rules = Rules { every: BALANCER_INTERVAL, timeout: PATIENCE, rise: 1, fall: 2 };
        let query = Check::Agent(format!("group={group} write"));
        let balancer = Balancer::start(&[(self.agent, self.clients)], &query, &rules);
        let mut times = HangTimes::default();
        let primary = &self.rig.groups[group].primary;
        for _ in 0..cycles {
            self.wait_until_up(group, &balancer)?;
            thread::sleep(REST + Duration::from_millis(rng.u64(0..MAX_RANDOM_REST_MS)));
            let start = Instant::now();
            primary.hang(true);
            while self.claims_writes(group) {
                if start.elapsed() > PATIENCE {
                    return Err(format!("group {group}: a hang was never reported"));
                }
                thread::sleep(HANG_POLL);
            }
            times.reported.add(start.elapsed());
            balancer.wait(0, false, PATIENCE);
            times.acted.add(start.elapsed());
            primary.hang(false);
        }
        Ok(times)
    }

    fn wait_until_up(&self, group: usize, balancer: &Balancer) -> Result<(), String> {
        let start = Instant::now();
        while !self.claims_writes(group) || !balancer.wait(0, true, Duration::ZERO) {
            if start.elapsed() > 3 * PATIENCE {
                return Err(format!("group {group} does not come back"));
            }
            thread::sleep(RECOVERY_POLL);
        }
        Ok(())
    }
}
