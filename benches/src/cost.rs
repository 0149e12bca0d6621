//! What checks cost, what requests lose by them, and what a log line costs: modes take turns within one run.

use crate::{Done, Times};
use birchreach_test_support::balancer::{Check, check};
use birchreach_test_support::client::Client;
use birchreach_test_support::process::{PATIENCE, Process};
use birchreach_test_support::rig::Rig;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SLICE: Duration = Duration::from_secs(3);
const CLIENTS: u32 = 8;

/// Requests for a while: how many a second, and how long each took.
fn load(at: SocketAddr, long: Duration) -> Times {
    let until = Instant::now() + long;
    let all = Mutex::new(Times::default());
    thread::scope(|scope| {
        for n in 0..CLIENTS {
            let all = &all;
            scope.spawn(move || {
                let Ok(mut client) = Client::connect(at) else { return };
                let mut own = Times::default();
                while Instant::now() < until {
                    let start = Instant::now();
                    let reply = match n % 4 {
                        0 => client.write("file-entry", n % 2, 3000),
                        _ => client.read("tariff-lookup", n % 2, 2500),
                    };
                    if reply.is_err() {
                        return;
                    }
                    own.add(start.elapsed());
                }
                all.lock().unwrap_or_else(|e| e.into_inner()).join(&own);
            });
        }
    });
    all.into_inner().unwrap_or_else(|e| e.into_inner())
}

/// CPU microseconds of the process for each of so many calls.
fn each(process: &Process, n: u64, mut call: impl FnMut()) -> f64 {
    let before = process.cpu().unwrap_or_default();
    (0..n).for_each(|_| call());
    // What is still under way there belongs to it.
    thread::sleep(Duration::from_millis(50));
    micros(process, before) / n as f64
}

/// CPU microseconds of the process since then.
fn micros(process: &Process, before: Duration) -> f64 {
    process.cpu().unwrap_or_default().saturating_sub(before).as_secs_f64() * 1e6
}

pub fn run(program: &Path, folder: &Path, rounds: u32) -> Done {
    let rig = Rig::new(2, [127, 93, 0, 1], program, folder)?;
    let off = rig.start(1, None, None)?;
    let on = rig.start_with_doors(2, 64, "")?;
    let clients = |p: &Process| p.clients().ok_or("no clients");
    let (http, agent) = (on.checks("http").ok_or("no http")?, on.checks("agent").ok_or("no agent")?);

    println!("| check | CPU of the proxy, us each |\n| --- | --- |");
    let n = 20_000;
    let one = each(&on, n, || drop(check(http, &Check::Http("/ready".into()), PATIENCE)));
    println!("| HTTP `/ready`, a connection each | {one:.1} |");
    let one = each(&on, n, || drop(check(agent, &Check::Agent("file-entry".into()), PATIENCE)));
    println!("| agent-check `file-entry`, a connection each | {one:.1} |");
    let mut kept = TcpStream::connect(http)?;
    kept.set_nodelay(true)?;
    for (path, length) in [("/ready", None), ("/health", None)] {
        let mut length: Option<usize> = length;
        let one = each(&on, n, || {
            let call = format!("GET {path} HTTP/1.1\r\nHost: p\r\n\r\n");
            let _ = kept.write_all(call.as_bytes());
            let mut got = Vec::new();
            let mut buf = [0; 16 << 10];
            // The replies' ages differ by digits, so each is read to its own end.
            while length.is_none_or(|_| true) {
                let Ok(more @ 1..) = kept.read(&mut buf) else { return };
                got.extend_from_slice(&buf[..more]);
                let Some(head) = got.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
                let text = String::from_utf8_lossy(&got[..head]).to_ascii_lowercase();
                let body =
                    text.split("content-length: ").nth(1).and_then(|t| t.split("\r\n").next()?.parse().ok());
                length = body;
                if body.is_some_and(|body: usize| got.len() >= head + 4 + body) {
                    return;
                }
            }
        });
        println!("| HTTP `{path}` on a kept connection | {one:.1} |");
    }

    let modes = ["checks off", "checks on, nobody asks", "polled hard (200 a second)"];
    let mut sums: Vec<(Times, f64)> = modes.iter().map(|_| (Times::default(), 0.0)).collect();
    for round in 0..rounds {
        for k in 0..modes.len() {
            // Each mode is first, second and last in turn.
            let mode = (k + round as usize) % modes.len();
            let process = if mode == 0 { &off } else { &on };
            let at = clients(process)?;
            let over = AtomicBool::new(false);
            let (times, cpu) = thread::scope(|scope| {
                if mode == 2 {
                    for n in 0..20 {
                        let over = &over;
                        scope.spawn(move || {
                            while !over.load(Ordering::Relaxed) {
                                let _ = match n % 2 {
                                    0 => check(http, &Check::Http("/ready".into()), PATIENCE),
                                    _ => check(agent, &Check::Agent("file-entry".into()), PATIENCE),
                                };
                                thread::sleep(Duration::from_millis(100));
                            }
                        });
                    }
                }
                let before = process.cpu().unwrap_or_default();
                let times = load(at, SLICE);
                over.store(true, Ordering::Relaxed);
                (times, micros(process, before))
            });
            sums[mode].0.join(&times);
            sums[mode].1 += cpu;
        }
    }
    println!(
        "\n| requests, {CLIENTS} clients, {rounds} rounds of {} s | a second | n | median ms | 99th ms | most ms | CPU us each |",
        SLICE.as_secs()
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, (times, cpu)) in modes.iter().zip(&sums) {
        let rate = times.count() as f64 / (SLICE.as_secs_f64() * f64::from(rounds));
        println!("| {name} | {rate:.0} | {} | {:.1} |", times.row(), cpu / times.count() as f64);
    }
    Ok(())
}

/// Clients that come and go, each with a line in the log: beyond the limit it is dropped, up to it it is written.
pub fn lines(program: &Path, against: &Path, folder: &Path, rounds: u32) -> Done {
    let against = std::fs::canonicalize(against)?;
    let rigs = [
        ("before", Rig::new(1, [127, 94, 0, 1], &against, &folder.join("a"))?),
        ("after", Rig::new(1, [127, 94, 1, 1], program, &folder.join("b"))?),
    ];
    let processes = [rigs[0].1.start(1, None, None)?, rigs[1].1.start(1, None, None)?];
    println!(
        "| clients that come and go | round | written, CPU us each | dropped, CPU us each |\n| --- | --- | --- | --- |"
    );
    for round in 0..rounds {
        for (process, (name, _)) in processes.iter().zip(&rigs) {
            let at = process.clients().ok_or("no clients")?;
            let come = || drop(TcpStream::connect(at));
            // A pause gives the limit its 200 lines back.
            thread::sleep(Duration::from_secs(5));
            let written = each(process, 200, come);
            let _ = each(process, 3000, come);
            let dropped = each(process, 10_000, come);
            println!("| {name} | {round} | {written:.1} | {dropped:.1} |");
        }
    }
    Ok(())
}
