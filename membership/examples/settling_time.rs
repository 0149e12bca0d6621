//! Prints a table of convergence times, false removals and traffic, measured on virtual time.
//!
//!     cargo run --release -p birchreach-membership --example settling_time -- 10 40 300 [0% 5% 20%] [seed=1]

#[path = "../tests/common/mod.rs"]
mod common;

use birchreach_membership::{MembershipChange, Micros};
use common::network::Network;
use common::process::Traffic;
use common::{SECOND, address};
use std::time::Instant;

/// Maximum time for the fleet to detect a fault or to converge after a fault.
const LIMIT: Micros = 120 * SECOND;
/// Time over which the traffic of an idle fleet is counted.
const IDLE_TIME: Micros = 60 * SECOND;

fn seconds(took: Option<Micros>) -> String {
    took.map_or("over 120".into(), |took| format!("{:.1}", took as f64 / 1e6))
}

/// Returns the time until no live member has any of these processes in its view, whether or not the view is settled.
fn time_to_removal(network: &mut Network, down: &[usize]) -> Option<Micros> {
    let start = network.now;
    let is_in_a_view = |network: &Network| {
        let mut members = network.live().flat_map(|view| view.members());
        members.any(|member| down.iter().any(|index| address(*index) == member.address))
    };
    while is_in_a_view(network) {
        if network.now - start >= LIMIT {
            return None;
        }
        network.advance(SECOND / 10);
    }
    Some(network.now - start)
}

fn total_sent(network: &Network) -> Traffic {
    let mut sum = Traffic::default();
    for process in &network.processes {
        sum.messages += process.sent.messages;
        sum.bytes += process.sent.bytes;
    }
    sum
}

fn count_removals(network: &Network) -> usize {
    let changes = network.processes.iter().flat_map(|process| &process.changes);
    changes.filter(|(_, change)| matches!(change, MembershipChange::Removed(_))).count()
}

/// False removals and traffic of a fleet without faults.
struct IdleTraffic {
    /// Number of times that a live member was removed from a view, since the start of the fleet.
    false_removals: usize,
    datagrams_per_s: f64,
    bytes_per_s: f64,
}

impl IdleTraffic {
    /// Measures the traffic per process over [`IDLE_TIME`].
    fn measure(network: &mut Network) -> IdleTraffic {
        let before = total_sent(network);
        network.advance(IDLE_TIME);
        let after = total_sent(network);
        let process_seconds = network.processes.len() as f64 * IDLE_TIME as f64 / 1e6;
        IdleTraffic {
            false_removals: count_removals(network),
            datagrams_per_s: (after.messages - before.messages) as f64 / process_seconds,
            bytes_per_s: (after.bytes - before.bytes) as f64 / process_seconds,
        }
    }
}

/// Detection times of crashes, and times from the end of other faults to convergence. `None` means over [`LIMIT`].
struct FaultTimes {
    crash_detection: Option<Micros>,
    partition_recovery: Option<Micros>,
    pause_recovery: Option<Micros>,
    mass_crash_detection: Option<Micros>,
}

impl FaultTimes {
    fn measure(network: &mut Network, count: usize) -> FaultTimes {
        let middle = count / 2;
        network.kill(middle);
        let crash_detection = time_to_removal(network, &[middle]);
        network.start(middle, 0);
        let _ = network.time_to_convergence(count, LIMIT);
        network.is_blocked = Box::new(move |from, to| (from < middle) != (to < middle));
        network.advance(60 * SECOND);
        network.is_blocked = Box::new(|_, _| false);
        let partition_recovery = network.time_to_convergence(count, LIMIT);
        network.pause(middle);
        network.advance(20 * SECOND);
        network.resume(middle);
        let pause_recovery = network.time_to_convergence(count, LIMIT);
        let crashed: Vec<usize> = (0..count * 7 / 10).collect();
        crashed.iter().for_each(|index| network.kill(*index));
        let mass_crash_detection = time_to_removal(network, &crashed);
        FaultTimes { crash_detection, partition_recovery, pause_recovery, mass_crash_detection }
    }
}

fn print_row(count: usize, loss: f64, seed: u64) {
    let clock = Instant::now();
    let mut network = Network::started(count, seed);
    network.loss = loss;
    let join = network.time_to_convergence(count, LIMIT);
    let traffic = IdleTraffic::measure(&mut network);
    let exchanges = network.exchange_traffic;
    let times = FaultTimes::measure(&mut network, count);
    println!(
        "| {count} | {:.0}% | {seed} | {} | {} | {} | {} | {} | {} | {:.1} | {:.0} | {} of {} | {:.0} |",
        loss * 100.0,
        seconds(join),
        seconds(times.crash_detection),
        seconds(times.mass_crash_detection),
        seconds(times.partition_recovery),
        seconds(times.pause_recovery),
        traffic.false_removals,
        traffic.datagrams_per_s,
        traffic.bytes_per_s,
        exchanges.messages,
        exchanges.bytes / exchanges.messages.max(1),
        clock.elapsed().as_secs_f64()
    );
}

/// Returns the arguments that `parse` accepts, or the default if there are none.
fn arguments<T>(parse: impl Fn(&str) -> Option<T>, default: Vec<T>) -> Vec<T> {
    let found: Vec<T> = std::env::args().skip(1).filter_map(|argument| parse(&argument)).collect();
    if found.is_empty() { default } else { found }
}

fn main() {
    let counts = arguments(|argument| argument.parse().ok(), vec![10, 40, 300]);
    let percent =
        |argument: &str| argument.strip_suffix('%')?.parse::<f64>().ok().map(|percent| percent / 100.0);
    let losses = arguments(percent, vec![0.0, 0.05, 0.2]);
    let seeds = arguments(|argument| argument.strip_prefix("seed=")?.parse().ok(), vec![1, 2]);
    println!(
        "| members | loss | seed | join s | one crash detected s | 70% crash detected s | after partition s | after pause s | false removals | datagrams/s per process | bytes/s per process | full exchange messages, bytes each | run time s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in counts {
        for loss in &losses {
            for seed in &seeds {
                print_row(count, *loss, *seed);
            }
        }
    }
}
