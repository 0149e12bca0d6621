//! Budgets hold in the sum, the urgent go first, the late never start, tables are bounded; and each check finds its fault.

use birchreach_background_tasks::faults::{Fault, with};
use birchreach_background_tasks::{Budget, Micros, Scheduler, Task, TaskKind};

const S: Micros = 1_000_000;
const BUDGET: Budget = Budget { database_per_s: 6.5, all_per_s: 11.0, window: 4 * S };

fn task(kind: TaskKind, what: u32, drop_at: Micros) -> Task<u32> {
    Task { kind, expires_at: drop_at, payload: what }
}

/// The most starts in any window, at one database and in all.
fn most(starts: &[(Micros, u32)]) -> (usize, usize) {
    let within = |at: Micros, database: Option<u32>| {
        let there = |s: &&(Micros, u32)| database.is_none_or(|d| d == s.1);
        starts.iter().filter(there).filter(|s| (at..at + BUDGET.window).contains(&s.0)).count()
    };
    let one = starts.iter().map(|(at, d)| within(*at, Some(*d))).max().unwrap_or(0);
    (one, starts.iter().map(|(at, _)| within(*at, None)).max().unwrap_or(0))
}

/// As many as the divisor says, each of which wants more than there is, is killed at any time and starts anew, or is stopped between the
/// look and the act.
fn sums_hold() -> Result<(), String> {
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(1..8);
        let mut all: Vec<Scheduler<u32>> =
            (0..count).map(|_| Scheduler::new(&[(TaskKind::CopyWrite, BUDGET)], 0)).collect();
        let mut starts = Vec::new();
        for now in (0..40 * S).step_by(40_000) {
            for one in &mut all {
                if rng.u8(..) == 0 {
                    *one = Scheduler::new(&[(TaskKind::CopyWrite, BUDGET)], now);
                }
                one.submit(task(TaskKind::CopyWrite, rng.u32(..3), now + S));
                for (number, _, database) in one.start_due(now, count as u32, |what| Some(*what)) {
                    starts.push((now, database));
                    one.finish(number);
                }
            }
        }
        let (one, whole) = most(&starts);
        // 6.5 x 4 and 11 x 4.
        if one > 26 || whole > 44 {
            return Err(format!("seed {seed}, {count} processes: {one} at one, {whole} in all"));
        }
        if count == 1 && (one < 15 || whole < 40) {
            return Err(format!("hardly anything starts: {one}, {whole}"));
        }
    }
    Ok(())
}

fn urgent_first() -> Result<(), String> {
    let budgets: Vec<_> = TaskKind::ALL.map(|kind| (kind, BUDGET)).to_vec();
    let mut s = Scheduler::new(&budgets, -10 * S);
    for (n, kind) in
        [TaskKind::DualRead, TaskKind::CopyWrite, TaskKind::RowRead, TaskKind::CopyWrite, TaskKind::RowRead]
            .into_iter()
            .enumerate()
    {
        s.submit(task(kind, n as u32, S));
    }
    let order: Vec<u32> = s.start_due(0, 1, |what| Some(*what)).iter().map(|(_, t, _)| t.payload).collect();
    if order == [2, 4, 1, 3, 0] { Ok(()) } else { Err(format!("{order:?}")) }
}

fn late_never() -> Result<(), String> {
    let mut s = Scheduler::new(&[(TaskKind::CopyWrite, BUDGET)], -10 * S);
    s.submit(task(TaskKind::CopyWrite, 1, S));
    s.submit(task(TaskKind::CopyWrite, 2, 3 * S));
    // No place for any of them, until one is late.
    if !s.start_due(S / 2, 1, |_| None).is_empty() {
        return Err("it starts nowhere".into());
    }
    let started: Vec<u32> =
        s.start_due(2 * S, 1, |what| Some(*what)).iter().map(|(_, t, _)| t.payload).collect();
    let late = s.counts(TaskKind::CopyWrite).expired;
    if started == [2] && late == 1 { Ok(()) } else { Err(format!("{started:?}, {late} late")) }
}

fn bounded() -> Result<(), String> {
    let mut s = Scheduler::new(
        &[(TaskKind::CopyWrite, Budget { database_per_s: 1e6, all_per_s: 1e6, window: S })],
        -10 * S,
    );
    let taken = (0..10_000).filter(|n| s.submit(task(TaskKind::CopyWrite, *n, S))).count();
    let started = s.start_due(0, 1, |what| Some(*what)).len();
    let two = s.start_due(0, 1, |_| Some(7)).len();
    let holds = taken == 256 && s.waiting_count() <= 256 && started == 8 && two == 0;
    if holds { Ok(()) } else { Err(format!("{taken} taken, {started} started, then {two}")) }
}

#[test]
fn sums_hold_in_every_window() {
    sums_hold().unwrap();
}

#[test]
fn the_urgent_go_first() {
    urgent_first().unwrap();
}

#[test]
fn the_late_never_start() {
    late_never().unwrap();
}

#[test]
fn tables_are_bounded() {
    bounded().unwrap();
}

#[test]
fn each_fault_is_caught() {
    type Check = fn() -> Result<(), String>;
    let all: [(Fault, Check); 6] = [
        (Fault::RoundsQuotaUp, sums_hold),
        (Fault::StartsWithoutDelay, sums_hold),
        (Fault::FixedWindows, sums_hold),
        (Fault::IgnoresPriority, urgent_first),
        (Fault::StartsExpiredTasks, late_never),
        (Fault::AcceptsAllTasks, bounded),
    ];
    for (fault, check) in all {
        assert!(with(fault, check).is_err(), "{fault:?} was not caught");
    }
}

#[test]
fn a_changed_budget_waits_a_window_and_the_same_one_goes_on() {
    let mut s = Scheduler::new(&[(TaskKind::CopyWrite, BUDGET)], -10 * S);
    s.set_budgets(&[(TaskKind::CopyWrite, BUDGET)], 0);
    s.submit(task(TaskKind::CopyWrite, 1, 20 * S));
    assert_eq!(s.start_due(0, 1, |_| Some(1)).len(), 1);
    s.finish(1);
    let other = Budget { database_per_s: 1.0, ..BUDGET };
    s.set_budgets(&[(TaskKind::CopyWrite, other)], S);
    s.submit(task(TaskKind::CopyWrite, 2, 20 * S));
    assert_eq!(s.start_due(4 * S, 1, |_| Some(1)).len(), 0);
    assert_eq!(s.start_due(5 * S, 1, |_| Some(1)).len(), 1);
    s.set_budgets(&[], 6 * S);
    s.submit(task(TaskKind::CopyWrite, 3, 20 * S));
    assert_eq!(s.start_due(19 * S, 1, |_| Some(2)).len(), 0, "a kind without a budget never starts");
}
