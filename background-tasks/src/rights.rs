//! What one process may spend of a budget that all share: its part of each window, counted start by start.

use crate::Micros;
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
    fn part(per_s: f64, window: Micros, divisor: u32) -> usize {
        let whole = per_s * window as f64 / 1e6 / f64::from(divisor.max(1));
        if crate::faulty!(RoundsUp) { whole.ceil() as usize } else { whole as usize }
    }

    /// Parts for a database and for all.
    pub fn parts(&self, divisor: u32) -> (usize, usize) {
        (
            Budget::part(self.database_per_s, self.window, divisor),
            Budget::part(self.all_per_s, self.window, divisor),
        )
    }
}

/// Starts within the last window.
pub struct Rights {
    budget: Budget,
    /// A boot before this one may have spent up to then.
    from: Micros,
    all: VecDeque<Micros>,
    by_database: BTreeMap<u32, VecDeque<Micros>>,
}

impl Rights {
    pub fn new(budget: Budget, now: Micros) -> Rights {
        let from = if crate::faulty!(SpendsAtOnce) { now } else { now + budget.window };
        Rights { budget, from, all: VecDeque::new(), by_database: BTreeMap::new() }
    }

    pub fn budget(&self) -> Budget {
        self.budget
    }

    fn forget(&mut self, now: Micros) {
        let window = self.budget.window;
        let old = |at: &Micros| {
            if crate::faulty!(FixedWindows) {
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
        forget(&mut self.all);
        self.by_database.values_mut().for_each(forget);
        self.by_database.retain(|_, starts| !starts.is_empty());
    }

    /// May one more start at this database?
    pub fn may(&mut self, now: Micros, database: u32, divisor: u32) -> bool {
        self.forget(now);
        let (one, all) = self.budget.parts(divisor);
        let there = self.by_database.get(&database).map_or(0, VecDeque::len);
        now >= self.from && there < one && self.all.len() < all
    }

    pub fn spend(&mut self, now: Micros, database: u32) {
        self.all.push_back(now);
        self.by_database.entry(database).or_default().push_back(now);
    }
}
