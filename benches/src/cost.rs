//! Measures the processor time that balancer checks cost the proxy, and their effect on requests. The modes
//! alternate within one run.

use crate::MeasurementResult;
use crate::process_cpu::{cpu_micros_since, mean_cpu_micros};
use crate::times::DurationHistogram;
use birchreach_test_support::balancer::{Check, run_check};
use birchreach_test_support::client::Client;
use birchreach_test_support::process::{MAX_WAIT, Process};
use birchreach_test_support::rig::Rig;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GROUPS: u32 = 2;
/// Duration of one turn of a mode.
const TURN: Duration = Duration::from_secs(3);
const CLIENTS: u32 = 8;
/// Number of clients per writer. The other clients read.
const CLIENTS_PER_WRITER: u32 = 4;
const WRITE_TIMEOUT_MS: u32 = 3_000;
const READ_TIMEOUT_MS: u32 = 2_500;
const MAX_CHECK_CONNECTIONS: u32 = 64;
/// Number of calls over which the mean cost is computed.
const CALLS: u64 = 20_000;
const POLLERS: usize = 20;
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const RESPONSE_BUFFER_BYTES: usize = 16 * 1024;

/// The health checks that the proxy receives while it serves requests.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    ChecksOff,
    NotPolled,
    Polled,
}

const MODES: [(Mode, &str); 3] = [
    (Mode::ChecksOff, "checks off"),
    (Mode::NotPolled, "checks on, nobody asks"),
    (Mode::Polled, "polled hard (200 a second)"),
];

/// Durations of the requests made in a mode, and the processor time of the proxy.
#[derive(Default)]
struct Cost {
    durations: DurationHistogram,
    cpu_micros: f64,
}

/// Addresses of the health check listeners.
#[derive(Clone, Copy)]
struct CheckAddresses {
    http: SocketAddr,
    agent: SocketAddr,
}

/// Measures the cost of checks and of requests in each mode, and prints the tables.
pub(crate) fn run(program: &Path, folder: &Path, rounds: u32) -> MeasurementResult {
    let rig = Rig::new(GROUPS, [127, 93, 0, 1], program, folder)?;
    let without_checks = rig.start(1, None, None)?;
    let with_checks = rig.start_with_checks(2, MAX_CHECK_CONNECTIONS, "")?;
    let addresses = CheckAddresses {
        http: with_checks.check_address("http").ok_or("proxy has no HTTP check address")?,
        agent: with_checks.check_address("agent").ok_or("proxy has no agent check address")?,
    };
    print_check_costs(&with_checks, addresses)?;
    let mut costs: Vec<Cost> = MODES.iter().map(|_| Cost::default()).collect();
    for round in 0..rounds as usize {
        for turn in 0..MODES.len() {
            // Rotates the order: each mode runs first, second and last in successive rounds.
            let index = (turn + round) % MODES.len();
            let mode = MODES[index].0;
            let process = if mode == Mode::ChecksOff { &without_checks } else { &with_checks };
            let cost = measure_turn(process, mode, addresses)?;
            costs[index].durations.merge(&cost.durations);
            costs[index].cpu_micros += cost.cpu_micros;
        }
    }
    print_request_costs(&costs, rounds);
    Ok(())
}

fn print_check_costs(process: &Process, addresses: CheckAddresses) -> MeasurementResult {
    let CheckAddresses { http, agent } = addresses;
    println!("| check | CPU of the proxy, us each |\n| --- | --- |");
    let cost =
        mean_cpu_micros(process, CALLS, || drop(run_check(http, &Check::Http("/ready".into()), MAX_WAIT)));
    println!("| HTTP `/ready`, a connection each | {cost:.1} |");
    let cost = mean_cpu_micros(process, CALLS, || {
        drop(run_check(agent, &Check::Agent("file-entry".into()), MAX_WAIT))
    });
    println!("| agent-check `file-entry`, a connection each | {cost:.1} |");
    let mut connection = TcpStream::connect(http)?;
    connection.set_nodelay(true)?;
    for path in ["/ready", "/health"] {
        let request = format!("GET {path} HTTP/1.1\r\nHost: p\r\n\r\n");
        let cost = mean_cpu_micros(process, CALLS, || {
            let _ = connection.write_all(request.as_bytes());
            read_response(&mut connection);
        });
        println!("| HTTP `{path}` on a kept connection | {cost:.1} |");
    }
    Ok(())
}

