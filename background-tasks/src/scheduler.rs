//! Tasks that wait, tasks that are out, and which starts next.

use crate::rights::{Budget, Rights};
use crate::{Kind, Micros};
use std::collections::BTreeMap;

/// Tasks that wait at once; one more is dropped.
pub const MOST_WAITING: usize = 256;
/// Tasks that are out at once, in all and at one database.
pub const MOST_OUT: usize = 8;
const MOST_AT_ONE: usize = 1;

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub struct Task<T> {
    pub kind: Kind,
    /// It is of no use if it starts later.
    pub drop_at: Micros,
    pub what: T,
}

/// What became of the tasks of a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub started: u64,
    pub ended: u64,
    /// Waited too long, or found too many waiting.
    pub late: u64,
    pub crowded: u64,
}

pub struct Scheduler<T> {
    rights: BTreeMap<Kind, Rights>,
    waiting: BTreeMap<(Kind, u64), Task<T>>,
    /// By number: what is out, and where.
    out: BTreeMap<u64, (Kind, u32)>,
    number: u64,
    /// Tasks that waited too long, until their owner takes them.
    dropped: Vec<T>,
    counts: BTreeMap<Kind, Counts>,
}

impl<T: Clone> Scheduler<T> {
    /// A kind without a budget never starts.
    pub fn new(budgets: &[(Kind, Budget)], now: Micros) -> Scheduler<T> {
        let rights = budgets.iter().map(|(kind, budget)| (*kind, Rights::new(*budget, now)));
        Scheduler {
            rights: rights.collect(),
            waiting: BTreeMap::new(),
            out: BTreeMap::new(),
            number: 0,
            dropped: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Budgets change; a kind whose budget is the same goes on as it is, another one waits a window.
    pub fn budgets(&mut self, budgets: &[(Kind, Budget)], now: Micros) {
        self.rights.retain(|kind, rights| budgets.iter().any(|b| *b == (*kind, rights.budget())));
        for (kind, budget) in budgets {
            self.rights.entry(*kind).or_insert_with(|| Rights::new(*budget, now));
        }
        self.waiting.retain(|(kind, _), _| self.rights.contains_key(kind));
    }

    /// False: too many wait.
    pub fn submit(&mut self, task: Task<T>) -> bool {
        if self.waiting.len() >= MOST_WAITING && !crate::faulty!(TakesAll) {
            self.counts.entry(task.kind).or_default().crowded += 1;
            return false;
        }
        self.number += 1;
        let urgent = if crate::faulty!(OldestFirst) { Kind::Read } else { task.kind };
        self.waiting.insert((urgent, self.number), task);
        true
    }

    /// What may start now: each with its number and the database that it goes to. `place`: where a task may go, if anywhere, by the
    /// decision module; `divisor`: no fewer processes than there may be.
    pub fn start(
        &mut self,
        now: Micros,
        divisor: u32,
        mut place: impl FnMut(&T) -> Option<u32>,
    ) -> Vec<(u64, Task<T>, u32)> {
        let late: Vec<(Kind, u64)> = self
            .waiting
            .iter()
            .filter(|(_, task)| task.drop_at <= now && !crate::faulty!(StartsTheLate))
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            if let Some(task) = self.waiting.remove(&key) {
                self.counts.entry(task.kind).or_default().late += 1;
                self.dropped.push(task.what);
            }
        }
        let mut started = Vec::new();
        let keys: Vec<(Kind, u64)> = self.waiting.keys().copied().collect();
        for key in keys {
            if self.out.len() >= MOST_OUT {
                break;
            }
            let Some(task) = self.waiting.get(&key) else { continue };
            let Some(rights) = self.rights.get_mut(&task.kind) else { continue };
            let Some(database) = place(&task.what) else { continue };
            let there = self.out.values().filter(|(_, at)| *at == database).count();
            if there >= MOST_AT_ONE || !rights.may(now, database, divisor) {
                continue;
            }
            rights.spend(now, database);
            if let Some(task) = self.waiting.remove(&key) {
                self.counts.entry(task.kind).or_default().started += 1;
                self.out.insert(key.1, (task.kind, database));
                started.push((key.1, task, database));
            }
        }
        started
    }

    /// Tasks that waited too long, since this was asked last.
    pub fn dropped(&mut self) -> Vec<T> {
        std::mem::take(&mut self.dropped)
    }

    /// A task is over, however it went.
    pub fn ended(&mut self, number: u64) {
        if let Some((kind, _)) = self.out.remove(&number) {
            self.counts.entry(kind).or_default().ended += 1;
        }
    }

    pub fn counts(&self, kind: Kind) -> Counts {
        self.counts.get(&kind).copied().unwrap_or_default()
    }

    /// What one process may start of a kind in a window, at one database and at all.
    pub fn parts(&self, kind: Kind, divisor: u32) -> Option<(usize, usize)> {
        self.rights.get(&kind).map(|rights| rights.budget().parts(divisor))
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn out(&self) -> usize {
        self.out.len()
    }
}
