//! Schedules of faults on virtual time, thousands of them; one that fails is printed whole, and `schedules SEED SEED` plays it again.
//!
//!     cargo run --release -p birchreach-membership --example schedules -- 1 5000

#[path = "../tests/common/mod.rs"]
mod common;

use common::schedule::Schedule;

fn main() -> Result<(), String> {
    let told: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let (from, to) = (told.first().copied().unwrap_or(1), told.get(1).copied().unwrap_or(1_000));
    let mut took = Vec::new();
    for seed in from..=to {
        took.push(Schedule::draw(seed).play()?);
    }
    took.sort_unstable();
    let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize] as f64 / 1e6;
    println!("{} schedules, none failed; seconds to one settled view after the last fault:", took.len());
    println!("median {:.1}, 99 in 100 {:.1}, most {:.1}", at(0.5), at(0.99), at(1.0));
    Ok(())
}
