//! Measures the time from the hang of a primary to the changed health check response that balancers read. Also counts how often
//! writes are withdrawn in runs without a hang.

mod observer;

use crate::MeasurementResult;
use crate::times::DurationHistogram;
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
/// Number of writers in each group while hangs are measured.
const WRITERS_PER_GROUP: usize = 2;
const WRITE_TIMEOUT_MS: u32 = 8_000;
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a writer checks whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A hang begins after a random time, at least this long after the recovery from the previous hang.
const MIN_TIME_TO_HANG_MS: u64 = 600;
/// A hang begins at most this long after the recovery from the previous hang.
const MAX_TIME_TO_HANG_MS: u64 = 1_400;
/// Limits the restore delay, which would otherwise grow with each of the many hangs of a primary.
const CLAIMS: &str = "<claims rise-most-ms='1000'/>";
const PROBES: &str =
    "<probes every-ms='600' suspect-ms='300' timeout-ms='400' group-per-s='10' whole-per-s='80'/>";

/// Conditions under which the time to report a hang is measured.
struct HangCase {
    name: &'static str,
    options: String,
    has_traffic: bool,
}

/// Conditions of a run without a hang.
struct NoHangCase {
    name: &'static str,
    classes: &'static [&'static str],
    /// Time that the database takes for a request of the class `heavy`.
    heavy_ms: u64,
    options: &'static str,
}

const NO_HANG_CASES: [NoHangCase; 5] = [
    NoHangCase { name: "calm, probes", classes: &["file-entry"], heavy_ms: 0, options: PROBES },
    NoHangCase { name: "calm, no probes", classes: &["file-entry"], heavy_ms: 0, options: "" },
    NoHangCase {
        name: "heavy only (4 s each), probes",
        classes: &["heavy"],
        heavy_ms: 4000,
        options: PROBES,
    },
    NoHangCase {
        name: "heavy only (1.5 s each), no probes",
        classes: &["heavy"],
        heavy_ms: 1500,
        options: "",
    },
    NoHangCase {
        name: "heavy (4 s) beside others, no probes",
        classes: &["heavy", "file-entry"],
        heavy_ms: 4000,
        options: "",
    },
];

/// Durations from the hang of a primary to the reactions to the hang.
#[derive(Default)]
struct ReactionDurations {
    /// Until the first health check response that reports the hang.
    reported: DurationHistogram,
    /// Until the balancer has taken the server out of service.
    server_removed: DurationHistogram,
}

/// Counts of a run without a hang.
struct NoHangCounts {
    served: usize,
    withdrawn: usize,
}

