//! Property test of the invariants that a single router can guarantee, under any valid sequence of events and
//! any combination of settings. The checker sees only the events and actions of the public interface and does
//! not model the servers.

mod checker;
#[path = "../common/mod.rs"]
mod common;
mod draws;
mod recorded;
mod results;
mod steps;

use birchreach::*;
use checker::Checker;
use common::{MILLISECOND, TimedAction, WRITE, copy_candidate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use steps::{OUTCOMES, Step};

/// Derives settings from the bits of a random number.
fn settings_from_bits(bits: u32) -> Settings {
    let mut settings = common::settings();
    let bit = |index: u32| bits >> index & 1 == 1;
    settings.proxy_count = if bit(0) { 600 } else { u32::from(bit(1)) };
    settings.session_positions =
        if bit(2) { SessionPositionSource::FromRequest } else { SessionPositionSource::FromObservedWrites };
    settings.stale_reads = if bit(3) { StaleReadPolicy::Rejected } else { StaleReadPolicy::Served };
    settings.endpoint_discovery = if bit(4) { EndpointDiscovery::Polled } else { EndpointDiscovery::Pushed };
    settings.removal_is_advisory = bit(5);
    settings.hedging_allowed = bit(6);
    settings.cancellation_allowed = bit(7);
    settings.health_checks_allowed = bit(8);
    settings.max_retry_after = bit(9).then_some(1_000 * MILLISECOND);
    settings.max_attempts = if bit(10) { 2 } else { 8 };
    settings.classes[WRITE as usize].idempotency = match bits >> 11 & 3 {
        0 => Idempotency::NotIdempotent,
        2 => Idempotency::Idempotent,
        _ => common::with_idempotency_key(),
    };
    settings.classes.push(common::class(Consistency::Strong, Idempotency::Idempotent));
    for class in &mut settings.classes {
        class.late_weight_fraction = if bit(13) { 0.5 } else { 0.0 };
    }
    settings
}

/// Runs a sequence of steps and then advances the clock until all requests have timed out. Returns all
/// actions.
fn run_sequence(bits: u32, seed: u64, steps: &[Step]) -> Vec<TimedAction> {
    let mut checker = Checker::new(settings_from_bits(bits), seed);
    checker.change_endpoints(true, 0x2492_4924, 1);
    for step in steps {
        checker.run_step(*step);
    }
    checker.advance(60_000 * MILLISECOND);
    checker.assert_all_finished();
    checker.into_history()
}

#[test]
fn the_invariants_hold_under_any_valid_sequence_of_events() {
    // Given any settings, seed and sequence of steps
    let config = Config { cases: 1_500, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = prop::collection::vec(Step::any(), 1..120);
    let sequences = (any::<u32>(), any::<u64>(), steps);
    // When a router receives the events, then its actions satisfy the checker and are the same in a second
    // run
    let result = runner.run(&sequences, |(bits, seed, steps)| {
        let actions = run_sequence(bits, seed, &steps);
        assert_eq!(actions, run_sequence(bits, seed, &steps), "the same events produced different actions");
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
