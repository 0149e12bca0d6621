//! What one router alone can keep, under any legal sequence of events and every combination of
//! settings. The checker knows only what passes through the public interface; it models no server.

mod checker;
#[path = "../common/mod.rs"]
mod common;
mod recorded;
mod steps;

use birchreach::*;
use common::{MS, WRITE, copy_candidate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const ENDINGS: [AttemptOutcome; 9] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Overloaded,
    AttemptOutcome::Timeout,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::ConnectionReset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::Ineligible,
];

/// A step is read from three numbers, so that every sequence of numbers is a legal day.
type Step = (u8, u32, u32);

struct Attempt {
    server: u32,
    sent: Micros,
    until: Micros,
    ended: Option<AttemptOutcome>,
}

struct Asked {
    class: usize,
    group: u32,
    session: Option<SessionId>,
    token: Option<Micros>,
    deadline: Micros,
    attempts: Vec<Attempt>,
    guests: Vec<(u32, Micros)>,
    over: bool,
}

#[derive(Default)]
struct Told {
    group: u32,
    /// Since when it may not be sent new work.
    closed: Option<Micros>,
    was_ready: bool,
    position: Option<Micros>,
    /// It has been primary, and no answer has said since that it is none.
    primary: bool,
}

struct Checker {
    set: Settings,
    router: Router,
    now: Micros,
    asked: BTreeMap<u64, Asked>,
    told: BTreeMap<u32, Told>,
    written: BTreeMap<SessionId, Micros>,
    timers: Vec<Micros>,
    log: Vec<(Micros, Action)>,
    last: Option<Event>,
}

fn settings_of(bits: u32) -> Settings {
    let mut s = common::settings();
    let bit = |n: u32| bits >> n & 1 == 1;
    s.proxy_count = if bit(0) { 600 } else { bits >> 1 & 1 };
    s.session_positions =
        if bit(2) { SessionPositionSource::FromRequest } else { SessionPositionSource::FromObservedWrites };
    s.stale_reads = if bit(3) { StaleReadPolicy::Rejected } else { StaleReadPolicy::Served };
    s.endpoint_discovery = if bit(4) { EndpointDiscovery::Polled } else { EndpointDiscovery::Pushed };
    s.removal_is_advisory = bit(5);
    s.hedging_allowed = bit(6);
    s.cancellation_allowed = bit(7);
    s.health_checks_allowed = bit(8);
    s.max_retry_after = bit(9).then_some(1_000 * MS);
    s.max_attempts = if bit(10) { 2 } else { 8 };
    let effect = [Idempotency::NotIdempotent, common::keyed(), Idempotency::Idempotent, common::keyed()]
        [(bits >> 11 & 3) as usize];
    s.classes[WRITE as usize].idempotency = effect;
    s.classes.push(common::class(Consistency::Strong, Idempotency::Idempotent));
    s.classes.iter_mut().for_each(|c| c.late_weight_fraction = if bit(13) { 0.5 } else { 0.0 });
    s
}

fn day(bits: u32, seed: u64, steps: &[Step]) -> Vec<(Micros, Action)> {
    let mut c = Checker::new(settings_of(bits), seed);
    c.list(true, 0x2492_4924, 1);
    steps.iter().for_each(|s| c.step(*s));
    c.pass(60_000 * MS);
    assert!(c.asked.values().all(|a| a.over), "a request without a final answer");
    assert_eq!(c.router.open_request_count(), 0);
    c.log
}

#[test]
fn the_rules_hold_under_any_legal_sequence_of_events() {
    let config = Config { cases: 1_500, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = prop::collection::vec(any::<Step>(), 1..120);
    let days = (any::<u32>(), any::<u64>(), steps);
    let kept = runner.run(&days, |(bits, seed, steps)| {
        assert_eq!(day(bits, seed, &steps), day(bits, seed, &steps), "the same events, other actions");
        Ok(())
    });
    if let Err(error) = kept {
        panic!("{error}");
    }
}
