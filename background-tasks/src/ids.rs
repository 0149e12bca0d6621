//! Ids of tasks and databases. Each has a type of its own, so that one cannot be used in place of another.

/// The scheduler's number for a task, never used again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// A database, by the number that the caller gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DatabaseId(pub u32);

impl TaskId {
    /// The number of the task after this one.
    pub(crate) fn next(self) -> TaskId {
        TaskId(self.0 + 1)
    }
}
