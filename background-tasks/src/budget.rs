//! Limits the starts of tasks. All processes share a budget for each kind of task. Each process may use its quota of
//! the budget, counted over a sliding window.

use crate::{DatabaseId, Micros, TaskKind};
use birchreach_fault_injection::fault_injected;
use std::collections::{BTreeMap, VecDeque};

const MICROS_PER_SECOND: f64 = 1e6;

/// The highest rates at which all processes together may start tasks of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Starts per second at one database.
    pub database_starts_per_s: f64,
    /// Starts per second at all databases together.
    pub total_starts_per_s: f64,
    /// Neither rate is exceeded in any span of this length.
    pub window: Micros,
}

/// The budget of one kind of task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskBudget {
    /// The kind of task that the budget limits.
    pub kind: TaskKind,
    /// The budget that all processes share.
    pub budget: Budget,
}

/// The number of tasks of one kind that one process may start in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The maximum number of starts at one database in a window.
    pub per_database: usize,
    /// The maximum number of starts at all databases together in a window.
    pub total: usize,
}

impl Quota {
    /// Returns whether the quota allows no start at all.
    pub fn is_empty(self) -> bool {
        self.per_database == 0 || self.total == 0
    }
}

impl Budget {
    /// Returns the quota of one process when `divisor` processes share the budget. The quota is rounded down, so that
    /// the sum over all processes stays within the budget. It can be zero.
    pub fn quota(&self, divisor: u32) -> Quota {
        Quota {
            per_database: self.starts_in_window(self.database_starts_per_s, divisor),
            total: self.starts_in_window(self.total_starts_per_s, divisor),
        }
    }

    /// Returns the share of a rate that one process may use in a window.
    fn starts_in_window(&self, per_s: f64, divisor: u32) -> usize {
        let starts = per_s * self.window as f64 / MICROS_PER_SECOND / f64::from(divisor.max(1));
        if fault_injected!(RoundsQuotaUp) { starts.ceil() as usize } else { starts as usize }
    }
}

/// The starts of tasks of one kind within the last window.
pub(crate) struct BudgetUsage {
    budget: Budget,
    /// An earlier incarnation may have used the quota until this instant.
    usable_from: Micros,
    /// Instants of the starts, the oldest first.
    starts: VecDeque<Micros>,
    starts_by_database: BTreeMap<DatabaseId, VecDeque<Micros>>,
}

impl BudgetUsage {
    /// Creates a usage without starts. The budget is usable after one window.
    pub(crate) fn new(budget: Budget, now: Micros) -> BudgetUsage {
        let usable_from = if fault_injected!(StartsWithoutDelay) { now } else { now + budget.window };
        BudgetUsage { budget, usable_from, starts: VecDeque::new(), starts_by_database: BTreeMap::new() }
    }

    pub(crate) fn budget(&self) -> Budget {
        self.budget
    }

    /// Returns whether one more task may start at this database now.
    pub(crate) fn allows_start(&mut self, now: Micros, database: DatabaseId, divisor: u32) -> bool {
        self.remove_old_starts(now);
        let quota = self.budget.quota(divisor);
        let at_database = self.starts_by_database.get(&database).map_or(0, VecDeque::len);
        now >= self.usable_from && at_database < quota.per_database && self.starts.len() < quota.total
    }

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
