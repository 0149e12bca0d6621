//! Background work: copies of hot keys, and reads that are compared while a group splits. It owns the tasks in flight and their
//! timeouts. The subsystems' crates decide what is to be done, the scheduler when, and the router at which database.

mod copy_tasks;
mod dual_reads;
mod start;
mod status;

use super::event_loop_context::EventLoopContext;
use super::pool::Pool;
use crate::background_query::{
    BackgroundQueryId, BackgroundQueryResult, BackgroundStatementId, BackgroundStatementIds,
};
use crate::hot::HotKeyObserver;
use crate::metrics::{Metrics, RejectedReport};
use crate::observe::Shared;
use crate::split::SplitObserver;
use birchreach::{GroupId, Micros, ServerId};
use birchreach_background_tasks::{DatabaseId, Scheduler, StartedTask, TaskId};
use birchreach_hot_keys::ReportHeader;
use birchreach_membership::ReceivedReport;
use copy_tasks::CopyTask;
use dual_reads::{DualRead, SplitGeneration};
use std::collections::HashMap;
use tracing::info;

/// The channel of members' reports on hot keys.
const HOT_KEYS_CHANNEL: u8 = 1;
/// The channel of members' reports on a split.
const SPLIT_CHANNEL: u8 = 2;
/// A background query whose end is not reported within this time has failed.
const MAX_QUERY_MICROS: Micros = 3_000_000;
/// A run that is later than this follows a suspension of the process: runs are at most half of this apart.
const SUSPENDED_MICROS: Micros = 1_500_000;
/// How soon tasks are tried again that wait for capacity or for their budget.
const QUEUE_RETRY_MICROS: Micros = 20_000;
/// The shortest time between two runs.
const MIN_RUN_INTERVAL_MICROS: Micros = 1_000;
/// The time limit that a statement names, in milliseconds.
const STATEMENT_WAIT_MS: u64 = 1_000;

/// A task at one database.
#[derive(Clone, Debug, PartialEq)]
enum BackgroundTask {
    Copy(CopyTask),
    DualRead(DualRead),
}

/// Where a task runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskTarget {
    group: GroupId,
    writes: bool,
}

impl BackgroundTask {
    /// The group whose databases it runs at.
    fn target(&self) -> TaskTarget {
        match self {
            BackgroundTask::Copy(task) => task.target(),
            BackgroundTask::DualRead(read) => read.target(),
        }
    }

    /// Whether it waits while clients use the capacity of a database. The read of a row that is to be copied does not: the copies
    /// take load off the database, and its budget bounds it.
    fn yields_to_clients(&self) -> bool {
        !matches!(self, BackgroundTask::Copy(CopyTask::Read(_)))
    }

    /// Its statements, in order. `id` is the id of those that need one.
    fn statements(&self, id: BackgroundStatementId) -> Vec<Vec<u8>> {
        match self {
            BackgroundTask::Copy(task) => task.statements(id),
            BackgroundTask::DualRead(read) => read.statements(id),
        }
    }
}

/// A task whose statements were sent.
struct TaskInFlight {
    task: BackgroundTask,
    started_at: Micros,
}

/// A report that is to be sent to the other members.
struct OutgoingReport {
    channel: u8,
    payload: Vec<u8>,
}

