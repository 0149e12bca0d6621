//! The time from when a primary stops responding to the changed answer, as balancers read it; and how often writes are
//! withdrawn where nothing stopped responding.

use crate::{Done, Times};
use birchreach_test_support::balancer::{Balancer, Check, CheckPolicy, run_check};
use birchreach_test_support::client::Client;
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::Rig;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GROUPS: usize = 8;
/// A primary stops responding many times: the restore delay must not grow each time.
const CLAIMS: &str = "<claims rise-most-ms='1000'/>";
const PROBES: &str =
    "<probes every-ms='600' suspect-ms='300' timeout-ms='400' group-per-s='10' whole-per-s='80'/>";
/// How often the balancer checks, and how many checks in a row change its mind.
const BALANCER_POLICY: CheckPolicy =
    CheckPolicy { interval: Duration::from_millis(500), timeout: MAX_WAIT, rise: 1, fall: 2 };

/// A measurement of how soon a hang is reported.
struct HangCase {
    name: &'static str,
    options: String,
    traffic: bool,
}

/// A run without any hang.
struct CalmCase {
    name: &'static str,
    classes: &'static [&'static str],
    /// How long the database takes for a request of the class `heavy`.
    heavy_ms: u64,
    options: &'static str,
}

const CALM_CASES: [CalmCase; 5] = [
    CalmCase { name: "calm, probes", classes: &["file-entry"], heavy_ms: 0, options: PROBES },
    CalmCase { name: "calm, no probes", classes: &["file-entry"], heavy_ms: 0, options: "" },
    CalmCase { name: "heavy only (4 s each), probes", classes: &["heavy"], heavy_ms: 4000, options: PROBES },
    CalmCase { name: "heavy only (1.5 s each), no probes", classes: &["heavy"], heavy_ms: 1500, options: "" },
    CalmCase {
        name: "heavy (4 s) beside others, no probes",
        classes: &["heavy", "file-entry"],
        heavy_ms: 4000,
        options: "",
    },
];

/// Times from the hang of a primary.
#[derive(Default)]
struct ReactionTimes {
    /// To the first answer that reports it.
    reported: Times,
    /// To the balancer's taking the server out.
    acted: Times,
}

pub fn run(program: &Path, folder: &Path, hangs: usize, calm: u64, seed: u64) -> Done {
    println!(
        "| hangs, {GROUPS} groups | n | median ms | 99th ms | most ms |\n| --- | --- | --- | --- | --- |"
    );
    let cases = [
        HangCase { name: "traffic, probes", options: format!("{CLAIMS}{PROBES}"), traffic: true },
        HangCase { name: "traffic, no probes", options: CLAIMS.into(), traffic: true },
        HangCase { name: "no traffic, probes", options: format!("{CLAIMS}{PROBES}"), traffic: false },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let rig = Rig::new(GROUPS as u32, [127, 90, number as u8, 1], program, folder)?;
        let proxy = rig.start_with_checks(1, 64, &case.options)?;
        let times = measure_hangs(&rig, &proxy, &case, hangs, seed)?;
        println!("| {}: told | {} |", case.name, times.reported.row());
        println!("| {}: a balancer acts (every 500 ms, fall 2) | {} |", case.name, times.acted.row());
    }
    println!("\n| run of {calm} s | requests served | write claims withdrawn |\n| --- | --- | --- |");
    for (number, case) in CALM_CASES.iter().enumerate() {
        let rig = Rig::new(GROUPS as u32, [127, 91, number as u8, 1], program, folder)?;
        let (served, withdrawn) = count_withdrawals(&rig, case, Duration::from_secs(calm))?;
        println!("| {} | {served} | {withdrawn} |", case.name);
    }
    Ok(())
}

