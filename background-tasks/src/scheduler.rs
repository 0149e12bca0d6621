//! The queue of tasks, the tasks that run, and which one starts next.

use crate::budget::{BudgetUsage, Quota, TaskBudget};
use crate::{DatabaseId, Micros, TaskId, TaskKind};
use birchreach_fault_injection::fault_injected;
use std::collections::BTreeMap;

/// Tasks that are queued at once; a further one is rejected.
pub const MAX_QUEUED_TASKS: usize = 256;
/// Tasks that run at once, at all databases together.
pub const MAX_RUNNING_TASKS: usize = 8;
/// Tasks that run at once at one database.
const MAX_RUNNING_PER_DATABASE: usize = 1;

/// Work to be done once.
#[derive(Clone, Debug, PartialEq)]
pub struct Task<T> {
    /// What it does, which gives its priority and budget.
    pub kind: TaskKind,
    /// From this instant on its result is useless, and it never starts.
    pub expires_at: Micros,
    /// The caller's own description of it.
    pub payload: T,
}

/// A task that starts now.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedTask<T> {
    /// The scheduler's number for it, by which it is reported as finished.
    pub id: TaskId,
    /// The task.
    pub task: Task<T>,
    /// Where it runs.
    pub database: DatabaseId,
}

/// How the tasks of a kind ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Were started.
    pub started: u64,
    /// Have ended, successfully or not.
    pub finished: u64,
    /// Were queued for too long.
    pub expired: u64,
    /// Were not queued, as the queue was full.
    pub rejected: u64,
}

/// The position of a task in the queue: urgent kinds first, and the oldest first within a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    kind: TaskKind,
    id: TaskId,
}

/// What is kept of a task while it runs.
struct RunningTask {
    kind: TaskKind,
    database: DatabaseId,
}

/// Queues tasks and decides which of them start now.
pub struct Scheduler<T> {
    /// What this process started of each kind that has a budget.
    usage: BTreeMap<TaskKind, BudgetUsage>,
    queue: BTreeMap<QueuePosition, Task<T>>,
    running: BTreeMap<TaskId, RunningTask>,
    last_task_id: TaskId,
    /// Payloads of expired tasks, until the caller takes them.
    expired: Vec<T>,
    counts: BTreeMap<TaskKind, TaskCounts>,
}

impl<T> Scheduler<T> {
    /// A scheduler of these kinds; tasks of a kind without a budget never start.
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

    /// Replaces the budgets. A kind whose budget is unchanged goes on; a kind with a new one waits for a window.
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

    /// Queues a task; false if the queue is full.
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

    /// The tasks that start now. `select_database` returns the database at which a task may run, if any; `divisor` is
    /// no less than the number of processes that share the budgets.
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

    /// Starts a task if its budget and the limits allow it and a database is selected for it.
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
        let running_there = self.running.values().filter(|running| running.database == database).count();
        if running_there >= MAX_RUNNING_PER_DATABASE || !usage.allows_start(now, database, divisor) {
            return None;
        }
        usage.record_start(now, database);
        let task = self.queue.remove(&position)?;
        self.counts.entry(task.kind).or_default().started += 1;
        self.running.insert(position.id, RunningTask { kind: task.kind, database });
        Some(StartedTask { id: position.id, task, database })
    }

    /// Removes expired tasks from the queue; their payloads are kept for the caller.
    fn remove_expired(&mut self, now: Micros) {
        let is_expired = |task: &Task<T>| task.expires_at <= now && !fault_injected!(StartsExpiredTasks);
        for (_, task) in self.queue.extract_if(.., |_, task| is_expired(task)) {
            self.counts.entry(task.kind).or_default().expired += 1;
            self.expired.push(task.payload);
        }
    }

    /// The payloads of tasks that expired since the last call.
    pub fn take_expired(&mut self) -> Vec<T> {
        std::mem::take(&mut self.expired)
    }

    /// Records that a task has ended, successfully or not; an unknown id is ignored.
    pub fn finish(&mut self, id: TaskId) {
        if let Some(task) = self.running.remove(&id) {
            self.counts.entry(task.kind).or_default().finished += 1;
        }
    }

    /// How the tasks of a kind ended since the start.
    pub fn counts(&self, kind: TaskKind) -> TaskCounts {
        self.counts.get(&kind).copied().unwrap_or_default()
    }

    /// What one process may start of a kind in a window; none for a kind without a budget.
    pub fn quota(&self, kind: TaskKind, divisor: u32) -> Option<Quota> {
        self.usage.get(&kind).map(|usage| usage.budget().quota(divisor))
    }

    /// Tasks that are queued.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Tasks that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }
}
