//! One-line faults that tests switch on to see that the checkers catch them; compiled for tests alone.

use std::cell::Cell;

/// Each breaks one invariant of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A row that changed since the child's position is held against it.
    IgnoresChanges,
    /// A's look need not have reached what the child had.
    IgnoresAhead,
    /// What differs is a flag at once.
    FlagsAtOnce,
    /// The second time may be with other processes.
    ForgetsProcesses,
    /// What differs is dropped as unsure.
    NeverFlags,
    /// A report counts each time it comes.
    CountsTwice,
    /// Reports of another definition count.
    MixesDefinitions,
    /// Clean is said of what is heard.
    CleanWhileCutOff,
    /// Nothing is dropped.
    KeepsAll,
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

/// For checkers that look from several threads.
pub fn set(mutant: Option<Mutant>) {
    ON.set(mutant);
}

pub(crate) fn is(mutant: Mutant) -> bool {
    ON.get() == Some(mutant)
}
