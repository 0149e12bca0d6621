//! Scheduler for background tasks: reading rows to be copied, writing the copies, and dual reads for comparison.
//!
//! The scheduler decides which task starts next and how many tasks may start. The caller decides at which database a
//! task runs, based on the routing decisions: client requests have precedence there, and a database in slow start gets
//! no tasks. The scheduler does no I/O and reads no clock.
//!
//! [`Scheduler::submit`] queues a task, [`Scheduler::start_due`] returns the tasks that start now with their databases,
//! and [`Scheduler::finish`] records that a task has ended.
//!
//! A budget limits the rate of starts over all processes of the fleet, in any span as long as its window. Each process
//! keeps to its quota: the budget divided by a divisor and rounded down. The divisor is never less than the largest
//! possible number of processes. A new incarnation does not know what its predecessor started, and waits for one
//! window.
//!
//! Invariants, each with its test in `tests/scheduler.rs`:
//!
//! 1. In every window the number of tasks of a kind stays within the budget, at each database and in total. This holds
//!    for any number of processes up to the divisor, also when processes restart or are suspended
//!    (`budgets_hold_over_all_processes_in_every_window`).
//! 2. The most urgent kind starts first, and within a kind the oldest task (`urgent_kinds_start_first`).
//! 3. An expired task never starts (`expired_tasks_never_start`).
//! 4. The numbers of queued and of running tasks are bounded (`queued_and_running_tasks_are_bounded`).
//!
//! The crate defines its own [`Micros`], so that it depends on no other subsystem; a number of microseconds needs no
//! conversion. It also defines its own [`DatabaseId`], which the caller converts.

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

/// What a task does. The kinds are in order of urgency, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskKind {
    /// Reads a row from the group that owns it, so that the row can be copied.
    RowRead,
    /// Writes a copy of a row to a database in another group.
    CopyWrite,
    /// Repeats a read, so that the result can be compared with the response that a client got.
    DualRead,
}

impl TaskKind {
    /// All kinds, the most urgent first.
    pub const ALL: [TaskKind; 3] = [TaskKind::RowRead, TaskKind::CopyWrite, TaskKind::DualRead];

    /// Returns the name of the kind in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskKind::RowRead => "read",
            TaskKind::CopyWrite => "copy",
            TaskKind::DualRead => "shadow",
        }
    }
}
