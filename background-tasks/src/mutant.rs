//! One-line faults that tests switch on to see that the checkers catch them; compiled for tests alone.

use std::cell::Cell;

/// Each breaks one invariant of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A part of a budget is rounded up.
    RoundsUp,
    /// A new boot spends at once.
    SpendsAtOnce,
    /// The window begins anew at fixed times.
    FixedWindows,
    /// The oldest first, whatever its kind.
    OldestFirst,
    /// What is late starts all the same.
    StartsTheLate,
    /// Waiting tasks are not counted.
    TakesAll,
}

thread_local! {
    static ON: Cell<Option<Mutant>> = const { Cell::new(None) };
}

/// Runs something with a fault.
pub fn with<T>(mutant: Mutant, run: impl FnOnce() -> T) -> T {
    ON.set(Some(mutant));
    let done = run();
    ON.set(None);
    done
}

pub(crate) fn is(mutant: Mutant) -> bool {
    ON.get() == Some(mutant)
}
