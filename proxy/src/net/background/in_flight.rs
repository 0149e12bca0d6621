//! Tasks in flight: how they start and end.

use super::super::event_loop_context::EventLoopContext;
use super::super::pool::Pool;
use super::task::{BackgroundTask, TaskTarget};
use super::{BackgroundWork, SUSPENDED_MICROS};
use crate::background_query::{BackgroundQueryId, BackgroundQueryResult};
use birchreach::{Micros, ServerId};
use birchreach_background_tasks::{DatabaseId, StartedTask, TaskId};
use tracing::info;

/// A background query whose end is not reported within this time has failed.
const MAX_QUERY_MICROS: Micros = 3_000_000;

/// A task whose statements were sent.
pub(super) struct TaskInFlight {
    task: BackgroundTask,
    started_at: Micros,
}

impl BackgroundWork {
    /// Sends the tasks that the scheduler starts now.
    pub(super) fn start_due_tasks(&mut self, context: &mut EventLoopContext, pool: &mut Pool, divisor: u32) {
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
    pub(super) fn finish_tasks(&mut self, now: Micros, results: Vec<BackgroundQueryResult>) {
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
}
