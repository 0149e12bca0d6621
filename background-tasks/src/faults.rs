//! One-line faults that tests switch on to see that the checkers catch them; compiled for tests alone.

use std::cell::Cell;

/// Each breaks one invariant of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A part of a budget is rounded up.
    RoundsQuotaUp,
    /// A new boot spends at once.
    StartsWithoutDelay,
    /// The window begins anew at fixed times.
    FixedWindows,
    /// The oldest first, whatever its kind.
    IgnoresPriority,
    /// What is late starts all the same.
    StartsExpiredTasks,
    /// Waiting tasks are not counted.
    AcceptsAllTasks,
}

thread_local! {
    static ON: Cell<Option<Fault>> = const { Cell::new(None) };
}

/// Runs something with a fault.
pub fn with<T>(fault: Fault, run: impl FnOnce() -> T) -> T {
    ON.set(Some(fault));
    let done = run();
    ON.set(None);
    done
}

pub(crate) fn is(fault: Fault) -> bool {
    ON.get() == Some(fault)
}
