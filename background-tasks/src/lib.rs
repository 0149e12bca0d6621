//! One scheduler for work that no client waits for: copies, their renewal, reads that are compared. Decisions without I/O or clock.
//!
//! [`Scheduler`] takes tasks ([`Scheduler::submit`]), says which may start now and where ([`Scheduler::start`]), and hears that they
//! are over ([`Scheduler::ended`]). Where a task may go is asked of its caller, who asks the decision module: clients' work goes
//! first there, and a cold database is left alone. How much may go is decided here.
//!
//! A budget holds over all processes and in any window: each keeps to its part, rounded down, by a divisor that is never less than the
//! number of processes there may be; and a new boot, which has forgotten what the one before spent, waits a whole window.
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. In no window does a database, nor do all, get more of a kind than the budget, whatever number of processes up to the divisor starts
//!    tasks, restarts or is stopped between (`sums_hold_in_every_window`).
//! 2. Of two kinds that wait the more urgent starts first, and of one kind the older (`the_urgent_go_first`).
//! 3. What has waited too long never starts (`the_late_never_start`).
//! 4. Tasks that wait and tasks that are out are bounded (`tables_are_bounded`).

#![forbid(unsafe_code)]

mod budget;
pub mod faults;
mod scheduler;

pub use budget::Budget;
pub use scheduler::{Counts, Scheduler, Task};

/// A span of time, or an instant on the holder's clock, in microseconds.
pub type Micros = i64;

/// What a task is, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskKind {
    /// A row is read at home, to be copied.
    RowRead,
    /// A copy is written to a guest.
    CopyWrite,
    /// A read that is compared with an answer.
    DualRead,
}

impl TaskKind {
    pub const ALL: [TaskKind; 3] = [TaskKind::RowRead, TaskKind::CopyWrite, TaskKind::DualRead];

    pub fn as_str(self) -> &'static str {
        match self {
            TaskKind::RowRead => "read",
            TaskKind::CopyWrite => "copy",
            TaskKind::DualRead => "shadow",
        }
    }
}
