//! One scheduler for work that no client waits for: rows that are read for copying, copies that are written, reads that
//! are compared.
//!
//! It decides which task starts next and how many may start. At which database a task may run is decided by its caller
//! with the routing decisions: clients' requests have precedence there, and a database in slow start gets no tasks. It
//! does no I/O and reads no clock.
//!
//! [`Scheduler::submit`] queues a task, [`Scheduler::start_due`] returns the tasks that start now and their databases,
//! [`Scheduler::finish`] records that one has ended.
//!
//! A budget is a rate over all processes of the fleet, in any span of its window's length. Each process keeps to its
//! quota of it, rounded down, by a divisor that is never less than the number of processes that there may be. A new
//! incarnation does not know what the one before it started, and waits for one window.
//!
//! Invariants, each with the test that holds it (`tests/scheduler.rs`):
//!
//! 1. In no window does a database, nor do all together, get more tasks of a kind than the budget, whatever number of
//!    processes up to the divisor starts tasks, restarts or is suspended in between
//!    (`budgets_hold_over_all_processes_in_every_window`).
//! 2. Of two kinds the more urgent starts first, and of one kind the older task (`urgent_kinds_start_first`).
//! 3. An expired task never starts (`expired_tasks_never_start`).
//! 4. Queued and running tasks are bounded (`queued_and_running_tasks_are_bounded`).
//!
//! [`Micros`] is defined here and not shared: the crate depends on no other subsystem, and a number of microseconds
//! needs no conversion.
//! So is [`DatabaseId`], which the caller converts.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
pub mod faults;
mod ids;
mod scheduler;

pub use budget::{Budget, Quota, TaskBudget};
pub use ids::{DatabaseId, TaskId};
pub use scheduler::{MAX_QUEUED_TASKS, MAX_RUNNING_TASKS, Scheduler, StartedTask, Task, TaskCounts};

/// A span of time, or an instant on the caller's clock, in microseconds.
pub type Micros = i64;

/// What a task does; the most urgent kind first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskKind {
    /// Reads a row in its own group, to be copied.
    RowRead,
    /// Writes a copy of a row to a database of another group.
    CopyWrite,
    /// Reads a row a second time, to be compared with an answer that a client got.
    DualRead,
}

impl TaskKind {
    /// All kinds, the most urgent first.
    pub const ALL: [TaskKind; 3] = [TaskKind::RowRead, TaskKind::CopyWrite, TaskKind::DualRead];

    /// The kind as operators see it, in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskKind::RowRead => "read",
            TaskKind::CopyWrite => "copy",
            TaskKind::DualRead => "shadow",
        }
    }
}
