//! Checks the invariants of the crate's documentation over seeded histories. Failures print the seed, which reproduces
//! them.

#[path = "../common/mod.rs"]
mod common;
mod history;
mod reference_model;

use birchreach_health::{Change, GroupId, Micros, Operation};
use history::{History, STEPS};
use std::collections::HashMap;

/// The number of histories. Their seeds are 0 to this number, exclusive.
const HISTORIES: u64 = 10_000;
/// The maximum number of probes sent to all groups at once.
const TOTAL_BURST: f64 = 8.0;
/// The maximum number of probes sent to one group at once.
const GROUP_BURST: f64 = 3.0;

/// Checks invariants 1, 2, 3 and 5 during each history, and invariants 4 and 7 at its end.
#[test]
fn histories_of_events_keep_the_invariants() {
    let (mut changes, mut withdrawals, mut probes) = (0, 0, 0);
    for seed in 0..HISTORIES {
        // When the history of a seed runs, then the reference model confirms each change and verdict
        let history = History::new(seed).run();
        // And the rates of transitions and probes are bounded
        transitions_are_bounded(&history);
        probes_stay_within_their_budget(&history);
        let is_withdrawal =
            |(_, change): &&(Micros, Change)| matches!(change, Change::Capability { available: false, .. });
        changes += history.changes.len();
        withdrawals += history.changes.iter().filter(is_withdrawal).count();
        probes += history.probes.len();
    }
    println!("{HISTORIES} histories: {changes} changes, {withdrawals} withdrawals, {probes} probes");
    assert!(
        withdrawals > HISTORIES as usize / 2 && probes > 0,
        "the histories contain too few withdrawals or no probes: {withdrawals} withdrawals, {probes} probes"
    );
}

/// The last transition of a capability, and how often the capability was withdrawn until then.
#[derive(Clone, Copy)]
struct Transition {
    at: Micros,
    earlier_withdrawals: u32,
}

/// Checks invariant 4: a capability keeps each state for its minimum time.
fn transitions_are_bounded(history: &History) {
    let settings = &history.settings;
    let mut last: HashMap<(GroupId, bool), Transition> = HashMap::new();
    for &(at, change) in &history.changes {
        let Change::Capability { group, operation, available, .. } = change else { continue };
        let key = (group, operation == Operation::Write);
        let before =
            last.get(&key).copied().unwrap_or(Transition { at: Micros::MIN / 2, earlier_withdrawals: 0 });
        let min_time = if available {
            settings.min_time_unavailable.max(settings.restore_after)
        } else {
            settings.min_time_available
        };
        let is_first = before.earlier_withdrawals == 0 && available;
        assert!(is_first || at - before.at >= min_time, "seed {}: changed too early at {at}", history.seed);
        let earlier_withdrawals = before.earlier_withdrawals + u32::from(!available);
        last.insert(key, Transition { at, earlier_withdrawals });
    }
}

/// Checks invariant 7: the probes to each group and to all groups together stay within their rates and bursts.
fn probes_stay_within_their_budget(history: &History) {
    let Some(settings) = &history.settings.probes else { return assert!(history.probes.is_empty()) };
    let total: Vec<Micros> = history.probes.iter().map(|(at, _)| *at).collect();
    check_rate(history.seed, &total, settings.total_rate_per_s, TOTAL_BURST);
    for group in 0..2 {
        let in_group = |(_, server): &&(Micros, u32)| history.model.servers[server].group == group;
        let times: Vec<Micros> = history.probes.iter().filter(in_group).map(|(at, _)| *at).collect();
        check_rate(history.seed, &times, settings.group_rate_per_s, GROUP_BURST);
    }
}

/// Checks that no interval contains more probes than the burst and the rate allow.
fn check_rate(seed: u64, times: &[Micros], rate_per_s: f64, burst: f64) {
    for (first, from) in times.iter().enumerate() {
        for (further, to) in times[first..].iter().enumerate() {
            let allowed = burst + rate_per_s * (to - from) as f64 / 1e6;
            assert!((further + 1) as f64 <= allowed + 1e-6, "seed {seed}: the probes exceed the budget");
        }
    }
}

/// Checks invariant 8: updates at other times than [`birchreach_health::Monitor::next_change`] change nothing.
#[test]
fn the_verdict_changes_only_at_next_change() {
    for seed in (1..2_000).step_by(2) {
        // Given two histories with the same seed
        let mut on_schedule = History::new(seed);
        let mut with_extra_updates = History::new(seed);
        let mut extra_update_rng = fastrand::Rng::with_seed(!seed);
        for _ in 0..STEPS {
            let span = on_schedule.rng.i64(0..400_000);
            assert_eq!(with_extra_updates.rng.i64(0..400_000), span);
            // When the first is updated only at the times that the monitor requests, and the second more often
            on_schedule.advance(span);
            let mut left = span;
            for _ in 0..extra_update_rng.u8(0..4) {
                let part = extra_update_rng.i64(0..=left);
                with_extra_updates.advance(part);
                with_extra_updates.update();
                left -= part;
            }
            with_extra_updates.advance(left);
            for history in [&mut on_schedule, &mut with_extra_updates] {
                history.random_event();
                history.update();
            }
            // Then both report the same changes and verdicts
            assert_eq!(on_schedule.changes, with_extra_updates.changes, "seed {seed}");
            let reported = |history: &History| {
                let verdict = history.monitor.verdict();
                (verdict.state, verdict.overall, verdict.groups.clone())
            };
            assert_eq!(reported(&on_schedule), reported(&with_extra_updates), "seed {seed}");
        }
    }
}