/// The background subsystems that the options switch on, and their tasks.
pub(super) struct BackgroundWork {
    scheduler: Scheduler<BackgroundTask>,
    in_flight: HashMap<TaskId, TaskInFlight>,
    statement_ids: BackgroundStatementIds,
    hot_keys: Option<Shared<HotKeyObserver>>,
    split: Option<Shared<SplitObserver>>,
    /// The comparison in progress: results of an earlier one are ignored.
    split_generation: SplitGeneration,
    metrics: Metrics,
    /// When the timer that is set expires.
    timer_at: Micros,
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
            metrics: Metrics::new(),
            timer_at: Micros::MAX,
            last_run_at: now,
            paused_until: now,
        }
    }

    /// Takes reports of other members.
    pub(super) fn receive_reports(&mut self, now: Micros, reports: Vec<ReceivedReport>) {
        for report in reports {
            match (report.channel, &self.hot_keys, &self.split) {
                (HOT_KEYS_CHANNEL, Some(observer), _) => {
                    let tracker = &mut observer.borrow_mut().tracker;
                    let ReceivedReport { origin, sequence, age, ref payload, .. } = report;
                    if let Err(error) =
                        tracker.receive_report(now, ReportHeader { origin, sequence, age }, payload)
                    {
                        self.metrics.count_rejected_report(RejectedReport::HotKeys(error));
                    }
                }
                (SPLIT_CHANNEL, _, Some(observer)) => {
                    let verifier = &mut observer.borrow_mut().verifier;
                    let ReceivedReport { origin, sequence, age, ref payload, .. } = report;
                    if let Err(error) =
                        verifier.receive_report(now, ReportHeader { origin, sequence, age }, payload)
                    {
                        self.metrics.count_rejected_report(RejectedReport::Split(error));
                    }
                }
                // This process has that subsystem switched off.
                _ => self.metrics.count_rejected_report(RejectedReport::SubsystemOff),
            }
        }
    }

    /// This process's reports, as far as they are due.
    fn due_reports(&mut self, now: Micros) -> Vec<OutgoingReport> {
        let hot_keys =
            self.hot_keys.as_ref().and_then(|observer| observer.borrow_mut().tracker.report_if_due(now));
        let split =
            self.split.as_ref().and_then(|observer| observer.borrow_mut().verifier.report_if_due(now));
        let hot_keys = hot_keys.map(|payload| OutgoingReport { channel: HOT_KEYS_CHANNEL, payload });
        let split = split.map(|payload| OutgoingReport { channel: SPLIT_CHANNEL, payload });
        hot_keys.into_iter().chain(split).collect()
    }

    /// Sends the tasks that the scheduler starts now.
    fn start_due_tasks(&mut self, context: &mut EventLoopContext, pool: &mut Pool, divisor: u32) {
        if context.now - std::mem::replace(&mut self.last_run_at, context.now) > SUSPENDED_MICROS {
            self.paused_until = context.now + SUSPENDED_MICROS;
        }
        if context.now < self.paused_until {
            return;
        }
        let core = &context.core;
        let place = |task: &BackgroundTask| {
            let TaskTarget { group, writes } = task.target();
            core.background_candidate(group, writes, task.yields_to_clients())
                .map(|ServerId(id)| DatabaseId(id))
        };
        let started = self.scheduler.start_due(context.now, divisor, place);
        for StartedTask { id, task, database } in started {
            let statements = task.payload.statements(self.statement_ids.next_id());
            self.in_flight.insert(id, TaskInFlight { task: task.payload, started_at: context.now });
            pool.start_background_query(context, BackgroundQueryId(id.0), ServerId(database.0), statements);
        }
    }

    /// Takes the results of background queries, and gives up those whose end was not reported in time.
    fn finish_tasks(&mut self, now: Micros, results: Vec<BackgroundQueryResult>) {
        for result in results {
            let id = TaskId(result.id.0);
            self.scheduler.finish(id);
            let Some(finished) = self.in_flight.remove(&id) else { continue };
            match finished.task {
                BackgroundTask::Copy(task) => self.finish_copy_task(now, task, &result),
                BackgroundTask::DualRead(read) => self.finish_dual_read(now, &read, Some(&result)),
            }
        }
        let is_lost = |task: &TaskInFlight| now - task.started_at >= MAX_QUERY_MICROS;
        let lost: Vec<TaskId> =
            self.in_flight.iter().filter(|(_, task)| is_lost(task)).map(|(id, _)| *id).collect();
        for id in lost {
            self.scheduler.finish(id);
            if let Some(BackgroundTask::DualRead(read)) = self.in_flight.remove(&id).map(|lost| lost.task) {
                self.finish_dual_read(now, &read, None);
            }
            info!(event = "background-query-failed", number = id.0);
        }
    }

    /// When the subsystems run next.
    fn next_run_at(&self, now: Micros) -> Micros {
        let hot_keys = self.hot_keys.as_ref().map(|observer| observer.borrow().tracker.next_change(now));
        let split = self.split.as_ref().map(|observer| observer.borrow().verifier.next_change(now));
        let queue = (self.scheduler.queued_count() > 0).then_some(now + QUEUE_RETRY_MICROS);
        let latest = now + SUSPENDED_MICROS / 2;
        let earliest = [hot_keys, split, queue].into_iter().flatten().fold(latest, Micros::min);
        earliest.max(now + MIN_RUN_INTERVAL_MICROS)
    }

    /// Whether no subsystem is switched on.
    fn is_idle(&self) -> bool {
        self.hot_keys.is_none() && self.split.is_none()
    }
}
