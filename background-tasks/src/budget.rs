//! How many tasks of a kind one process may start: its quota of a budget that all processes share, counted over a
//! sliding window.

use crate::{DatabaseId, Micros, TaskKind};
use birchreach_fault_injection::fault_injected;
use std::collections::{BTreeMap, VecDeque};

const MICROS_PER_SECOND: f64 = 1e6;

/// How many tasks of a kind may start over all processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Starts at one database in a second.
    pub database_starts_per_s: f64,
    /// Starts at all databases together in a second.
    pub total_starts_per_s: f64,
    /// Both bounds hold in any span of this length.
    pub window: Micros,
}

/// The budget of one kind of task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskBudget {
    /// The kind.
    pub kind: TaskKind,
    /// Its budget.
    pub budget: Budget,
}

/// How many tasks one process may start in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// At one database.
    pub per_database: usize,
    /// At all databases together.
    pub total: usize,
}

impl Quota {
    /// Whether nothing can ever start.
    pub fn is_empty(self) -> bool {
        self.per_database == 0 || self.total == 0
    }
}

impl Budget {
    /// What one of so many processes may start in a window: rounded down, so that the sum of all stays within the
    /// budget. It may be nothing.
    pub fn quota(&self, divisor: u32) -> Quota {
        Quota {
            per_database: self.starts_in_window(self.database_starts_per_s, divisor),
            total: self.starts_in_window(self.total_starts_per_s, divisor),
        }
    }

    /// The starts in a window that one of so many processes gets of a rate.
    fn starts_in_window(&self, per_s: f64, divisor: u32) -> usize {
        let starts = per_s * self.window as f64 / MICROS_PER_SECOND / f64::from(divisor.max(1));
        if fault_injected!(RoundsQuotaUp) { starts.ceil() as usize } else { starts as usize }
    }
}

/// The starts of one kind within the last window.
pub(crate) struct BudgetUsage {
    budget: Budget,
    /// Until then an earlier incarnation may have used the quota.
    usable_from: Micros,
    /// When tasks were started, the oldest first.
    starts: VecDeque<Micros>,
    starts_by_database: BTreeMap<DatabaseId, VecDeque<Micros>>,
}

impl BudgetUsage {
    /// No starts are known; the budget may be used after a window.
    pub(crate) fn new(budget: Budget, now: Micros) -> BudgetUsage {
        let usable_from = if fault_injected!(StartsWithoutDelay) { now } else { now + budget.window };
        BudgetUsage { budget, usable_from, starts: VecDeque::new(), starts_by_database: BTreeMap::new() }
    }

    /// The budget that is counted against.
    pub(crate) fn budget(&self) -> Budget {
        self.budget
    }

    /// Whether one more task may start at this database now.
    pub(crate) fn allows_start(&mut self, now: Micros, database: DatabaseId, divisor: u32) -> bool {
        self.remove_old_starts(now);
        let quota = self.budget.quota(divisor);
        let at_database = self.starts_by_database.get(&database).map_or(0, VecDeque::len);
        now >= self.usable_from && at_database < quota.per_database && self.starts.len() < quota.total
    }

    /// Counts a task that starts at this database now.
    pub(crate) fn record_start(&mut self, now: Micros, database: DatabaseId) {
        self.starts.push_back(now);
        self.starts_by_database.entry(database).or_default().push_back(now);
    }

    /// Removes starts that are older than the window.
    fn remove_old_starts(&mut self, now: Micros) {
        let window = self.budget.window;
        let is_old = |started_at: &Micros| {
            if fault_injected!(FixedWindows) {
                started_at.div_euclid(window) < now.div_euclid(window)
            } else {
                now - *started_at > window
            }
        };
        let remove_old = |starts: &mut VecDeque<Micros>| {
            while starts.front().is_some_and(is_old) {
                starts.pop_front();
            }
        };
        remove_old(&mut self.starts);
        self.starts_by_database.values_mut().for_each(remove_old);
        self.starts_by_database.retain(|_, starts| !starts.is_empty());
    }
}
