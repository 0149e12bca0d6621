//! What one process may spend of a budget that all share: its part of each window, counted start by start.

use crate::Micros;
use birchreach_fault_injection::fault_injected;
use std::collections::{BTreeMap, VecDeque};

/// How much of a kind may be started over all processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// At one database, and at all together, in a second.
    pub database_per_s: f64,
    pub all_per_s: f64,
    /// The bound holds in any span of this length.
    pub window: Micros,
}

impl Budget {
    /// What one of so many may start in a window. Rounded down: where it comes to none, nothing starts.
    fn quota(per_s: f64, window: Micros, divisor: u32) -> usize {
        let whole = per_s * window as f64 / 1e6 / f64::from(divisor.max(1));
        if fault_injected!(RoundsQuotaUp) { whole.ceil() as usize } else { whole as usize }
    }

    /// Parts for a database and for all.
    pub fn quotas(&self, divisor: u32) -> (usize, usize) {
        (
            Budget::quota(self.database_per_s, self.window, divisor),
            Budget::quota(self.all_per_s, self.window, divisor),
        )
    }
}

/// Starts within the last window.
pub struct BudgetUsage {
    budget: Budget,
    /// A boot before this one may have spent up to then.
    usable_from: Micros,
    starts: VecDeque<Micros>,
    starts_by_database: BTreeMap<u32, VecDeque<Micros>>,
}

impl BudgetUsage {
    pub fn new(budget: Budget, now: Micros) -> BudgetUsage {
        let from = if fault_injected!(StartsWithoutDelay) { now } else { now + budget.window };
        BudgetUsage {
            budget,
            usable_from: from,
            starts: VecDeque::new(),
            starts_by_database: BTreeMap::new(),
        }
    }

    pub fn budget(&self) -> Budget {
        self.budget
    }

    fn forget_old_starts(&mut self, now: Micros) {
        let window = self.budget.window;
        let old = |at: &Micros| {
            if fault_injected!(FixedWindows) {
                at.div_euclid(window) < now.div_euclid(window)
            } else {
                now - *at > window
            }
        };
        let forget = |starts: &mut VecDeque<Micros>| {
            while starts.front().is_some_and(old) {
                starts.pop_front();
            }
        };
        forget(&mut self.starts);
        self.starts_by_database.values_mut().for_each(forget);
        self.starts_by_database.retain(|_, starts| !starts.is_empty());
    }

    /// May one more start at this database?
    pub fn allows_start(&mut self, now: Micros, database: u32, divisor: u32) -> bool {
        self.forget_old_starts(now);
        let (one, all) = self.budget.quotas(divisor);
        let there = self.starts_by_database.get(&database).map_or(0, VecDeque::len);
        now >= self.usable_from && there < one && self.starts.len() < all
    }

    pub fn record_start(&mut self, now: Micros, database: u32) {
        self.starts.push_back(now);
        self.starts_by_database.entry(database).or_default().push_back(now);
    }
}
