//! A background task: where it runs, and its statements.

use super::copy_tasks::CopyTask;
use super::dual_reads::DualRead;
use crate::background_query::BackgroundStatementId;
use birchreach::GroupId;

/// The time limit that a statement names, in milliseconds.
pub(super) const STATEMENT_TIMEOUT_MS: u64 = 1_000;

/// A task at one database.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum BackgroundTask {
    /// A step of copying a row.
    Copy(CopyTask),
    /// A read of the comparison while a group splits.
    DualRead(DualRead),
}

/// Where a task runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TaskTarget {
    /// The group whose databases it runs at.
    pub group: GroupId,
    /// It runs at the group's primary.
    pub writes: bool,
}

impl BackgroundTask {
    /// Where it runs.
    pub(super) fn target(&self) -> TaskTarget {
        match self {
            BackgroundTask::Copy(task) => task.target(),
            BackgroundTask::DualRead(read) => read.target(),
        }
    }

    /// Whether it waits while clients use the capacity of a database. The read of a row that is to be copied does not: the copies
    /// take load off the database, and its budget bounds it.
    pub(super) fn yields_to_clients(&self) -> bool {
        !matches!(self, BackgroundTask::Copy(CopyTask::Read(_)))
    }

    /// Its statements, in order. `id` is the id of those that need one.
    pub(super) fn statements(&self, id: BackgroundStatementId) -> Vec<Vec<u8>> {
        match self {
            BackgroundTask::Copy(task) => task.statements(id),
            BackgroundTask::DualRead(read) => read.statements(id),
        }
    }
}
