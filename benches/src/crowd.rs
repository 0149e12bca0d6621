//! Measures the responses to health checks under 1,000 clients and 200 checkers. 50 of the checkers misbehave: they send
//! nothing, or do not read the responses.

use crate::MeasurementResult;
use crate::times::DurationHistogram;
use birchreach_test_support::balancer::{Check, run_check};
use birchreach_test_support::client::{Client, Reply};
use birchreach_test_support::process::MAX_WAIT;
use birchreach_test_support::rig::Rig;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CLIENT_THREADS: usize = 50;
const CLIENTS_PER_THREAD: usize = 20;
const CHECKERS: usize = 200;
const MISBEHAVING_CHECKERS: usize = 50;
const GROUPS: usize = 4;
const MAX_CHECK_CONNECTIONS: u32 = 128;
const MISBEHAVING_PAUSE: Duration = Duration::from_secs(3);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between the starts of consecutive checkers.
const CHECKER_STAGGER_MS: u64 = 5;
/// Number of requests that a misbehaving checker sends without reading a response.
const UNREAD_REQUESTS: usize = 4_000;
const WRITE_TIMEOUT_MS: u32 = 3_000;
const READ_TIMEOUT_MS: u32 = 2_500;
/// Number of clients per writer. The other clients read.
const CLIENTS_PER_WRITER: usize = 4;

/// The addresses on which the proxy listens.
#[derive(Clone, Copy)]
struct Addresses {
    clients: SocketAddr,
    http: SocketAddr,
    agent: SocketAddr,
}

/// Counters and durations, shared by all threads.
#[derive(Default)]
struct Counts {
    served: AtomicU64,
    error_responses: AtomicU64,
    checks_without_response: AtomicU64,
    http_durations: Mutex<DurationHistogram>,
    agent_durations: Mutex<DurationHistogram>,
}

/// Loads the proxy for a number of seconds, and prints the tables.
pub(crate) fn run(program: &Path, folder: &Path, seconds: u64) -> MeasurementResult {
    let rig = Rig::new(GROUPS as u32, [127, 92, 0, 1], program, folder)?;
    let proxy = rig.start_with_checks(1, MAX_CHECK_CONNECTIONS, "")?;
    let addresses = Addresses {
        clients: proxy.client_address().ok_or("proxy has no client address")?,
        http: proxy.check_address("http").ok_or("proxy has no HTTP check address")?,
        agent: proxy.check_address("agent").ok_or("proxy has no agent check address")?,
    };
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let counts = Counts::default();
    thread::scope(|scope| {
        let counts = &counts;
        for thread in 0..CLIENT_THREADS {
            scope.spawn(move || run_clients(thread, addresses.clients, deadline, counts));
        }
        for checker in 0..MISBEHAVING_CHECKERS {
            scope.spawn(move || misbehave(checker, addresses, deadline));
        }
        for checker in 0..CHECKERS - MISBEHAVING_CHECKERS {
            scope.spawn(move || run_checks(checker, addresses, deadline, counts));
        }
    });
    let memory_kib = proxy.resident_memory_kib().unwrap_or(0);
    print_tables(counts, seconds, rig.max_descriptors, memory_kib);
    Ok(())
}

/// Sends requests one at a time, cycling through the clients. Reconnects a client whose connection the proxy has closed.
fn run_clients(thread: usize, address: SocketAddr, deadline: Instant, counts: &Counts) {
    let mut clients: Vec<Option<Client>> = (0..CLIENTS_PER_THREAD).map(|_| None).collect();
    while Instant::now() < deadline {
        for (index, slot) in clients.iter_mut().enumerate() {
            let Some(client) = slot else {
                *slot = Client::connect(address).ok();
                continue;
            };
            let group = ((thread + index) % GROUPS) as u32;
            let reply = if index.is_multiple_of(CLIENTS_PER_WRITER) {
                client.write("file-entry", group, WRITE_TIMEOUT_MS)
            } else {
                client.read("tariff-lookup", group, READ_TIMEOUT_MS)
            };
            match reply {
                Ok(Reply::Served(_)) => drop(counts.served.fetch_add(1, Ordering::Relaxed)),
                Ok(Reply::Error(_)) => drop(counts.error_responses.fetch_add(1, Ordering::Relaxed)),
                Err(_) => *slot = None,
            }
        }
    }
}

/// Connects repeatedly, and sends either nothing or many requests whose responses are never read.
fn misbehave(checker: usize, addresses: Addresses, deadline: Instant) {
    let address = if checker.is_multiple_of(2) { addresses.http } else { addresses.agent };
    while Instant::now() < deadline {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_nonblocking(true);
        if checker.is_multiple_of(4) {
            let _ = stream.write(&b"GET /health HTTP/1.1\r\nHost: p\r\n\r\n".repeat(UNREAD_REQUESTS));
        }
        thread::sleep(MISBEHAVING_PAUSE);
    }
}

fn run_checks(checker: usize, addresses: Addresses, deadline: Instant, counts: &Counts) {
    let (kind, address, shared_durations) = match checker % 2 {
        0 => (Check::Http("/ready".into()), addresses.http, &counts.http_durations),
        _ => (Check::Agent("file-entry".into()), addresses.agent, &counts.agent_durations),
    };
    let mut durations = DurationHistogram::default();
    thread::sleep(Duration::from_millis(CHECKER_STAGGER_MS * checker as u64));
    while Instant::now() < deadline {
        let start = Instant::now();
        match run_check(address, &kind, MAX_WAIT) {
            Ok(_) => durations.record(start.elapsed()),
            Err(_) => drop(counts.checks_without_response.fetch_add(1, Ordering::Relaxed)),
        }
        thread::sleep(CHECK_INTERVAL);
    }
    shared_durations.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).merge(&durations);
}

fn print_tables(counts: Counts, seconds: u64, max_descriptors: u32, memory_kib: u64) {
    let into_inner = |durations: Mutex<DurationHistogram>| {
        durations.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner())
    };
    println!(
        "{} clients on {max_descriptors} descriptors: {} requests served, {} answered otherwise, in {seconds} s; {} of {CHECKERS} \
         checkers misbehave; resident memory {memory_kib} KiB\n",
        CLIENT_THREADS * CLIENTS_PER_THREAD,
        counts.served.load(Ordering::Relaxed),
        counts.error_responses.load(Ordering::Relaxed),
        MISBEHAVING_CHECKERS,
    );
    println!("| checks | n | median ms | 99th ms | most ms |\n| --- | --- | --- | --- | --- |");
    println!("| HTTP `/ready`, a connection each | {} |", into_inner(counts.http_durations).table_cells());
    println!("| agent-check `file-entry` | {} |", into_inner(counts.agent_durations).table_cells());
    println!("\nchecks without a response: {}", counts.checks_without_response.load(Ordering::Relaxed));
}
