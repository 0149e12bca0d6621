//! Budgets hold over all processes, urgent tasks start first, expired ones never, tables are bounded; and each check
//! finds the fault that breaks what it holds.

use birchreach_background_tasks::faults::{Fault, run_with_fault};
use birchreach_background_tasks::{
    Budget, DatabaseId, Micros, Scheduler, Task, TaskBudget, TaskId, TaskKind,
};
use birchreach_fault_injection::ensure;

const SECOND: Micros = 1_000_000;
const BUDGET: Budget = Budget { database_starts_per_s: 6.5, total_starts_per_s: 11.0, window: 4 * SECOND };
/// The starts at one database that the budget allows in a window: 6.5 x 4.
const MAX_AT_ONE_DATABASE: usize = 26;
/// The starts at all databases that it allows in a window: 11 x 4.
const MAX_IN_ALL: usize = 44;

/// The most tasks that may be queued.
const MAX_QUEUED: usize = 256;
/// The most tasks that may run at the same time.
const MAX_RUNNING: usize = 8;

/// An error says what a check found.
type CheckResult = Result<(), String>;

/// A task of this kind, with a payload that it is known by.
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

/// The largest numbers of starts in any window.
struct MostStarts {
    at_one_database: usize,
    in_all: usize,
}

/// The largest numbers of starts in any window that begins with a start.
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

/// The starts of this many processes, each of which submits more tasks than the budget allows, and restarts now and
/// then.
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

/// No window has more starts than the budget allows, however many processes there are.
fn check_budgets_over_processes() -> CheckResult {
    for seed in 0..30 {
        // Given a number of processes
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(1..8);
        // When each submits more tasks than the budget allows
        let starts = starts_of_overloaded_processes(&mut rng, count);
        // Then no window has too many starts, and a single process has most of those allowed
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

/// Tasks start by the urgency of their kind, and within a kind in the order of submission.
fn check_priorities() -> CheckResult {
    // Given tasks of all kinds, with their places in the order of submission
    let mut scheduler = ready_scheduler(&TaskKind::ALL.map(budget_of));
    let kinds =
        [TaskKind::DualRead, TaskKind::CopyWrite, TaskKind::RowRead, TaskKind::CopyWrite, TaskKind::RowRead];
    for (payload, kind) in kinds.into_iter().enumerate() {
        scheduler.submit(task(kind, payload as u32, SECOND));
    }
    // When they start, then reads of rows come first, then writes of copies, then dual reads
    let order = started_payloads(&mut scheduler, 0);
    ensure!(order == [2, 4, 1, 3, 0], "{order:?}");
    Ok(())
}

/// A task that has expired does not start.
fn check_expiry() -> CheckResult {
    // Given tasks that expire after one second and after three
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    scheduler.submit(task(TaskKind::CopyWrite, 1, SECOND));
    scheduler.submit(task(TaskKind::CopyWrite, 2, 3 * SECOND));
    // When there is no database for them, then neither starts
    let started_nowhere = scheduler.start_due(SECOND / 2, 1, |_| None);
    ensure!(started_nowhere.is_empty(), "a task without a database starts");
    // When there is one after two seconds, then only the second starts
    let started = started_payloads(&mut scheduler, 2 * SECOND);
    let expired = scheduler.counts(TaskKind::CopyWrite).expired;
    ensure!(started == [2] && expired == 1, "{started:?}, {expired} expired");
    Ok(())
}

/// The tables of queued and running tasks are bounded.
fn check_bounds() -> CheckResult {
    // Given a budget that allows any number of tasks
    let ample = Budget { database_starts_per_s: 1e6, total_starts_per_s: 1e6, window: SECOND };
    let mut scheduler = ready_scheduler(&[TaskBudget { kind: TaskKind::CopyWrite, budget: ample }]);
    // When 10,000 are submitted and started twice
    let mut accepted = 0;
    for payload in 0..10_000 {
        accepted += usize::from(scheduler.submit(task(TaskKind::CopyWrite, payload, SECOND)));
    }
    let started = scheduler.start_due(0, 1, |payload| Some(DatabaseId(*payload))).len();
    let further = scheduler.start_due(0, 1, |_| Some(DatabaseId(7))).len();
    // Then some are queued, some run, and none starts while those run
    let is_queue_bounded = accepted == MAX_QUEUED && scheduler.queued_count() <= MAX_QUEUED;
    let holds = is_queue_bounded && started == MAX_RUNNING && further == 0;
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
        // When a fault is injected, then its check finds it
        assert!(run_with_fault(fault, check).is_err(), "{fault:?} was not found");
    }
}

/// The number of tasks that start now, all of which may start at this database.
fn start_count(scheduler: &mut Scheduler<u32>, now: Micros, database: u32) -> usize {
    scheduler.start_due(now, 1, |_| Some(DatabaseId(database))).len()
}

#[test]
fn an_unchanged_budget_goes_on() {
    // Given a kind that is usable
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    // When the same budget is set again
    scheduler.set_budgets(&[budget_of(TaskKind::CopyWrite)], 0);
    // Then a task starts at once
    scheduler.submit(task(TaskKind::CopyWrite, 1, 20 * SECOND));
    assert_eq!(start_count(&mut scheduler, 0, 1), 1);
}

#[test]
fn a_changed_budget_waits_for_a_window() {
    // Given a kind that is usable, one task of which has run
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    scheduler.submit(task(TaskKind::CopyWrite, 1, 20 * SECOND));
    assert_eq!(start_count(&mut scheduler, 0, 1), 1);
    scheduler.finish(TaskId(1));
    // When another budget is set
    let other = Budget { database_starts_per_s: 1.0, ..BUDGET };
    scheduler.set_budgets(&[TaskBudget { kind: TaskKind::CopyWrite, budget: other }], SECOND);
    // Then a task starts after a window of 4 s, and not before
    scheduler.submit(task(TaskKind::CopyWrite, 2, 20 * SECOND));
    assert_eq!(start_count(&mut scheduler, 4 * SECOND, 1), 0);
    assert_eq!(start_count(&mut scheduler, 5 * SECOND, 1), 1);
}

#[test]
fn a_kind_whose_budget_is_removed_never_starts() {
    // Given a kind that is usable
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    // When its budget is removed
    scheduler.set_budgets(&[], 6 * SECOND);
    // Then no task starts
    scheduler.submit(task(TaskKind::CopyWrite, 3, 20 * SECOND));
    assert_eq!(start_count(&mut scheduler, 19 * SECOND, 2), 0, "a kind without a budget never starts");
}
