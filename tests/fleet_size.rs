//! What the routing decisions serve as the fleet grows, with traffic, capacity and faults in proportion.

mod common;
mod fleet_simulation;

use fleet_simulation::FleetSimulation;

const USUAL_SIZE: u32 = 30;
const LARGE_SIZES: [u32; 2] = [300, 900];
const SEED: u64 = 1;
/// The least share that a large fleet serves, relative to the usual size's.
const MIN_RELATIVE_SHARE: f64 = 0.85;

/// The share that a fleet of this size serves.
fn served_share(router_count: u32) -> f64 {
    let served = FleetSimulation::run(router_count, SEED);
    let share = served.share();
    println!("{router_count} routers, seed {SEED}: share served {share:.4}, {served:?}");
    share
}

#[test]
fn a_large_fleet_serves_nearly_the_share_of_the_usual_size() {
    // Given a fleet of the usual size, one of whose servers restarts, and another one of which stops
    // answering
    let usual_share = served_share(USUAL_SIZE);
    for size in LARGE_SIZES {
        // When a larger one has as many such faults in proportion
        let share = served_share(size);
        // Then it serves nearly the same share
        let relative_share = share / usual_share;
        assert!(relative_share >= MIN_RELATIVE_SHARE, "{size} routers, seed {SEED}: {relative_share:.3}");
    }
}
