//! Tasks that wait, tasks that are out, and which starts next.

use crate::budget::{Budget, BudgetUsage};
use crate::{Micros, TaskKind};
use birchreach_fault_injection::fault_injected;
use std::collections::BTreeMap;

/// Tasks that wait at once; one more is dropped.
pub const MAX_WAITING_TASKS: usize = 256;
/// Tasks that are out at once, in all and at one database.
pub const MAX_RUNNING_TASKS: usize = 8;
const MAX_RUNNING_PER_DATABASE: usize = 1;

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub struct Task<T> {
    pub kind: TaskKind,
    /// It is of no use if it starts later.
    pub expires_at: Micros,
    pub payload: T,
}

/// What became of the tasks of a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub started: u64,
    pub finished: u64,
    /// Waited too long, or found too many waiting.
    pub expired: u64,
    pub rejected: u64,
}

pub struct Scheduler<T> {
    usage: BTreeMap<TaskKind, BudgetUsage>,
    waiting: BTreeMap<(TaskKind, u64), Task<T>>,
    /// By number: what is out, and where.
    running: BTreeMap<u64, (TaskKind, u32)>,
    last_task_id: u64,
    /// Tasks that waited too long, until their owner takes them.
    expired: Vec<T>,
    counts: BTreeMap<TaskKind, Counts>,
}

impl<T: Clone> Scheduler<T> {
    /// A kind without a budget never starts.
    pub fn new(budgets: &[(TaskKind, Budget)], now: Micros) -> Scheduler<T> {
        let rights = budgets.iter().map(|(kind, budget)| (*kind, BudgetUsage::new(*budget, now)));
        Scheduler {
            usage: rights.collect(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            last_task_id: 0,
            expired: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Budgets change; a kind whose budget is the same goes on as it is, another one waits a window.
    pub fn set_budgets(&mut self, budgets: &[(TaskKind, Budget)], now: Micros) {
        self.usage.retain(|kind, rights| budgets.iter().any(|b| *b == (*kind, rights.budget())));
        for (kind, budget) in budgets {
            self.usage.entry(*kind).or_insert_with(|| BudgetUsage::new(*budget, now));
        }
        self.waiting.retain(|(kind, _), _| self.usage.contains_key(kind));
    }

    /// False: too many wait.
    pub fn submit(&mut self, task: Task<T>) -> bool {
        if self.waiting.len() >= MAX_WAITING_TASKS && !fault_injected!(AcceptsAllTasks) {
            self.counts.entry(task.kind).or_default().rejected += 1;
            return false;
        }
        self.last_task_id += 1;
        let urgent = if fault_injected!(IgnoresPriority) { TaskKind::RowRead } else { task.kind };
        self.waiting.insert((urgent, self.last_task_id), task);
        true
    }

    /// What may start now: each with its number and the database that it goes to. `place`: where a task may go, if anywhere, by the
    /// decision module; `divisor`: no fewer processes than there may be.
    pub fn start_due(
        &mut self,
        now: Micros,
        divisor: u32,
        mut place: impl FnMut(&T) -> Option<u32>,
    ) -> Vec<(u64, Task<T>, u32)> {
        let late: Vec<(TaskKind, u64)> = self
            .waiting
            .iter()
            .filter(|(_, task)| task.expires_at <= now && !fault_injected!(StartsExpiredTasks))
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            if let Some(task) = self.waiting.remove(&key) {
                self.counts.entry(task.kind).or_default().expired += 1;
                self.expired.push(task.payload);
            }
        }
        let mut started = Vec::new();
        let keys: Vec<(TaskKind, u64)> = self.waiting.keys().copied().collect();
        for key in keys {
            if self.running.len() >= MAX_RUNNING_TASKS {
                break;
            }
            let Some(task) = self.waiting.get(&key) else { continue };
            let Some(rights) = self.usage.get_mut(&task.kind) else { continue };
            let Some(database) = place(&task.payload) else { continue };
            let there = self.running.values().filter(|(_, at)| *at == database).count();
            if there >= MAX_RUNNING_PER_DATABASE || !rights.allows_start(now, database, divisor) {
                continue;
            }
            rights.record_start(now, database);
            if let Some(task) = self.waiting.remove(&key) {
                self.counts.entry(task.kind).or_default().started += 1;
                self.running.insert(key.1, (task.kind, database));
                started.push((key.1, task, database));
            }
        }
        started
    }

    /// Tasks that waited too long, since this was asked last.
    pub fn take_expired(&mut self) -> Vec<T> {
        std::mem::take(&mut self.expired)
    }

    /// A task is over, however it went.
    pub fn finish(&mut self, number: u64) {
        if let Some((kind, _)) = self.running.remove(&number) {
            self.counts.entry(kind).or_default().finished += 1;
        }
    }

    pub fn counts(&self, kind: TaskKind) -> Counts {
        self.counts.get(&kind).copied().unwrap_or_default()
    }

    /// What one process may start of a kind in a window, at one database and at all.
    pub fn quotas(&self, kind: TaskKind, divisor: u32) -> Option<(usize, usize)> {
        self.usage.get(&kind).map(|rights| rights.budget().quotas(divisor))
    }

    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    pub fn running_count(&self) -> usize {
        self.running.len()
    }
}
