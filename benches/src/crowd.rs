//! Answers to balancers while 1,000 clients crowd the proxy, 200 checkers poll, and 50 of them say or read nothing.

use crate::{Done, Times};
use birchreach_test_support::balancer::{Check, check};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::PATIENCE;
use birchreach_test_support::rig::Rig;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const THREADS: usize = 50;
const EACH: usize = 20;
const CHECKERS: usize = 200;
const RUDE: usize = 50;

pub fn run(program: &Path, folder: &Path, seconds: u64) -> Done {
    let rig = Rig::new(4, [127, 92, 0, 1], program, folder)?;
    let proxy = rig.start_with_doors(1, 128, "")?;
    let (clients, http) = (proxy.clients().ok_or("no clients")?, proxy.checks("http").ok_or("no http")?);
    let agent = proxy.checks("agent").ok_or("no agent")?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let (served, failed, missed) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let times = Mutex::new((Times::default(), Times::default()));
    thread::scope(|scope| {
        for n in 0..THREADS {
            let (served, failed) = (&served, &failed);
            scope.spawn(move || {
                // Each of its connections asks in its turn, and is made again when the proxy sheds it.
                let mut held: Vec<Option<Client>> = (0..EACH).map(|_| None).collect();
                while Instant::now() < until {
                    for (k, slot) in held.iter_mut().enumerate() {
                        let Some(client) = slot else {
                            *slot = Client::connect(clients).ok();
                            continue;
                        };
                        let group = ((n + k) % 4) as u32;
                        let reply = match k % 4 {
                            0 => client.write("file-entry", group, 3000),
                            _ => client.read("tariff-lookup", group, 2500),
                        };
                        match reply {
                            Ok(Reply::Served(_)) => drop(served.fetch_add(1, Ordering::Relaxed)),
                            Ok(Reply::Error(_)) => drop(failed.fetch_add(1, Ordering::Relaxed)),
                            Err(_) => *slot = None,
                        }
                    }
                }
            });
        }
        for n in 0..RUDE {
            scope.spawn(move || {
                while Instant::now() < until {
                    let Ok(mut stream) = TcpStream::connect(if n % 2 == 0 { http } else { agent }) else {
                        continue;
                    };
                    // Says nothing, or asks much and reads nothing.
                    let _ = stream.set_nonblocking(true);
                    if n % 4 == 0 {
                        let _ = stream.write(&b"GET /health HTTP/1.1\r\nHost: p\r\n\r\n".repeat(4000));
                    }
                    thread::sleep(Duration::from_secs(3));
                }
            });
        }
        for n in 0..CHECKERS - RUDE {
            let (times, missed) = (&times, &missed);
            scope.spawn(move || {
                let (how, at) = match n % 2 {
                    0 => (Check::Http("/ready".into()), http),
                    _ => (Check::Agent("file-entry".into()), agent),
                };
                let mut own = Times::default();
                thread::sleep(Duration::from_millis(5 * n as u64));
                while Instant::now() < until {
                    let start = Instant::now();
                    match check(at, &how, PATIENCE) {
                        Ok(_) => own.add(start.elapsed()),
                        Err(_) => drop(missed.fetch_add(1, Ordering::Relaxed)),
                    }
                    thread::sleep(Duration::from_millis(500));
                }
                let mut times = times.lock().unwrap_or_else(|e| e.into_inner());
                if n % 2 == 0 { times.0.join(&own) } else { times.1.join(&own) }
            });
        }
    });
    let times = times.into_inner().unwrap_or_else(|e| e.into_inner());
    println!(
        "{} clients on {} places: {} requests served, {} answered otherwise, in {seconds} s; {} of {CHECKERS} checkers \
         rude; resident memory {} KiB\n",
        THREADS * EACH,
        rig.sockets,
        served.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed),
        RUDE,
        proxy.memory().unwrap_or(0)
    );
    println!("| checks | n | median ms | 99th ms | most ms |\n| --- | --- | --- | --- | --- |");
    println!("| HTTP `/ready`, a connection each | {} |", times.0.row());
    println!("| agent-check `file-entry` | {} |", times.1.row());
    println!("\nchecks without an answer: {}", missed.load(Ordering::Relaxed));
    Ok(())
}
