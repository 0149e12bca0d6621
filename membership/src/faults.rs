//! One-line faults that tests switch on to see that the checkers catch them; compiled for tests alone.

use std::cell::Cell;

/// Each breaks one invariant of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    NobodyIsTriedAgain,
    NobodyExchanges,
    SuspectsAreGone,
    DividesBySeen,
    StepsOfOne,
    NeverBlind,
    TwinsAreOne,
    TakesAll,
    TakesTwice,
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
