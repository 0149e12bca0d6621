//! How long views take to settle, which live members are removed, and what that costs: a table of figures on virtual time.
//!
//!     cargo run --release -p birchreach-membership --example settling_time -- 10 40 300 [0% 5% 20%] [seed=1]

#[path = "../tests/common/mod.rs"]
mod common;

use birchreach_membership::{MembershipChange, Micros};
use common::network::Network;
use common::process::Traffic;
use common::{SECOND, address};
use std::time::Instant;

/// The longest time that the fleet gets to notice a fault, or to agree after it.
const LIMIT: Micros = 120 * SECOND;
/// How long the traffic of a settled fleet is counted.
const QUIET_TIME: Micros = 60 * SECOND;

fn seconds(took: Option<Micros>) -> String {
    took.map_or("not in 120".into(), |took| format!("{:.1}", took as f64 / 1e6))
}

/// How long until no live member has any of these in its view; whether it calls itself settled does not count.
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

fn sent(network: &Network) -> Traffic {
    let mut sum = Traffic::default();
    for process in &network.processes {
        sum.messages += process.sent.messages;
        sum.bytes += process.sent.bytes;
    }
    sum
}

fn removals(network: &Network) -> usize {
    let changes = network.processes.iter().flat_map(|process| &process.changes);
    changes.filter(|(_, change)| matches!(change, MembershipChange::Removed(_))).count()
}

/// The traffic of a fleet in which nothing happens.
struct QuietTraffic {
    /// Live members that were removed from a view.
    false_removals: usize,
    datagrams_per_s: f64,
    bytes_per_s: f64,
}

impl QuietTraffic {
    /// Of each process, over [`QUIET_TIME`].
    fn of(network: &mut Network) -> QuietTraffic {
        let before = sent(network);
        network.advance(QUIET_TIME);
        let after = sent(network);
        let process_seconds = network.processes.len() as f64 * QUIET_TIME as f64 / 1e6;
        QuietTraffic {
            false_removals: removals(network),
            datagrams_per_s: (after.messages - before.messages) as f64 / process_seconds,
            bytes_per_s: (after.bytes - before.bytes) as f64 / process_seconds,
        }
    }
}

/// How long a fleet takes to notice a fault, or to agree after it has ended.
struct FaultTimes {
    crash: Option<Micros>,
    partition: Option<Micros>,
    pause: Option<Micros>,
    mass_crash: Option<Micros>,
}

impl FaultTimes {
    fn of(network: &mut Network, count: usize) -> FaultTimes {
        let middle = count / 2;
        network.kill(middle);
        let crash = time_to_removal(network, &[middle]);
        network.start(middle, 0);
        let _ = network.time_to_agreement(count, LIMIT);
        network.is_partitioned = Box::new(move |from, to| (from < middle) != (to < middle));
        network.advance(60 * SECOND);
        network.is_partitioned = Box::new(|_, _| false);
        let partition = network.time_to_agreement(count, LIMIT);
        network.pause(middle);
        network.advance(20 * SECOND);
        network.resume(middle);
        let pause = network.time_to_agreement(count, LIMIT);
        let seven_in_ten: Vec<usize> = (0..count * 7 / 10).collect();
        seven_in_ten.iter().for_each(|index| network.kill(*index));
        let mass_crash = time_to_removal(network, &seven_in_ten);
        FaultTimes { crash, partition, pause, mass_crash }
    }
}

fn print_row(count: usize, loss: f64, seed: u64) {
    let clock = Instant::now();
    let mut network = Network::started(count, seed);
    network.loss = loss;
    let join = network.time_to_agreement(count, LIMIT);
    let traffic = QuietTraffic::of(&mut network);
    let exchanges = network.exchanged;
    let times = FaultTimes::of(&mut network, count);
    println!(
        "| {count} | {:.0}% | {seed} | {} | {} | {} | {} | {} | {} | {:.1} | {:.0} | {} of {} | {:.0} |",
        loss * 100.0,
        seconds(join),
        seconds(times.crash),
        seconds(times.mass_crash),
        seconds(times.partition),
        seconds(times.pause),
        traffic.false_removals,
        traffic.datagrams_per_s,
        traffic.bytes_per_s,
        exchanges.messages,
        exchanges.bytes / exchanges.messages.max(1),
        clock.elapsed().as_secs_f64()
    );
}

/// The arguments that can be read as such values, or the default.
fn arguments<T>(read: impl Fn(&str) -> Option<T>, default: Vec<T>) -> Vec<T> {
    let found: Vec<T> = std::env::args().skip(1).filter_map(|argument| read(&argument)).collect();
    if found.is_empty() { default } else { found }
}

fn main() {
    let counts = arguments(|argument| argument.parse().ok(), vec![10, 40, 300]);
    let percent =
        |argument: &str| argument.strip_suffix('%')?.parse::<f64>().ok().map(|percent| percent / 100.0);
    let losses = arguments(percent, vec![0.0, 0.05, 0.2]);
    let seeds = arguments(|argument| argument.strip_prefix("seed=")?.parse().ok(), vec![1, 2]);
    println!(
        "| members | loss | seed | join | one crash noticed | seven in ten noticed | heal | after a stop | false removals a minute | datagrams/s each | bytes/s each | full exchanges by then, bytes of one | computed in s |"
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
