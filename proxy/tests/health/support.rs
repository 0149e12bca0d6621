//! Proxies in front of scripted databases, and the calls of balancers and operators.

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

/// Creates a rig. `test_number` selects the loopback network and the folder, which no other test uses.
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
    /// Returns two addresses that are currently not in use.
    pub(crate) fn free(rig: &Rig) -> CheckAddresses {
        CheckAddresses { http: rig.free_address().unwrap(), agent: rig.free_address().unwrap() }
    }

    /// Returns options with both listeners. `callers` is the limit of concurrent check connections.
    pub(crate) fn options(&self, callers: u32) -> String {
        Rig::health_options(self.http, self.agent, callers, "")
    }
}

/// An options element for probes with short intervals.
pub(crate) const PROBES: &str = "<probes every-ms='500' suspect-ms='300' timeout-ms='400'/>";

/// Sends `line` as an agent-check and returns the reply.
pub(crate) fn agent_check(process: &Process, line: &str) -> CheckAnswer {
    run_check(process.check_address("agent").unwrap(), &Check::Agent(line.into()), MAX_WAIT).unwrap()
}

/// Sends an HTTP check of `path` and returns the response.
pub(crate) fn http_check(process: &Process, path: &str) -> CheckAnswer {
    run_check(process.check_address("http").unwrap(), &Check::Http(path.into()), MAX_WAIT).unwrap()
}

/// Returns whether the check at the address succeeds. Returns false if nothing answers.
pub(crate) fn is_up(address: SocketAddr, check: &Check) -> bool {
    run_check(address, check, MAX_WAIT).is_ok_and(|answer| answer.up)
}

/// Waits until the condition holds. Panics with `what` after [`MAX_WAIT`].
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < MAX_WAIT, "not within {MAX_WAIT:?}: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Clients that write and read in all groups until this is dropped. They reconnect after a failure.
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

    /// Stops the clients and waits for their last replies.
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

/// Connects a client or sends one request, and pauses. Returns the client if it is connected.
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

/// Sends a call to the admin listener and returns the reply.
pub(crate) fn admin_call(proxy: &Process, call: &str) -> String {
    let mut stream = TcpStream::connect(proxy.admin_address().unwrap()).unwrap();
    writeln!(stream, "{call}").unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}
