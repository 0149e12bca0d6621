//! Queues tasks and selects the tasks that start.

use crate::budget::{BudgetUsage, Quota, TaskBudget};
use crate::{DatabaseId, Micros, TaskId, TaskKind};
use birchreach_fault_injection::fault_injected;
use std::collections::BTreeMap;

/// The most tasks that can be queued at a time. A task submitted to a full queue is rejected.
pub const MAX_QUEUED_TASKS: usize = 256;
/// The most tasks that run at a time at all databases together.
pub const MAX_RUNNING_TASKS: usize = 8;
/// The most tasks that run at a time at one database.
const MAX_RUNNING_PER_DATABASE: usize = 1;

/// Background work that is to be done once.
#[derive(Clone, Debug, PartialEq)]
pub struct Task<T> {
    /// Determines the priority and the budget of the task.
    pub kind: TaskKind,
    /// The task does not start at or after this instant, because its result would be useless.
    pub expires_at: Micros,
    /// The caller's description of the work.
    pub payload: T,
}

/// A task that starts now.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedTask<T> {
    /// The id to pass to [`Scheduler::finish`].
    pub id: TaskId,
    /// The task as it was submitted.
    pub task: Task<T>,
    /// The database at which the task runs.
    pub database: DatabaseId,
}

/// Numbers of tasks of one kind since the scheduler was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that have started.
    pub started: u64,
    /// Tasks that have ended, successfully or not.
    pub finished: u64,
    /// Tasks that expired in the queue.
    pub expired: u64,
    /// Tasks that were not queued because the queue was full.
    pub rejected: u64,
}

/// Position of a task in the queue: the most urgent kind first, and the oldest task first within a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    kind: TaskKind,
    id: TaskId,
}

struct RunningTask {
    kind: TaskKind,
    database: DatabaseId,
}

/// Queues tasks and decides which of them start now.
pub struct Scheduler<T> {
    /// The starts of this process, for each kind that has a budget.
    usage: BTreeMap<TaskKind, BudgetUsage>,
    queue: BTreeMap<QueuePosition, Task<T>>,
    running: BTreeMap<TaskId, RunningTask>,
    last_task_id: TaskId,
    /// Payloads of expired tasks, until the caller takes them.
    expired: Vec<T>,
    counts: BTreeMap<TaskKind, TaskCounts>,
}

impl<T> Scheduler<T> {
    /// Creates a scheduler. Tasks of a kind without a budget never start.
    pub fn new(budgets: &[TaskBudget], now: Micros) -> Scheduler<T> {
        let usage = budgets.iter().map(|entry| (entry.kind, BudgetUsage::new(entry.budget, now)));
        Scheduler {
            usage: usage.collect(),
            queue: BTreeMap::new(),
            running: BTreeMap::new(),
            last_task_id: TaskId::default(),
            expired: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Replaces the budgets. Running tasks continue.
    ///
    /// - If the budget of a kind is unchanged, the starts counted so far still count, and tasks of the kind may start
    ///   as before.
    /// - If the budget of a kind is new or has changed, the starts counted so far are discarded. Tasks of the kind may
    ///   not start until one window of the new budget has passed since `now`.
    /// - If a kind no longer has a budget, its queued tasks are dropped.
    pub fn set_budgets(&mut self, budgets: &[TaskBudget], now: Micros) {
        let is_unchanged = |kind: TaskKind, usage: &BudgetUsage| {
            budgets.contains(&TaskBudget { kind, budget: usage.budget() })
        };
        self.usage.retain(|kind, usage| is_unchanged(*kind, usage));
        for TaskBudget { kind, budget } in budgets {
            self.usage.entry(*kind).or_insert_with(|| BudgetUsage::new(*budget, now));
        }
        self.queue.retain(|position, _| self.usage.contains_key(&position.kind));
    }

    /// Queues a task. Returns `false` if the queue is full.
    pub fn submit(&mut self, task: Task<T>) -> bool {
        if self.queue.len() >= MAX_QUEUED_TASKS && !fault_injected!(AcceptsAllTasks) {
            self.counts.entry(task.kind).or_default().rejected += 1;
            return false;
        }
        self.last_task_id = self.last_task_id.next();
        let kind = if fault_injected!(IgnoresPriority) { TaskKind::RowRead } else { task.kind };
        self.queue.insert(QueuePosition { kind, id: self.last_task_id }, task);
        true
    }

    /// Starts all tasks that may start now, and returns them. `select_database` returns the database at which a task
    /// may run, or `None` if there is none. `divisor` must be at least the number of processes that share the budgets.
    pub fn start_due(
        &mut self,
        now: Micros,
        divisor: u32,
        mut select_database: impl FnMut(&T) -> Option<DatabaseId>,
    ) -> Vec<StartedTask<T>> {
        self.remove_expired(now);
        let positions: Vec<QueuePosition> = self.queue.keys().copied().collect();
        let mut started = Vec::new();
        for position in positions {
            if self.running.len() >= MAX_RUNNING_TASKS {
                break;
            }
            started.extend(self.try_start(now, divisor, position, &mut select_database));
        }
        started
    }

    /// Starts a task if a database is selected for it, and its budget and the limits allow the start.
    fn try_start(
        &mut self,
        now: Micros,
        divisor: u32,
        position: QueuePosition,
        select_database: &mut impl FnMut(&T) -> Option<DatabaseId>,
    ) -> Option<StartedTask<T>> {
        let task = self.queue.get(&position)?;
        let usage = self.usage.get_mut(&task.kind)?;
        let database = select_database(&task.payload)?;
        let running_at_database =
            self.running.values().filter(|running| running.database == database).count();
        if running_at_database >= MAX_RUNNING_PER_DATABASE || !usage.allows_start(now, database, divisor) {
            return None;
        }
        usage.record_start(now, database);
        let task = self.queue.remove(&position)?;
        self.counts.entry(task.kind).or_default().started += 1;
        self.running.insert(position.id, RunningTask { kind: task.kind, database });
        Some(StartedTask { id: position.id, task, database })
    }

    /// Removes expired tasks from the queue, and keeps their payloads for [`Scheduler::take_expired`].
    fn remove_expired(&mut self, now: Micros) {
        let is_expired = |task: &Task<T>| task.expires_at <= now && !fault_injected!(StartsExpiredTasks);
        for (_, task) in self.queue.extract_if(.., |_, task| is_expired(task)) {
            self.counts.entry(task.kind).or_default().expired += 1;
            self.expired.push(task.payload);
        }
    }

    /// Returns the payloads of the tasks that expired since the last call.
    pub fn take_expired(&mut self) -> Vec<T> {
        std::mem::take(&mut self.expired)
    }

    /// Records that a task has ended, successfully or not. An unknown id is ignored.
    pub fn finish(&mut self, id: TaskId) {
        if let Some(task) = self.running.remove(&id) {
            self.counts.entry(task.kind).or_default().finished += 1;
        }
    }

    /// Returns the numbers of tasks of a kind since the scheduler was created.
    pub fn counts(&self, kind: TaskKind) -> TaskCounts {
        self.counts.get(&kind).copied().unwrap_or_default()
    }

    /// Returns the quota of one process for a kind; `None` for a kind without a budget.
    pub fn quota(&self, kind: TaskKind, divisor: u32) -> Option<Quota> {
        self.usage.get(&kind).map(|usage| usage.budget().quota(divisor))
    }

    /// Returns the number of queued tasks, including expired ones that have not been removed yet.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of tasks that have started and not ended.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }
}
