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

const LIMIT: Micros = 120 * SECOND;
const QUIET_TIME: Micros = 60 * SECOND;

fn shown(took: Option<Micros>) -> String {
    took.map_or("not in 120".into(), |took| format!("{:.1}", took as f64 / 1e6))
}

/// How long until no live member has any of these in its view; whether it calls itself settled does not count.
fn time_to_removal(network: &mut Network, down: &[usize]) -> Option<Micros> {
    let start = network.now;
    let is_in_a_view = |network: &Network| {
        let mut members = network.live().flat_map(|view| view.members());
        members.any(|member| down.iter().any(|n| address(*n) == member.address))
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

fn row(count: usize, loss: f64, seed: u64) {
    let clock = Instant::now();
    let mut network = Network::started(count, seed);
    network.loss = loss;
    let join = network.time_to_agreement(count, LIMIT);
    let (before, from) = (sent(&network), network.now);
    network.advance(QUIET_TIME);
    let (after, removed) = (sent(&network), removals(&network));
    let per_second = |sum: u64| sum as f64 / count as f64 / ((network.now - from) as f64 / 1e6);
    let (datagrams, bytes) =
        (per_second(after.messages - before.messages), per_second(after.bytes - before.bytes));
    let exchanges = network.exchanged;
    let one = count / 2;
    network.kill(one);
    let crash = time_to_removal(&mut network, &[one]);
    network.start(one, 0);
    let _ = network.time_to_agreement(count, LIMIT);
    network.is_cut = Box::new(move |from, to| (from < one) != (to < one));
    network.advance(60 * SECOND);
    network.is_cut = Box::new(|_, _| false);
    let heal = network.time_to_agreement(count, LIMIT);
    network.pause(one);
    network.advance(20 * SECOND);
    network.resume(one);
    let pause = network.time_to_agreement(count, LIMIT);
    let many: Vec<usize> = (0..count * 7 / 10).collect();
    many.iter().for_each(|n| network.kill(*n));
    let mass_crash = time_to_removal(&mut network, &many);
    println!(
        "| {count} | {:.0}% | {seed} | {} | {} | {} | {} | {} | {removed} | {datagrams:.1} | {bytes:.0} | {} of {} | {:.0} |",
        loss * 100.0,
        shown(join),
        shown(crash),
        shown(mass_crash),
        shown(heal),
        shown(pause),
        exchanges.messages,
        exchanges.bytes / exchanges.messages.max(1),
        clock.elapsed().as_secs_f64()
    );
}

/// The words that a reading finds, or the default.
fn arguments<T>(read: impl Fn(&str) -> Option<T>, default: Vec<T>) -> Vec<T> {
    let found: Vec<T> = std::env::args().skip(1).filter_map(|word| read(&word)).collect();
    if found.is_empty() { default } else { found }
}

fn main() {
    let counts = arguments(|word| word.parse().ok(), vec![10, 40, 300]);
    let percent = |word: &str| word.strip_suffix('%')?.parse::<f64>().ok().map(|share| share / 100.0);
    let losses = arguments(percent, vec![0.0, 0.05, 0.2]);
    let seeds = arguments(|word| word.strip_prefix("seed=")?.parse().ok(), vec![1, 2]);
    println!(
        "| members | loss | seed | join | one crash noticed | seven in ten noticed | heal | after a stop | false removals a minute | datagrams/s each | bytes/s each | full exchanges by then, bytes of one | computed in s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in counts {
        for loss in &losses {
            for seed in &seeds {
                row(count, *loss, *seed);
            }
        }
    }
}
