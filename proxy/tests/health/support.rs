//! Proxies on scripted databases, and what balancers and operators ask them.

use birchreach_test_support::balancer::{Check, Told, check};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::{PATIENCE, Process};
use birchreach_test_support::rig::Rig;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_birchreach-proxy");

/// A rig with its own loopback network and folder, by its number.
pub(crate) fn rig(n: u8, groups: u32) -> Rig {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("health-{n}"));
    Rig::new(groups, [127, 88, n, 1], Path::new(PROGRAM), &folder).unwrap()
}

/// Probes with short intervals.
pub(crate) const PROBES: &str = "<probes every-ms='500' suspect-ms='300' timeout-ms='400'/>";

/// The reply to an agent-check with this line.
pub(crate) fn agent(process: &Process, line: &str) -> Told {
    check(process.checks("agent").unwrap(), &Check::Agent(line.into()), PATIENCE).unwrap()
}

/// The response to an HTTP check of this path.
pub(crate) fn http(process: &Process, path: &str) -> Told {
    check(process.checks("http").unwrap(), &Check::Http(path.into()), PATIENCE).unwrap()
}

/// Waits until the condition holds.
pub(crate) fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Clients that write and read in all groups until it is dropped, whatever fails meanwhile.
pub(crate) struct Traffic {
    stopped: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(u64, u64)>>,
}

impl Traffic {
    pub(crate) fn start(address: SocketAddr, groups: u32, clients: u32) -> Traffic {
        let stopped = Arc::new(AtomicBool::new(false));
        let start_client = |n: u32| {
            let stopped = stopped.clone();
            thread::spawn(move || {
                let (mut served, mut lost) = (0, 0);
                let mut client = None;
                while !stopped.load(Ordering::Relaxed) {
                    let Some(connected) = &mut client else {
                        client = Client::connect(address).ok();
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    };
                    let reply = match n % 2 {
                        0 => connected.write("file-entry", n / 2 % groups, 3000),
                        _ => connected.read("tariff-lookup", n / 2 % groups, 2500),
                    };
                    match reply {
                        Ok(reply) => served += u64::from(matches!(reply, Reply::Served(_))),
                        Err(_) => {
                            lost += 1;
                            client = None;
                        }
                    }
                    thread::sleep(Duration::from_millis(10));
                }
                (served, lost)
            })
        };
        Traffic { threads: (0..clients).map(start_client).collect(), stopped }
    }

    /// Ends the clients. Returns how many requests were served and lost.
    pub(crate) fn stop(mut self) -> (u64, u64) {
        self.stopped.store(true, Ordering::Relaxed);
        let ended = self.threads.drain(..).map(|thread| thread.join().unwrap());
        ended.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// The reply to an operator's call.
pub(crate) fn operator(proxy: &Process, call: &str) -> String {
    let mut stream = TcpStream::connect(proxy.operators().unwrap()).unwrap();
    writeln!(stream, "{call}").unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}
