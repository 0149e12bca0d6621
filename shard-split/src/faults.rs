//! One-line faults that tests switch on to see that the checkers catch them; compiled for tests alone.

use std::cell::Cell;

/// Each breaks one invariant of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A row that changed since the child's position is held against it.
    IgnoresCommitTime,
    /// A's look need not have reached what the child had.
    IgnoresLaterCommits,
    /// What differs is a flag at once.
    SkipsConfirmation,
    /// The second time may be with other processes.
    IgnoresRestarts,
    /// What differs is dropped as unsure.
    NeverConfirms,
    /// A report counts each time it comes.
    CountsTwice,
    /// Reports of another definition count.
    MixesDefinitions,
    /// Clean is said of what is heard.
    CleanWhileMembersMissing,
    /// Nothing is dropped.
    KeepsEverything,
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

/// For checkers that look from several threads.
pub fn set(fault: Option<Fault>) {
    ON.set(fault);
}

pub(crate) fn is(fault: Fault) -> bool {
    ON.get() == Some(fault)
}