/// Reads one HTTP response completely, as its Content-Length header states.
fn read_response(connection: &mut TcpStream) {
    let mut response = Vec::new();
    let mut buffer = [0; RESPONSE_BUFFER_BYTES];
    loop {
        let Ok(read @ 1..) = connection.read(&mut buffer) else { return };
        response.extend_from_slice(&buffer[..read]);
        let Some(head_length) = response.windows(4).position(|window| window == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&response[..head_length]).to_ascii_lowercase();
        let length = head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next());
        let length: Option<usize> = length.and_then(|digits| digits.parse().ok());
        if length.is_some_and(|length| response.len() >= head_length + 4 + length) {
            return;
        }
    }
}

/// Makes requests for one turn of a mode, together with the mode's health checks.
fn measure_turn(process: &Process, mode: Mode, addresses: CheckAddresses) -> Result<Cost, &'static str> {
    let clients = process.client_address().ok_or("proxy has no client address")?;
    let stop = AtomicBool::new(false);
    Ok(thread::scope(|scope| {
        let stop = &stop;
        let pollers = if mode == Mode::Polled { POLLERS } else { 0 };
        for poller in 0..pollers {
            scope.spawn(move || poll(poller, addresses, stop));
        }
        let before = process.cpu_time().unwrap_or_default();
        let durations = run_clients(clients, TURN);
        stop.store(true, Ordering::Relaxed);
        Cost { durations, cpu_micros: cpu_micros_since(process, before) }
    }))
}

fn poll(poller: usize, addresses: CheckAddresses, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let _ = match poller % 2 {
            0 => run_check(addresses.http, &Check::Http("/ready".into()), MAX_WAIT),
            _ => run_check(addresses.agent, &Check::Agent("file-entry".into()), MAX_WAIT),
        };
        thread::sleep(POLL_INTERVAL);
    }
}

/// Runs all clients for a time, and returns the durations of their requests.
fn run_clients(address: SocketAddr, run_time: Duration) -> DurationHistogram {
    let deadline = Instant::now() + run_time;
    let shared_durations = Mutex::new(DurationHistogram::default());
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let shared_durations = &shared_durations;
            scope.spawn(move || {
                let Some(durations) = run_client(client, address, deadline) else { return };
                shared_durations.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).merge(&durations);
            });
        }
    });
    shared_durations.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Makes requests until the deadline, and returns their durations, or `None` if the connection broke.
fn run_client(client_number: u32, address: SocketAddr, deadline: Instant) -> Option<DurationHistogram> {
    let mut client = Client::connect(address).ok()?;
    let group = client_number % GROUPS;
    let mut durations = DurationHistogram::default();
    while Instant::now() < deadline {
        let start = Instant::now();
        let reply = if client_number.is_multiple_of(CLIENTS_PER_WRITER) {
            client.write("file-entry", group, WRITE_TIMEOUT_MS)
        } else {
            client.read("tariff-lookup", group, READ_TIMEOUT_MS)
        };
        reply.ok()?;
        durations.record(start.elapsed());
    }
    Some(durations)
}

fn print_request_costs(costs: &[Cost], rounds: u32) {
    println!(
        "\n| requests, {CLIENTS} clients, {rounds} rounds of {} s | a second | n | median ms | 99th ms | most ms | CPU us each |",
        TURN.as_secs()
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for ((_, name), cost) in MODES.iter().zip(costs) {
        let count = cost.durations.count() as f64;
        let rate = count / (TURN.as_secs_f64() * f64::from(rounds));
        println!(
            "| {name} | {rate:.0} | {} | {:.1} |",
            cost.durations.table_cells(),
            cost.cpu_micros / count
        );
    }
}
