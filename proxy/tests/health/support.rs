//! Proxies on scripted databases, and what balancers and operators ask them.

use birchreach_test_support::balancer::{Check, CheckAnswer, run_check};
use birchreach_test_support::client::Client;
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::Rig;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_birchreach-proxy");

/// A rig with its own loopback network and folder, by the number of the test.
pub(crate) fn new_rig(test_number: u8, group_count: u32) -> Rig {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("health-{test_number}"));
    Rig::new(group_count, [127, 88, test_number, 1], Path::new(PROGRAM), &folder).unwrap()
}

/// Addresses for a proxy's health check listeners.
pub(crate) struct CheckAddresses {
    pub(crate) http: SocketAddr,
    pub(crate) agent: SocketAddr,
}

impl CheckAddresses {
    /// Addresses that are free now.
    pub(crate) fn free(rig: &Rig) -> CheckAddresses {
        CheckAddresses { http: rig.free_address().unwrap(), agent: rig.free_address().unwrap() }
    }

    /// Options with both listeners, for so many callers.
    pub(crate) fn options(&self, callers: u32) -> String {
        Rig::health_options(self.http, self.agent, callers, "")
    }
}

/// Probes with short intervals.
pub(crate) const PROBES: &str = "<probes every-ms='500' suspect-ms='300' timeout-ms='400'/>";

/// The reply to an agent-check with this line.
pub(crate) fn agent_check(process: &Process, line: &str) -> CheckAnswer {
    run_check(process.check_address("agent").unwrap(), &Check::Agent(line.into()), MAX_WAIT).unwrap()
}

/// The response to an HTTP check of this path.
pub(crate) fn http_check(process: &Process, path: &str) -> CheckAnswer {
    run_check(process.check_address("http").unwrap(), &Check::Http(path.into()), MAX_WAIT).unwrap()
}

/// Whether the check at this address succeeds; false if nothing answers.
pub(crate) fn is_up(address: SocketAddr, check: &Check) -> bool {
    run_check(address, check, MAX_WAIT).is_ok_and(|answer| answer.up)
}

/// Waits until the condition holds.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < MAX_WAIT, "never: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Clients that write and read in all groups until it is dropped, whatever fails meanwhile.
pub(crate) struct Traffic {
    stopped: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Traffic {
    pub(crate) fn start(address: SocketAddr, group_count: u32, client_count: u32) -> Traffic {
        let stopped = Arc::new(AtomicBool::new(false));
        let start_client = |n: u32| {
            let stopped = stopped.clone();
            let (writes, group) = (n.is_multiple_of(2), n / 2 % group_count);
            thread::spawn(move || {
                let mut client = None;
                while !stopped.load(Ordering::Relaxed) {
                    client = connect_or_send(client, address, writes, group);
                }
            })
        };
        Traffic { threads: (0..client_count).map(start_client).collect(), stopped }
    }

    /// Ends the clients and waits for their last replies.
    pub(crate) fn stop(mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Connects a client or sends one request, and pauses. Returns the client if its connection holds.
fn connect_or_send(client: Option<Client>, address: SocketAddr, writes: bool, group: u32) -> Option<Client> {
    let Some(mut client) = client else {
        let connected = Client::connect(address).ok();
        thread::sleep(Duration::from_millis(5));
        return connected;
    };
    let reply = match writes {
        true => client.write("file-entry", group, 3000),
        false => client.read("tariff-lookup", group, 2500),
    };
    thread::sleep(Duration::from_millis(10));
    reply.ok().map(|_| client)
}

/// The reply to an operator's call.
pub(crate) fn admin_call(proxy: &Process, call: &str) -> String {
    let mut stream = TcpStream::connect(proxy.admin_address().unwrap()).unwrap();
    writeln!(stream, "{call}").unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}