/// Measures the reactions to hangs, then counts withdrawals in runs without a hang, and prints both tables.
pub(crate) fn run(
    program: &Path,
    folder: &Path,
    hangs: usize,
    no_hang_seconds: u64,
    seed: u64,
) -> MeasurementResult {
    println!(
        "| hangs, {GROUPS} groups | n | median ms | 99th ms | most ms |\n| --- | --- | --- | --- | --- |"
    );
    for (number, case) in hang_cases().into_iter().enumerate() {
        let rig = Rig::new(GROUPS as u32, [127, 90, number as u8, 1], program, folder)?;
        let proxy = rig.start_with_checks(1, MAX_CHECK_CONNECTIONS, &case.options)?;
        let durations = measure_hangs(&rig, &proxy, &case, hangs, seed)?;
        println!("| {}: told | {} |", case.name, durations.reported.table_cells());
        println!(
            "| {}: a balancer acts (every 500 ms, fall 2) | {} |",
            case.name,
            durations.server_removed.table_cells()
        );
    }
    println!(
        "\n| run of {no_hang_seconds} s | requests served | write claims withdrawn |\n| --- | --- | --- |"
    );
    for (number, case) in NO_HANG_CASES.iter().enumerate() {
        let rig = Rig::new(GROUPS as u32, [127, 91, number as u8, 1], program, folder)?;
        let counts = count_withdrawals(&rig, case, Duration::from_secs(no_hang_seconds))?;
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
fn count_withdrawals(
    rig: &Rig,
    case: &NoHangCase,
    duration: Duration,
) -> Result<NoHangCounts, Box<dyn Error>> {
    for group in &rig.groups {
        group.primary.set_delay("heavy", Duration::from_millis(case.heavy_ms));
    }
    let proxy = rig.start_with_checks(1, MAX_CHECK_CONNECTIONS, case.options)?;
    let deadline = Instant::now() + duration;
    let served = AtomicUsize::new(0);
    let clients = proxy.client_address().ok_or("proxy has no client address")?;
    // The log is read at the deadline, while clients finish their last writes. Later withdrawals are not part of the run.
    let withdrawn = thread::scope(|scope| {
        for group in 0..GROUPS {
            for class in case.classes {
                let served = &served;
                scope.spawn(move || write_until(clients, class, group as u32, deadline, served));
            }
        }
        thread::sleep(deadline.saturating_duration_since(Instant::now()));
        proxy.log().iter().filter(|line| line.contains("kind=write able=false")).count()
    });
    Ok(NoHangCounts { served: served.into_inner(), withdrawn })
}

/// Writes repeatedly until the deadline, and reconnects when the connection breaks.
fn write_until(address: SocketAddr, class: &str, group: u32, deadline: Instant, served: &AtomicUsize) {
    let mut client = None;
    while Instant::now() < deadline {
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

/// Makes the primaries of all groups hang repeatedly. The groups run concurrently, each with its own random times.
fn measure_hangs(
    rig: &Rig,
    proxy: &Process,
    case: &HangCase,
    hangs: usize,
    seed: u64,
) -> Result<ReactionDurations, String> {
    let clients = proxy.client_address().ok_or("proxy has no client address")?;
    let stop = AtomicBool::new(false);
    let cycles = hangs.div_ceil(GROUPS);
    let mut durations = ReactionDurations::default();
    thread::scope(|scope| {
        if case.has_traffic {
            for writer in 0..GROUPS * WRITERS_PER_GROUP {
                let stop = &stop;
                let group = (writer / WRITERS_PER_GROUP) as u32;
                scope.spawn(move || write_until_stopped(clients, group, stop));
            }
        }
        let measure = |group| hang_repeatedly(rig, proxy, group, cycles, seed + group as u64);
        let threads: Vec<_> = (0..GROUPS).map(|group| scope.spawn(move || measure(group))).collect();
        let mut failure = None;
        for thread in threads {
            match thread.join().map_err(|_| "a measurement thread panicked".to_string()).flatten() {
                Ok(group_durations) => {
                    durations.reported.merge(&group_durations.reported);
                    durations.server_removed.merge(&group_durations.server_removed);
                }
                Err(error) => failure = Some(error),
            }
        }
        stop.store(true, Ordering::Relaxed);
        failure.map_or(Ok(()), Err)
    })?;
    Ok(durations)
}

fn write_until_stopped(clients: SocketAddr, group: u32, stop: &AtomicBool) {
    let served = AtomicUsize::new(0);
    while !stop.load(Ordering::Relaxed) {
        let deadline = Instant::now() + STOP_CHECK_INTERVAL;
        write_until(clients, "file-entry", group, deadline, &served);
    }
}

/// Makes the primary of a group hang repeatedly, each time after the group's writes have become available again.
fn hang_repeatedly(
    rig: &Rig,
    proxy: &Process,
    group: usize,
    cycles: usize,
    seed: u64,
) -> Result<ReactionDurations, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let observer = GroupObserver::start(proxy, group)?;
    let primary = &rig.groups[group].primary;
    let mut durations = ReactionDurations::default();
    for _ in 0..cycles {
        observer.wait_until_available()?;
        thread::sleep(Duration::from_millis(rng.u64(MIN_TIME_TO_HANG_MS..MAX_TIME_TO_HANG_MS)));
        let start = Instant::now();
        primary.set_hung(true);
        observer.wait_until_reported(start)?;
        durations.reported.record(start.elapsed());
        observer.balancer.wait_for_state(0, false, MAX_WAIT);
        durations.server_removed.record(start.elapsed());
        primary.set_hung(false);
    }
    Ok(durations)
}
