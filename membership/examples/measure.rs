//! How long views take to settle, whom they remove wrongly, and what that costs: a table of figures on virtual time.
//!
//!     cargo run --release -p birchreach-membership --example measure -- 10 40 300 [0% 5% 20%] [seed=1]

#[path = "../tests/common/mod.rs"]
mod common;

use birchreach_membership::{MembershipChange, Micros};
use common::{Net, SECOND, at};
use std::time::Instant;

const MOST: Micros = 120 * SECOND;

fn shown(took: Option<Micros>) -> String {
    took.map_or("not in 120".into(), |t| format!("{:.1}", t as f64 / 1e6))
}

/// Until no live one has any of these in its view; whether it calls itself settled is another matter.
fn until_noticed(net: &mut Net, gone: &[usize]) -> Option<Micros> {
    let start = net.now;
    let has = |net: &Net| net.live().any(|f| f.members().any(|m| gone.iter().any(|n| at(*n) == m.address)));
    while has(net) {
        if net.now - start >= MOST {
            return None;
        }
        net.pass(SECOND / 10);
    }
    Some(net.now - start)
}

fn row(count: usize, loss: f64, seed: u64) {
    let clock = Instant::now();
    let mut net = Net::started(count, seed);
    net.loss = loss;
    let join = net.until_agreed(count, MOST);
    let sent = |net: &Net| net.all.iter().fold((0, 0), |(n, b), p| (n + p.sent.0, b + p.sent.1));
    let (before, from) = (sent(&net), net.now);
    net.pass(60 * SECOND);
    let gone = |c: &&(Micros, MembershipChange)| matches!(c.1, MembershipChange::Removed(_));
    let removed = net.all.iter().flat_map(|p| p.changes.iter().filter(gone)).count();
    let after = sent(&net);
    let each = |sum: u64| sum as f64 / count as f64 / ((net.now - from) as f64 / 1e6);
    let (datagrams, bytes) = (each(after.0 - before.0), each(after.1 - before.1));
    let links = (net.exchanged.0, net.exchanged.1 / net.exchanged.0.max(1));
    let one = [count / 2];
    net.kill(one[0]);
    let crash = until_noticed(&mut net, &one);
    net.start(one[0], 0);
    let _ = net.until_agreed(count, MOST);
    let half = count / 2;
    net.cut = Box::new(move |a, b| (a < half) != (b < half));
    net.pass(60 * SECOND);
    net.cut = Box::new(|_, _| false);
    let heal = net.until_agreed(count, MOST);
    net.stop(one[0], true);
    net.pass(20 * SECOND);
    net.stop(one[0], false);
    let stop = net.until_agreed(count, MOST);
    let many: Vec<usize> = (0..count * 7 / 10).collect();
    many.iter().for_each(|n| net.kill(*n));
    let crowd = until_noticed(&mut net, &many);
    println!(
        "| {count} | {:.0}% | {seed} | {} | {} | {} | {} | {} | {removed} | {datagrams:.1} | {bytes:.0} | {} of {} | {:.0} |",
        loss * 100.0,
        shown(join),
        shown(crash),
        shown(crowd),
        shown(heal),
        shown(stop),
        links.0,
        links.1,
        clock.elapsed().as_secs_f64()
    );
}

fn main() {
    let told: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let words: Vec<String> = std::env::args().skip(1).collect();
    let share = |word: &String| word.strip_suffix('%')?.parse::<f64>().ok().map(|p| p / 100.0);
    let losses: Vec<f64> = words.iter().filter_map(share).collect();
    let losses = if losses.is_empty() { vec![0.0, 0.05, 0.2] } else { losses };
    let seeds: Vec<u64> = words.iter().filter_map(|w| w.strip_prefix("seed=")?.parse().ok()).collect();
    let seeds = if seeds.is_empty() { vec![1, 2] } else { seeds };
    let counts = if told.is_empty() { vec![10, 40, 300] } else { told };
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
