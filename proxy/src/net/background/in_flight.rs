//! Starts background tasks, and finishes those that have ended or timed out.

use super::super::event_loop_context::EventLoopContext;
use super::super::pool::Pool;
use super::task::{BackgroundTask, TaskTarget};
use super::{BackgroundWork, SUSPENSION_THRESHOLD_MICROS};
use crate::background_query::{BackgroundQueryId, BackgroundQueryResult};
use birchreach::{Micros, ServerId};
use birchreach_background_tasks::{DatabaseId, StartedTask, TaskId};
use tracing::info;

/// A background query has failed if the pool does not report its end within this time.
const MAX_QUERY_MICROS: Micros = 3_000_000;

/// A task whose statements have been sent.
pub(super) struct TaskInFlight {
    task: BackgroundTask,
    started_at: Micros,
}

impl TaskInFlight {
    /// Returns whether the task has run longer than a background query may take.
    fn is_overdue(&self, now: Micros) -> bool {
        now - self.started_at >= MAX_QUERY_MICROS
    }
}

impl BackgroundWork {
    /// Starts the tasks that the scheduler selects. Starts none shortly after a suspension of the process.
    pub(super) fn start_due_tasks(&mut self, context: &mut EventLoopContext, pool: &mut Pool, divisor: u32) {
        self.pause_after_suspension(context.now);
        if context.now < self.paused_until {
            return;
        }
        let core = &context.core;
        let select_database = |task: &BackgroundTask| {
            let TaskTarget { group, writes } = task.target();
            let server = core.background_candidate(group, writes, task.yields_to_clients())?;
            Some(DatabaseId(server.0))
        };
        for started in self.scheduler.start_due(context.now, divisor, select_database) {
            self.start_task(context, pool, started);
        }
    }

    /// Pauses the start of tasks if the time since the last run shows that the process was suspended.
    fn pause_after_suspension(&mut self, now: Micros) {
        if now - self.last_run_at > SUSPENSION_THRESHOLD_MICROS {
            self.paused_until = now + SUSPENSION_THRESHOLD_MICROS;
        }
        self.last_run_at = now;
    }

    /// Sends the statements of a task to the database that the scheduler selected.
    fn start_task(
        &mut self,
        context: &mut EventLoopContext,
        pool: &mut Pool,
        started: StartedTask<BackgroundTask>,
    ) {
        let StartedTask { id, task, database } = started;
        let statements = task.payload.statements(self.statement_ids.next_id());
        self.in_flight.insert(id, TaskInFlight { task: task.payload, started_at: context.now });
        pool.start_background_query(context, BackgroundQueryId(id.0), ServerId(database.0), statements);
    }

    /// Finishes the tasks with these results, and abandons the overdue tasks.
    pub(super) fn finish_tasks(&mut self, now: Micros, results: Vec<BackgroundQueryResult>) {
        for result in results {
            self.finish_task(now, &result);
        }
        self.abandon_overdue_tasks(now);
    }

    /// Passes the result of a task to its subsystem. Ignores the result of a task that was abandoned before.
    fn finish_task(&mut self, now: Micros, result: &BackgroundQueryResult) {
        match self.remove_task(TaskId(result.id.0)) {
            Some(BackgroundTask::Copy(task)) => self.finish_copy_task(now, task, result),
            Some(BackgroundTask::DualRead(read)) => self.finish_dual_read(now, &read, Some(result)),
            None => {}
        }
    }

    /// Abandons the tasks whose end was not reported in time.
    fn abandon_overdue_tasks(&mut self, now: Micros) {
        let in_flight = self.in_flight.iter();
        let overdue: Vec<TaskId> =
            in_flight.filter(|(_, task)| task.is_overdue(now)).map(|(id, _)| *id).collect();
        for id in overdue {
            if let Some(BackgroundTask::DualRead(read)) = self.remove_task(id) {
                self.finish_dual_read(now, &read, None);
            }
            info!(event = "background-query-failed", number = id.0);
        }
    }

    /// Removes a task that has ended or is abandoned, so that the scheduler may start another task in its place.
    fn remove_task(&mut self, id: TaskId) -> Option<BackgroundTask> {
        self.scheduler.finish(id);
        self.in_flight.remove(&id).map(|task| task.task)
    }
}
