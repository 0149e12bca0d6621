//! One-line faults that tests switch on to see that the checkers catch them; compiled for tests alone.

use std::cell::Cell;

/// Each breaks one invariant of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Reports what the counter says, its error too.
    IncludesCounterError,
    /// A key comes into the sketch at its first occurrence.
    SkipsDoorkeeper,
    /// Between the thresholds the own word decides.
    TrustsOnlyItself,
    /// An origin's word counts whole.
    CountsOriginsUnbounded,
    /// No least stay.
    SkipsMinimumStay,
    /// Guests may be of one group, and of home.
    PlacesCopiesAnywhere,
    /// A copy answers for any position.
    ServesAnyPosition,
    /// The later of two copies that arrive stands, whatever its position.
    KeepsLastWrite,
    /// The position that came with the value is the copy's.
    UsesLaterPosition,
    /// Any reporter's slot is every reporter's.
    ClaimsEverySlot,
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
