//! The share of requests served as the fleet grows, with traffic, capacity and faults in proportion to its
//! size.

mod common;
mod fleet_simulation;

use fleet_simulation::FleetSimulation;

const BASE_SIZE: u32 = 30;
const LARGE_SIZES: [u32; 2] = [300, 900];
const SEED: u64 = 1;
/// Minimum share of requests that a large fleet serves, relative to the share of the base size.
const MIN_RELATIVE_SHARE: f64 = 0.85;

/// The share of requests that a fleet of `router_count` routers serves.
fn served_share(router_count: u32) -> f64 {
    let served = FleetSimulation::run(router_count, SEED);
    let share = served.share();
    println!("{router_count} routers, seed {SEED}: share served {share:.4}, {served:?}");
    share
}

#[test]
fn a_large_fleet_serves_nearly_the_same_share_of_requests_as_a_small_one() {
    // Given a fleet of the base size in which one server restarts and another stops answering
    let base_share = served_share(BASE_SIZE);
    for size in LARGE_SIZES {
        // When a larger fleet has proportionally as many faults
        let share = served_share(size);
        // Then it serves nearly the same share of requests
        let relative_share = share / base_share;
        assert!(relative_share >= MIN_RELATIVE_SHARE, "{size} routers, seed {SEED}: {relative_share:.3}");
    }
}
