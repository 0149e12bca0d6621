//! Tests of the scheduler's invariants. Each invariant has a check, and each check must also fail when the fault that
//! breaks its invariant is injected.

use birchreach_background_tasks::faults::{Fault, run_with_fault};
use birchreach_background_tasks::{
    Budget, DatabaseId, Micros, Scheduler, Task, TaskBudget, TaskId, TaskKind,
};
use birchreach_fault_injection::ensure;

const SECOND: Micros = 1_000_000;
const BUDGET: Budget = Budget { database_starts_per_s: 6.5, total_starts_per_s: 11.0, window: 4 * SECOND };
/// The most starts at one database that [`BUDGET`] allows in a window: 6.5 x 4.
const MAX_AT_ONE_DATABASE: usize = 26;
/// The most starts at all databases that [`BUDGET`] allows in a window: 11 x 4.
const MAX_IN_TOTAL: usize = 44;

const MAX_QUEUED: usize = 256;
const MAX_RUNNING: usize = 8;

/// The result of a check. An error describes the violation that the check detected.
type CheckResult = Result<(), String>;

/// Creates a task. The payload identifies the task in a test.
fn task(kind: TaskKind, payload: u32, expires_at: Micros) -> Task<u32> {
    Task { kind, expires_at, payload }
}

/// Gives a kind the budget [`BUDGET`].
fn budget_of(kind: TaskKind) -> TaskBudget {
    TaskBudget { kind, budget: BUDGET }
}

/// Creates a scheduler in which all kinds with a budget are usable at the instant 0.
fn ready_scheduler(budgets: &[TaskBudget]) -> Scheduler<u32> {
    Scheduler::new(budgets, -10 * SECOND)
}

/// Starts the tasks that may start now, and returns their payloads. The payload is also the number of the database.
fn start_tasks(scheduler: &mut Scheduler<u32>, now: Micros) -> Vec<u32> {
    let started = scheduler.start_due(now, 1, |payload| Some(DatabaseId(*payload)));
    started.into_iter().map(|started| started.task.payload).collect()
}

struct Start {
    at: Micros,
    database: DatabaseId,
}

/// The largest numbers of starts in any window.
struct MostStarts {
    at_one_database: usize,
    in_total: usize,
}

/// Returns the largest numbers of starts over all windows that begin with a start.
fn most_starts_in_a_window(starts: &[Start]) -> MostStarts {
    let starts_within = |from: Micros, database: Option<DatabaseId>| {
        let is_counted = |start: &&Start| database.is_none_or(|database| database == start.database);
        let window = from..from + BUDGET.window;
        starts.iter().filter(is_counted).filter(|start| window.contains(&start.at)).count()
    };
    let at_one_database = starts.iter().map(|start| starts_within(start.at, Some(start.database))).max();
    let in_total = starts.iter().map(|start| starts_within(start.at, None)).max();
    MostStarts { at_one_database: at_one_database.unwrap_or(0), in_total: in_total.unwrap_or(0) }
}

/// Returns the starts of `count` processes. Each process submits more tasks than the budget allows, and restarts at
/// random instants.
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

/// Checks that no window has more starts than the budget allows, for any number of processes.
fn check_budgets_over_processes() -> CheckResult {
    for seed in 0..30 {
        // Given a number of processes
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(1..8);
        // When each process submits more tasks than the budget allows
        let starts = starts_of_overloaded_processes(&mut rng, count);
        // Then no window has too many starts, and a single process uses most of the budget
        let MostStarts { at_one_database, in_total } = most_starts_in_a_window(&starts);
        ensure!(
            at_one_database <= MAX_AT_ONE_DATABASE && in_total <= MAX_IN_TOTAL,
            "seed {seed}, {count} processes: {at_one_database} starts at one database, {in_total} in total"
        );
        ensure!(
            count != 1 || (at_one_database >= 15 && in_total >= 40),
            "seed {seed}: too few starts: {at_one_database} at one database, {in_total} in total"
        );
    }
    Ok(())
}

/// Checks that tasks start in order of urgency, and within a kind in order of submission.
fn check_priorities() -> CheckResult {
    // Given tasks of all kinds, each with its index in the order of submission as its payload
    let mut scheduler = ready_scheduler(&TaskKind::ALL.map(budget_of));
    let kinds =
        [TaskKind::DualRead, TaskKind::CopyWrite, TaskKind::RowRead, TaskKind::CopyWrite, TaskKind::RowRead];
    for (payload, kind) in kinds.into_iter().enumerate() {
        scheduler.submit(task(kind, payload as u32, SECOND));
    }
    // When the tasks start, then row reads come first, then copy writes, then dual reads
    let order = start_tasks(&mut scheduler, 0);
    ensure!(order == [2, 4, 1, 3, 0], "tasks started in the order {order:?}");
    Ok(())
}

