//! The time from when a primary stops responding to the changed answer, as balancers read it; and how often writes are
//! withdrawn where nothing stopped responding.

mod observer;

use crate::MeasurementResult;
use crate::times::Times;
use birchreach_test_support::client::Client;
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::Rig;
use observer::GroupObserver;
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GROUPS: usize = 8;
const MAX_CHECK_CONNECTIONS: u32 = 64;
/// Writers of each group while hangs are measured.
const WRITERS_PER_GROUP: usize = 2;
const WRITE_TIMEOUT_MS: u32 = 8_000;
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// How often a writer looks whether it has to stop.
const WRITER_SLICE: Duration = Duration::from_millis(200);
/// A hang begins at a random time after the recovery from the one before.
const MIN_TIME_TO_HANG_MS: u64 = 600;
const MAX_TIME_TO_HANG_MS: u64 = 1_400;
/// A primary stops responding many times: the restore delay must not grow each time.
const CLAIMS: &str = "<claims rise-most-ms='1000'/>";
const PROBES: &str =
    "<probes every-ms='600' suspect-ms='300' timeout-ms='400' group-per-s='10' whole-per-s='80'/>";

/// A measurement of how soon a hang is reported.
struct HangCase {
    name: &'static str,
    options: String,
    has_traffic: bool,
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

/// What a run without a hang counted.
struct CalmCounts {
    served: usize,
    withdrawn: usize,
}

/// Measures hangs, then counts withdrawals without a hang, and prints both tables.
pub(crate) fn run(
    program: &Path,
    folder: &Path,
    hangs: usize,
    calm_seconds: u64,
    seed: u64,
) -> MeasurementResult {
    println!(
        "| hangs, {GROUPS} groups | n | median ms | 99th ms | most ms |\n| --- | --- | --- | --- | --- |"
    );
    for (number, case) in hang_cases().into_iter().enumerate() {
        let rig = Rig::new(GROUPS as u32, [127, 90, number as u8, 1], program, folder)?;
        let proxy = rig.start_with_checks(1, MAX_CHECK_CONNECTIONS, &case.options)?;
        let times = measure_hangs(&rig, &proxy, &case, hangs, seed)?;
        println!("| {}: told | {} |", case.name, times.reported.row());
        println!("| {}: a balancer acts (every 500 ms, fall 2) | {} |", case.name, times.acted.row());
    }
    println!("\n| run of {calm_seconds} s | requests served | write claims withdrawn |\n| --- | --- | --- |");
    for (number, case) in CALM_CASES.iter().enumerate() {
        let rig = Rig::new(GROUPS as u32, [127, 91, number as u8, 1], program, folder)?;
        let counts = count_withdrawals(&rig, case, Duration::from_secs(calm_seconds))?;
        println!("| {} | {} | {} |", case.name, counts.served, counts.withdrawn);
    }
    Ok(())
}

fn hang_cases() -> [HangCase; 3] {
    [
        HangCase { name: "traffic, probes", options: format!("{CLAIMS}{PROBES}"), has_traffic: true },
        HangCase { name: "traffic, no probes", options: CLAIMS.into(), has_traffic: true },
        HangCase { name: "no traffic, probes", options: format!("{CLAIMS}{PROBES}"), has_traffic: false },
    ]
}

/// Counts requests served and withdrawals of writes in a run without a hang.
fn count_withdrawals(rig: &Rig, case: &CalmCase, duration: Duration) -> Result<CalmCounts, Box<dyn Error>> {
    for group in &rig.groups {
        group.primary.set_delay("heavy", Duration::from_millis(case.heavy_ms));
    }
    let proxy = rig.start_with_checks(1, MAX_CHECK_CONNECTIONS, case.options)?;
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
    Ok(CalmCounts { served: served.into_inner(), withdrawn })
}

/// Writes again and again, and connects again when a connection breaks.
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

/// Lets the primaries of all groups hang at once, each at its own times.
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
        if case.has_traffic {
            for writer in 0..GROUPS * WRITERS_PER_GROUP {
                let stopped = &stopped;
                let group = (writer / WRITERS_PER_GROUP) as u32;
                scope.spawn(move || write_until_stopped(clients, group, stopped));
            }
        }
        let measure = |group| hang_repeatedly(rig, proxy, group, cycles, seed + group as u64);
        let threads: Vec<_> = (0..GROUPS).map(|group| scope.spawn(move || measure(group))).collect();
        let mut failed = None;
        for thread in threads {
            match thread.join().map_err(|_| "a thread panicked".to_string()).flatten() {
                Ok(of_group) => {
                    times.reported.merge(&of_group.reported);
                    times.acted.merge(&of_group.acted);
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
        let until = Instant::now() + WRITER_SLICE;
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
    let mut rng = fastrand::Rng::with_seed(seed);
    let observer = GroupObserver::start(proxy, group)?;
    let primary = &rig.groups[group].primary;
    let mut times = ReactionTimes::default();
    for _ in 0..cycles {
        observer.wait_until_available()?;
        thread::sleep(Duration::from_millis(rng.u64(MIN_TIME_TO_HANG_MS..MAX_TIME_TO_HANG_MS)));
        let start = Instant::now();
        primary.set_hung(true);
        observer.wait_until_reported(start)?;
        times.reported.record(start.elapsed());
        observer.balancer.wait_for_state(0, false, MAX_WAIT);
        times.acted.record(start.elapsed());
        primary.set_hung(false);
    }
    Ok(times)
}
