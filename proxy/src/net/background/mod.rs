//! Background work: copies of hot keys, and reads that are compared while a group splits. It owns the tasks in flight and their
//! timeouts. The subsystems' crates decide what is to be done, the scheduler when, and the router at which database.

mod copy_tasks;
mod dual_reads;
mod in_flight;
mod reports;
mod start;
mod status;
mod task;

use crate::background_query::BackgroundStatementIds;
use crate::hot::HotKeyObserver;
use crate::metrics::BackgroundMetrics;
use crate::observe::Shared;
use crate::split::SplitObserver;
use birchreach::Micros;
use birchreach_background_tasks::{Scheduler, TaskId};
use dual_reads::SplitGeneration;
use in_flight::TaskInFlight;
use std::collections::HashMap;
use task::BackgroundTask;

/// A run that is later than this follows a suspension of the process: runs are at most half of this apart.
const SUSPENSION_THRESHOLD_MICROS: Micros = 1_500_000;
/// How soon tasks are tried again that wait for capacity or for their budget.
const QUEUE_RETRY_MICROS: Micros = 20_000;
/// The shortest time between two runs.
const MIN_RUN_INTERVAL_MICROS: Micros = 1_000;

/// The background subsystems that the options switch on, and their tasks.
pub(super) struct BackgroundWork {
    scheduler: Scheduler<BackgroundTask>,
    /// The tasks whose statements were sent.
    in_flight: HashMap<TaskId, TaskInFlight>,
    statement_ids: BackgroundStatementIds,
    hot_keys: Option<Shared<HotKeyObserver>>,
    split: Option<Shared<SplitObserver>>,
    /// The comparison in progress: results of an earlier one are ignored.
    split_generation: SplitGeneration,
    metrics: BackgroundMetrics,
    /// When the timer that is set expires.
    timer_at: Micros,
    /// The last run that could start tasks.
    last_run_at: Micros,
    /// Nothing is started before this time: a process that was suspended has not received the current reports yet.
    paused_until: Micros,
}

impl BackgroundWork {
    /// No subsystem is switched on.
    fn new(incarnation: u64, now: Micros) -> BackgroundWork {
        BackgroundWork {
            scheduler: Scheduler::new(&[], now),
            in_flight: HashMap::new(),
            statement_ids: BackgroundStatementIds::new(incarnation),
            hot_keys: None,
            split: None,
            split_generation: SplitGeneration::default(),
            metrics: BackgroundMetrics::new(),
            timer_at: Micros::MAX,
            last_run_at: now,
            paused_until: now,
        }
    }

    /// When the subsystems run next.
    fn next_run_at(&self, now: Micros) -> Micros {
        let hot_keys = self.hot_keys.as_ref().map(|observer| observer.borrow().tracker.next_change(now));
        let split = self.split.as_ref().map(|observer| observer.borrow().verifier.next_change(now));
        let queue = (self.scheduler.queued_count() > 0).then_some(now + QUEUE_RETRY_MICROS);
        let latest = now + SUSPENSION_THRESHOLD_MICROS / 2;
        let earliest = [hot_keys, split, queue].into_iter().flatten().fold(latest, Micros::min);
        earliest.max(now + MIN_RUN_INTERVAL_MICROS)
    }

    /// Whether no subsystem is switched on.
    fn is_idle(&self) -> bool {
        self.hot_keys.is_none() && self.split.is_none()
    }
}
