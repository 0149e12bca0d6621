//! Runs thousands of random fault schedules on virtual time. The first schedule that fails is printed;
//! `schedules SEED SEED` runs that schedule again.
//!
//!     cargo run --release -p birchreach-membership --example schedules -- 1 5000

#[path = "../tests/common/mod.rs"]
mod common;

use common::schedule::Schedule;

fn main() -> Result<(), String> {
    let seeds: Vec<u64> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let first = seeds.first().copied().unwrap_or(1);
    let last = seeds.get(1).copied().unwrap_or(1_000);
    let mut times = Vec::new();
    for seed in first..=last {
        times.push(Schedule::from_seed(seed).run()?);
    }
    times.sort_unstable();
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize] as f64 / 1e6;
    println!("{} schedules passed; seconds from the end of the last fault to convergence:", times.len());
    println!("median {:.1}, p99 {:.1}, max {:.1}", quantile(0.5), quantile(0.99), quantile(1.0));
    Ok(())
}
