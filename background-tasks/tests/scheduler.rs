//! Budgets hold over all processes, urgent tasks start first, expired ones never, tables are bounded; and each check finds the fault
//! that breaks what it holds.

use birchreach_background_tasks::faults::{Fault, with};
use birchreach_background_tasks::{
    Budget, DatabaseId, Micros, Scheduler, Task, TaskBudget, TaskId, TaskKind,
};
use birchreach_fault_injection::ensure;

const SECOND: Micros = 1_000_000;
const BUDGET: Budget = Budget { database_per_s: 6.5, all_per_s: 11.0, window: 4 * SECOND };
/// The starts at one database that the budget allows in a window: 6.5 x 4.
const MAX_AT_ONE_DATABASE: usize = 26;
/// The starts at all databases that it allows in a window: 11 x 4.
const MAX_IN_ALL: usize = 44;

type CheckResult = Result<(), String>;

fn task(kind: TaskKind, payload: u32, expires_at: Micros) -> Task<u32> {
    Task { kind, expires_at, payload }
}

/// [`BUDGET`] for a kind.
fn budget_of(kind: TaskKind) -> TaskBudget {
    TaskBudget { kind, budget: BUDGET }
}

/// A scheduler whose kinds have been usable for a while.
fn ready_scheduler(budgets: &[TaskBudget]) -> Scheduler<u32> {
    Scheduler::new(budgets, -10 * SECOND)
}

/// The payloads of the tasks that start now, each at the database of the number in its payload.
fn started_payloads(scheduler: &mut Scheduler<u32>, now: Micros) -> Vec<u32> {
    let started = scheduler.start_due(now, 1, |payload| Some(DatabaseId(*payload)));
    started.into_iter().map(|started| started.task.payload).collect()
}

/// The start of a task.
struct Start {
    at: Micros,
    database: DatabaseId,
}

/// The most starts in any window.
struct MostStarts {
    at_one_database: usize,
    in_all: usize,
}

fn most_in_a_window(starts: &[Start]) -> MostStarts {
    let within = |from: Micros, database: Option<DatabaseId>| {
        let is_counted = |start: &&Start| database.is_none_or(|database| database == start.database);
        let window = from..from + BUDGET.window;
        starts.iter().filter(is_counted).filter(|start| window.contains(&start.at)).count()
    };
    let at_one_database = starts.iter().map(|start| within(start.at, Some(start.database))).max();
    let in_all = starts.iter().map(|start| within(start.at, None)).max();
    MostStarts { at_one_database: at_one_database.unwrap_or(0), in_all: in_all.unwrap_or(0) }
}

/// The starts of so many processes, each of which submits more tasks than the budget allows, and restarts now and then.
fn starts_of_overloaded_processes(rng: &mut fastrand::Rng, count: usize) -> Vec<Start> {
    let new_scheduler = |now| Scheduler::<u32>::new(&[budget_of(TaskKind::CopyWrite)], now);
    let mut schedulers: Vec<_> = (0..count).map(|_| new_scheduler(0)).collect();
    let mut starts = Vec::new();
    for now in (0..40 * SECOND).step_by(40_000) {
        for scheduler in &mut schedulers {
            if rng.u8(..) == 0 {
                *scheduler = new_scheduler(now);
            }
            scheduler.submit(task(TaskKind::CopyWrite, rng.u32(..3), now + SECOND));
            for started in scheduler.start_due(now, count as u32, |payload| Some(DatabaseId(*payload))) {
                starts.push(Start { at: now, database: started.database });
                scheduler.finish(started.id);
            }
        }
    }
    starts
}

fn check_budgets_over_processes() -> CheckResult {
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(1..8);
        let starts = starts_of_overloaded_processes(&mut rng, count);
        let MostStarts { at_one_database, in_all } = most_in_a_window(&starts);
        ensure!(
            at_one_database <= MAX_AT_ONE_DATABASE && in_all <= MAX_IN_ALL,
            "seed {seed}, {count} processes: {at_one_database} at one database, {in_all} in all"
        );
        ensure!(
            count != 1 || (at_one_database >= 15 && in_all >= 40),
            "hardly anything starts: {at_one_database}, {in_all}"
        );
    }
    Ok(())
}