/// Checks that an expired task does not start.
fn check_expiry() -> CheckResult {
    // Given a task that expires after 1 s and a task that expires after 3 s
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    scheduler.submit(task(TaskKind::CopyWrite, 1, SECOND));
    scheduler.submit(task(TaskKind::CopyWrite, 2, 3 * SECOND));
    // When no database is available, then neither task starts
    let started_without_database = scheduler.start_due(SECOND / 2, 1, |_| None);
    ensure!(started_without_database.is_empty(), "a task started without a database");
    // When a database is available after 2 s, then only the second task starts
    let started = start_tasks(&mut scheduler, 2 * SECOND);
    let expired = scheduler.counts(TaskKind::CopyWrite).expired;
    ensure!(started == [2] && expired == 1, "started: {started:?}, expired: {expired}");
    Ok(())
}

/// Checks that the numbers of queued and of running tasks are bounded.
fn check_bounds() -> CheckResult {
    // Given a budget that does not limit the tasks of this check
    let ample = Budget { database_starts_per_s: 1e6, total_starts_per_s: 1e6, window: SECOND };
    let mut scheduler = ready_scheduler(&[TaskBudget { kind: TaskKind::CopyWrite, budget: ample }]);
    // When 10,000 tasks are submitted, and the scheduler is asked twice for tasks to start
    let mut accepted = 0;
    for payload in 0..10_000 {
        accepted += usize::from(scheduler.submit(task(TaskKind::CopyWrite, payload, SECOND)));
    }
    let started = scheduler.start_due(0, 1, |payload| Some(DatabaseId(*payload))).len();
    let started_later = scheduler.start_due(0, 1, |_| Some(DatabaseId(7))).len();
    // Then both numbers are at their limits, and no further task starts while the first ones run
    let is_queue_bounded = accepted == MAX_QUEUED && scheduler.queued_count() <= MAX_QUEUED;
    let holds = is_queue_bounded && started == MAX_RUNNING && started_later == 0;
    ensure!(holds, "{accepted} accepted, {started} started first, {started_later} started later");
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
fn each_injected_fault_is_detected() {
    let checks: [(Fault, fn() -> CheckResult); 6] = [
        (Fault::RoundsQuotaUp, check_budgets_over_processes),
        (Fault::StartsWithoutDelay, check_budgets_over_processes),
        (Fault::FixedWindows, check_budgets_over_processes),
        (Fault::IgnoresPriority, check_priorities),
        (Fault::StartsExpiredTasks, check_expiry),
        (Fault::AcceptsAllTasks, check_bounds),
    ];
    for (fault, check) in checks {
        // When a fault is injected, then its check detects the fault
        assert!(run_with_fault(fault, check).is_err(), "{fault:?} was not detected");
    }
}

/// Starts the tasks that may start now at this database, and returns their number.
fn start_at_database(scheduler: &mut Scheduler<u32>, now: Micros, database: u32) -> usize {
    scheduler.start_due(now, 1, |_| Some(DatabaseId(database))).len()
}

#[test]
fn an_unchanged_budget_stays_usable() {
    // Given a usable kind
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    // When the same budget is set again
    scheduler.set_budgets(&[budget_of(TaskKind::CopyWrite)], 0);
    // Then a task starts immediately
    scheduler.submit(task(TaskKind::CopyWrite, 1, 20 * SECOND));
    assert_eq!(start_at_database(&mut scheduler, 0, 1), 1);
}

#[test]
fn a_changed_budget_is_usable_after_a_window() {
    // Given a usable kind of which one task has run
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    scheduler.submit(task(TaskKind::CopyWrite, 1, 20 * SECOND));
    assert_eq!(start_at_database(&mut scheduler, 0, 1), 1);
    scheduler.finish(TaskId(1));
    // When a different budget is set
    let changed_budget = Budget { database_starts_per_s: 1.0, ..BUDGET };
    scheduler.set_budgets(&[TaskBudget { kind: TaskKind::CopyWrite, budget: changed_budget }], SECOND);
    // Then a task starts after a window of 4 s and not earlier
    scheduler.submit(task(TaskKind::CopyWrite, 2, 20 * SECOND));
    assert_eq!(start_at_database(&mut scheduler, 4 * SECOND, 1), 0);
    assert_eq!(start_at_database(&mut scheduler, 5 * SECOND, 1), 1);
}

#[test]
fn tasks_of_a_kind_whose_budget_is_removed_never_start() {
    // Given a usable kind
    let mut scheduler = ready_scheduler(&[budget_of(TaskKind::CopyWrite)]);
    // When its budget is removed
    scheduler.set_budgets(&[], 6 * SECOND);
    // Then no task starts
    scheduler.submit(task(TaskKind::CopyWrite, 3, 20 * SECOND));
    assert_eq!(
        start_at_database(&mut scheduler, 19 * SECOND, 2),
        0,
        "a task of a kind without a budget started"
    );
}
