//! A background task, the databases that it may run on, and its statements.

use super::copy_tasks::CopyTask;
use super::dual_reads::DualRead;
use crate::background_query::BackgroundStatementId;
use birchreach::GroupId;

/// The time limit that a background statement states for its execution, in milliseconds.
pub(super) const STATEMENT_TIMEOUT_MS: u64 = 1_000;

/// A task that runs on one database.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum BackgroundTask {
    /// A step of copying a row.
    Copy(CopyTask),
    /// A read for the comparison while a group is split.
    DualRead(DualRead),
}

/// The databases that a task may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TaskTarget {
    /// The group of these databases.
    pub group: GroupId,
    /// The task writes, so it runs on the primary of the group.
    pub writes: bool,
}

impl BackgroundTask {
    /// Returns the databases that the task may run on.
    pub(super) fn target(&self) -> TaskTarget {
        match self {
            BackgroundTask::Copy(task) => task.target(),
            BackgroundTask::DualRead(read) => read.target(),
        }
    }

    /// Returns whether the task waits while clients use the capacity of a database. The read of a row for copying does
    /// not wait, because its budget limits it and the copies reduce the load of the database.
    pub(super) fn yields_to_clients(&self) -> bool {
        !matches!(self, BackgroundTask::Copy(CopyTask::Read(_)))
    }

    /// Returns the statements of the task in the order of their execution. `id` identifies the statements that need an
    /// id.
    pub(super) fn statements(&self, id: BackgroundStatementId) -> Vec<Vec<u8>> {
        match self {
            BackgroundTask::Copy(task) => task.statements(id),
            BackgroundTask::DualRead(read) => read.statements(id),
        }
    }
}