fn check_priorities() -> CheckResult {
    let mut scheduler = ready_scheduler(&TaskKind::ALL.map(budget_of));
    let kinds =
        [TaskKind::DualRead, TaskKind::CopyWrite, TaskKind::RowRead, TaskKind::CopyWrite, TaskKind::RowRead];
    for (payload, kind) in kinds.into_iter().enumerate() {
        scheduler.submit(task(kind, payload as u32, SECOND));
    }
    let order = started_payloads(&mut scheduler, 0);
    ensure!(order == [2, 4, 1, 3, 0], "{order:?}");
    Ok(())
}

fn check_expiry() -> CheckResult {
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    scheduler.submit(task(TaskKind::CopyWrite, 1, SECOND));
    scheduler.submit(task(TaskKind::CopyWrite, 2, 3 * SECOND));
    let started_nowhere = scheduler.start_due(SECOND / 2, 1, |_| None);
    ensure!(started_nowhere.is_empty(), "a task without a database starts");
    let started = started_payloads(&mut scheduler, 2 * SECOND);
    let expired = scheduler.counts(TaskKind::CopyWrite).expired;
    ensure!(started == [2] && expired == 1, "{started:?}, {expired} expired");
    Ok(())
}

fn check_bounds() -> CheckResult {
    let ample = Budget { database_per_s: 1e6, all_per_s: 1e6, window: SECOND };
    let mut scheduler = ready_scheduler(&[TaskBudget { kind: TaskKind::CopyWrite, budget: ample }]);
    let accepted =
        (0..10_000).filter(|payload| scheduler.submit(task(TaskKind::CopyWrite, *payload, SECOND))).count();
    let started = scheduler.start_due(0, 1, |payload| Some(DatabaseId(*payload))).len();
    let further = scheduler.start_due(0, 1, |_| Some(DatabaseId(7))).len();
    let holds = accepted == 256 && scheduler.queued_count() <= 256 && started == 8 && further == 0;
    ensure!(holds, "{accepted} accepted, {started} started, then {further}");
    Ok(())
}

#[test]
fn budgets_hold_over_all_processes_in_every_window() {
    check_budgets_over_processes().unwrap();
}

#[test]
fn urgent_kinds_start_first() {
    check_priorities().unwrap();
}

#[test]
fn expired_tasks_never_start() {
    check_expiry().unwrap();
}

#[test]
fn queued_and_running_tasks_are_bounded() {
    check_bounds().unwrap();
}

#[test]
fn each_injected_fault_is_found() {
    let checks: [(Fault, fn() -> CheckResult); 6] = [
        (Fault::RoundsQuotaUp, check_budgets_over_processes),
        (Fault::StartsWithoutDelay, check_budgets_over_processes),
        (Fault::FixedWindows, check_budgets_over_processes),
        (Fault::IgnoresPriority, check_priorities),
        (Fault::StartsExpiredTasks, check_expiry),
        (Fault::AcceptsAllTasks, check_bounds),
    ];
    for (fault, check) in checks {
        assert!(with(fault, check).is_err(), "{fault:?} was not found");
    }
}

#[test]
fn a_changed_budget_waits_for_a_window_and_an_unchanged_one_goes_on() {
    // Given a kind that is usable.
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);

    // When the same budget is set again, it goes on.
    scheduler.set_budgets(&[budget_of(TaskKind::CopyWrite)], 0);
    scheduler.submit(task(TaskKind::CopyWrite, 1, 20 * SECOND));
    assert_eq!(scheduler.start_due(0, 1, |_| Some(DatabaseId(1))).len(), 1);
    scheduler.finish(TaskId(1));

    // When another one is set, it waits for a window.
    let other = Budget { database_per_s: 1.0, ..BUDGET };
    scheduler.set_budgets(&[TaskBudget { kind: TaskKind::CopyWrite, budget: other }], SECOND);
    scheduler.submit(task(TaskKind::CopyWrite, 2, 20 * SECOND));
    assert_eq!(scheduler.start_due(4 * SECOND, 1, |_| Some(DatabaseId(1))).len(), 0);
    assert_eq!(scheduler.start_due(5 * SECOND, 1, |_| Some(DatabaseId(1))).len(), 1);

    // When none is set, nothing starts.
    scheduler.set_budgets(&[], 6 * SECOND);
    scheduler.submit(task(TaskKind::CopyWrite, 3, 20 * SECOND));
    assert_eq!(
        scheduler.start_due(19 * SECOND, 1, |_| Some(DatabaseId(2))).len(),
        0,
        "a kind without a budget never starts"
    );
}
