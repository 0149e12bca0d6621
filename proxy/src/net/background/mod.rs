//! Background work of two subsystems: copies of hot keys, and the comparison of reads while a group is split. This
//! module owns the tasks in flight and their timeouts. The crates of the subsystems decide which tasks are needed, the
//! scheduler decides when a task starts, and the router selects the database.

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

/// A longer time than this between two runs shows that the process was suspended, because the timer makes runs at most
/// half of this time apart.
const SUSPENSION_THRESHOLD_MICROS: Micros = 1_500_000;
/// The time until the next attempt to start tasks that wait for capacity or for their budget.
const QUEUE_RETRY_MICROS: Micros = 20_000;
/// The minimum time between two runs.
const MIN_RUN_INTERVAL_MICROS: Micros = 1_000;

/// The background subsystems that the options enable, and their tasks.
pub(super) struct BackgroundWork {
    scheduler: Scheduler<BackgroundTask>,
    /// The tasks whose statements have been sent.
    in_flight: HashMap<TaskId, TaskInFlight>,
    statement_ids: BackgroundStatementIds,
    /// `None` while copies of hot keys are disabled.
    hot_keys: Option<Shared<HotKeyObserver>>,
    /// `None` while no comparison is enabled.
    split: Option<Shared<SplitObserver>>,
    /// Identifies the comparison in progress. Results of earlier comparisons are ignored.
    split_generation: SplitGeneration,
    metrics: BackgroundMetrics,
    /// When the timer for the next run is due.
    timer_at: Micros,
    /// The time of the last run that was allowed to start tasks.
    last_run_at: Micros,
    /// No task is started before this time, because a process that was suspended has not yet received the current
    /// reports.
    paused_until: Micros,
}

impl BackgroundWork {
    /// Creates background work without any enabled subsystem.
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

    /// Returns the time of the next run.
    fn next_run_at(&self, now: Micros) -> Micros {
        let hot_keys = self.hot_keys.as_ref().map(|observer| observer.borrow().tracker.next_change(now));
        let split = self.split.as_ref().map(|observer| observer.borrow().verifier.next_change(now));
        let queue = (self.scheduler.queued_count() > 0).then_some(now + QUEUE_RETRY_MICROS);
        let latest = now + SUSPENSION_THRESHOLD_MICROS / 2;
        let earliest = [hot_keys, split, queue].into_iter().flatten().fold(latest, Micros::min);
        earliest.max(now + MIN_RUN_INTERVAL_MICROS)
    }

    /// Returns whether no subsystem is enabled.
    fn is_idle(&self) -> bool {
        self.hot_keys.is_none() && self.split.is_none()
    }
}
