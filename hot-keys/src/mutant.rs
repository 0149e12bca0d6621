//! One-line faults that tests switch on to see that the checkers catch them; compiled for tests alone.

use std::cell::Cell;

/// Each breaks one invariant of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Reports what the counter says, its error too.
    ReportsTheError,
    /// A key comes into the sketch at its first occurrence.
    NoDoorkeeper,
    /// Between the thresholds the own word decides.
    OwnWordDecides,
    /// An origin's word counts whole.
    WordsCountWhole,
    /// No least stay.
    LeavesAtOnce,
    /// Guests may be of one group, and of home.
    GuestsAnywhere,
    /// A copy answers for any position.
    AnswersForAny,
    /// The later of two copies that arrive stands, whatever its position.
    LastWriteStands,
    /// The position that came with the value is the copy's.
    PositionOfTheAnswer,
    /// Any reporter's slot is every reporter's.
    EverySlot,
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