/// Requests served and withdrawals of writes in a run without a hang.
fn count_withdrawals(
    rig: &Rig,
    case: &CalmCase,
    duration: Duration,
) -> Result<(usize, usize), Box<dyn Error>> {
    for group in &rig.groups {
        group.primary.set_delay("heavy", Duration::from_millis(case.heavy_ms));
    }
    let proxy = rig.start_with_checks(1, 64, case.options)?;
    let until = Instant::now() + duration;
    let served = AtomicUsize::new(0);
    let clients = proxy.client_address().ok_or("it does not serve")?;
    // The log is read at the end of the time, while clients still finish their last write: what is withdrawn later is no
    // part of the run.
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
        match connected.write(class, group, 8000) {
            Ok(_) => drop(served.fetch_add(1, Ordering::Relaxed)),
            Err(_) => client = None,
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn measure_hangs(
    rig: &Rig,
    proxy: &Process,
    case: &HangCase,
    hangs: usize,
    seed: u64,
) -> Result<ReactionTimes, String> {
    let clients = proxy.client_address().ok_or("it does not serve")?;
    let stopped = AtomicBool::new(false);
    let cycles = hangs.div_ceil(GROUPS);
    let mut times = ReactionTimes::default();
    thread::scope(|scope| {
        if case.traffic {
            for number in 0..GROUPS * 2 {
                let stopped = &stopped;
                scope.spawn(move || write_until_stopped(clients, (number / 2) as u32, stopped));
            }
        }
        let measure = |group| hang_repeatedly(rig, proxy, group, cycles, seed + group as u64);
        let threads: Vec<_> = (0..GROUPS).map(|group| scope.spawn(move || measure(group))).collect();
        let mut failed = None;
        for thread in threads {
            match thread.join().map_err(|_| "a thread panicked".to_string()).flatten() {
                Ok(of_group) => {
                    times.reported.join(&of_group.reported);
                    times.acted.join(&of_group.acted);
                }
                Err(error) => failed = Some(error),
            }
        }
        stopped.store(true, Ordering::Relaxed);
        failed.map_or(Ok(()), Err)
    })?;
    Ok(times)
}

fn write_until_stopped(clients: SocketAddr, group: u32, stopped: &AtomicBool) {
    let served = AtomicUsize::new(0);
    while !stopped.load(Ordering::Relaxed) {
        let until = Instant::now() + Duration::from_millis(200);
        write_until(clients, "file-entry", group, until, &served);
    }
}

/// Lets the primary of a group hang again and again, each time after its writes are available.
fn hang_repeatedly(
    rig: &Rig,
    proxy: &Process,
    group: usize,
    cycles: usize,
    seed: u64,
) -> Result<ReactionTimes, String> {
    let clients = proxy.client_address().ok_or("it does not serve")?;
    let http = proxy.check_address("http").ok_or("no checks")?;
    let agent = proxy.check_address("agent").ok_or("no checks")?;
    let is_available =
        || run_check(http, &Check::Http(format!("/group/{group}/write")), MAX_WAIT).is_ok_and(|told| told.up);
    let mut rng = fastrand::Rng::with_seed(seed);
    let balancer =
        Balancer::start(&[(agent, clients)], &Check::Agent(format!("group={group} write")), &BALANCER_POLICY);
    let mut times = ReactionTimes::default();
    for _ in 0..cycles {
        let start = Instant::now();
        while !is_available() || !balancer.wait_for_state(0, true, Duration::ZERO) {
            if start.elapsed() > 3 * MAX_WAIT {
                return Err(format!("group {group} does not come back"));
            }
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(Duration::from_millis(600 + rng.u64(0..800)));
        let start = Instant::now();
        rig.groups[group].primary.set_hung(true);
        while is_available() {
            if start.elapsed() > MAX_WAIT {
                return Err(format!("group {group}: a hang was never told"));
            }
            thread::sleep(Duration::from_millis(5));
        }
        times.reported.add(start.elapsed());
        balancer.wait_for_state(0, false, MAX_WAIT);
        times.acted.add(start.elapsed());
        rig.groups[group].primary.set_hung(false);
    }
    Ok(times)
}
