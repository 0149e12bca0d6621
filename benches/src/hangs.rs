//! From the hang of a primary to the changed answer, as balancers read it; and claims withdrawn where nothing hung.

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
/// So that one group can hang often: each rise is not to be slower than the one before.
const CLAIMS: &str = "<claims rise-most-ms='1000'/>";
const PROBES: &str =
    "<probes every-ms='600' suspect-ms='300' timeout-ms='400' group-per-s='10' whole-per-s='80'/>";

struct Case {
    name: &'static str,
    options: String,
    traffic: bool,
}

pub fn run(program: &Path, folder: &Path, hangs: usize, calm: u64, seed: u64) -> Done {
    println!(
        "| hangs, {GROUPS} groups | n | median ms | 99th ms | most ms |\n| --- | --- | --- | --- | --- |"
    );
    for (n, case) in [
        Case { name: "traffic, probes", options: format!("{CLAIMS}{PROBES}"), traffic: true },
        Case { name: "traffic, no probes", options: CLAIMS.into(), traffic: true },
        Case { name: "no traffic, probes", options: format!("{CLAIMS}{PROBES}"), traffic: false },
    ]
    .into_iter()
    .enumerate()
    {
        let rig = Rig::new(GROUPS as u32, [127, 90, n as u8, 1], program, folder)?;
        let proxy = rig.start_with_doors(1, 64, &case.options)?;
        let (told, acted) = hang(&rig, &proxy, &case, hangs, seed)?;
        println!("| {}: told | {} |", case.name, told.row());
        println!("| {}: a balancer acts (every 500 ms, fall 2) | {} |", case.name, acted.row());
    }
    println!("\n| run of {calm} s | requests served | write claims withdrawn |\n| --- | --- | --- |");
    for (n, (name, class, delay, options)) in [
        ("calm, probes", "file-entry", 0, PROBES),
        ("calm, no probes", "file-entry", 0, ""),
        ("heavy only (4 s each), probes", "heavy", 4000, PROBES),
        ("heavy only (1.5 s each), no probes", "heavy", 1500, ""),
        ("heavy (4 s) beside others, no probes", "both", 4000, ""),
    ]
    .into_iter()
    .enumerate()
    {
        let rig = Rig::new(GROUPS as u32, [127, 91, n as u8, 1], program, folder)?;
        for group in &rig.groups {
            group.primary.delay("heavy", Duration::from_millis(delay));
        }
        let proxy = rig.start_with_doors(1, 64, options)?;
        let until = Instant::now() + Duration::from_secs(calm);
        let served = AtomicUsize::new(0);
        let clients = proxy.clients().ok_or("it does not serve")?;
        // What is withdrawn after the last write came is no part of the run.
        let withdrawn = thread::scope(|scope| {
            for group in 0..GROUPS {
                let served = &served;
                let both = if class == "both" { vec!["heavy", "file-entry"] } else { vec![class] };
                for class in both {
                    scope.spawn(move || write_until(clients, class, group as u32, until, served));
                }
            }
            thread::sleep(until.saturating_duration_since(Instant::now()));
            proxy.log().iter().filter(|l| l.contains("kind=write able=false")).count()
        });
        println!("| {name} | {} | {withdrawn} |", served.load(Ordering::Relaxed));
    }
    Ok(())
}

fn write_until(at: SocketAddr, class: &str, group: u32, until: Instant, served: &AtomicUsize) {
    let mut client = None;
    while Instant::now() < until {
        let Some(c) = &mut client else {
            client = Client::connect(at).ok();
            continue;
        };
        match c.write(class, group, 8000) {
            Ok(_) => drop(served.fetch_add(1, Ordering::Relaxed)),
            Err(_) => client = None,
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn hang(rig: &Rig, proxy: &Process, case: &Case, hangs: usize, seed: u64) -> Result<(Times, Times), String> {
    let clients = proxy.clients().ok_or("it does not serve")?;
    let at = proxy.checks("http").ok_or("no checks")?;
    let agents = proxy.checks("agent").ok_or("no checks")?;
    let over = AtomicBool::new(false);
    let ask = |group: usize| {
        check(at, &Check::Http(format!("/group/{group}/write")), PATIENCE).is_ok_and(|told| told.up)
    };
    let mut told = Times::default();
    let mut acted = Times::default();
    let cycles = hangs.div_ceil(GROUPS);
    thread::scope(|scope| {
        if case.traffic {
            for n in 0..GROUPS * 2 {
                let over = &over;
                let served = Box::leak(Box::new(AtomicUsize::new(0)));
                scope.spawn(move || {
                    while !over.load(Ordering::Relaxed) {
                        let until = Instant::now() + Duration::from_millis(200);
                        write_until(clients, "file-entry", (n / 2) as u32, until, served);
                    }
                });
            }
        }
        let one = |group: usize| -> Result<(Times, Times), String> {
            let mut rng = fastrand::Rng::with_seed(seed + group as u64);
            let rules = Rules { every: Duration::from_millis(500), timeout: PATIENCE, rise: 1, fall: 2 };
            let balancer =
                Balancer::start(&[(agents, clients)], &Check::Agent(format!("group={group} write")), &rules);
            let (mut told, mut acted) = (Times::default(), Times::default());
            for _ in 0..cycles {
                let start = Instant::now();
                while !ask(group) || !balancer.wait(0, true, Duration::ZERO) {
                    if start.elapsed() > 3 * PATIENCE {
                        return Err(format!("group {group} does not come back"));
                    }
                    thread::sleep(Duration::from_millis(10));
                }
                thread::sleep(Duration::from_millis(600 + rng.u64(0..800)));
                let start = Instant::now();
                rig.groups[group].primary.hang(true);
                while ask(group) {
                    if start.elapsed() > PATIENCE {
                        return Err(format!("group {group}: a hang was never told"));
                    }
                    thread::sleep(Duration::from_millis(5));
                }
                told.add(start.elapsed());
                balancer.wait(0, false, PATIENCE);
                acted.add(start.elapsed());
                rig.groups[group].primary.hang(false);
            }
            Ok((told, acted))
        };
        let threads: Vec<_> = (0..GROUPS).map(|group| scope.spawn(move || one(group))).collect();
        let mut failed = None;
        for thread in threads {
            match thread.join().map_err(|_| "a thread panicked".to_string()).flatten() {
                Ok((t, a)) => {
                    told.join(&t);
                    acted.join(&a);
                }
                Err(e) => failed = Some(e),
            }
        }
        over.store(true, Ordering::Relaxed);
        failed.map_or(Ok(()), Err)
    })?;
    Ok((told, acted))
}
