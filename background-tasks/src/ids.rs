//! Ids of tasks and databases. Each has its own type, so that one cannot be passed in place of the other.

/// Identifies a task of one scheduler. The scheduler does not reuse the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// Identifies a database by a number that the caller chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DatabaseId(pub u32);

impl TaskId {
    /// Returns the id of the next task.
    pub(crate) fn next(self) -> TaskId {
        TaskId(self.0 + 1)
    }
}
