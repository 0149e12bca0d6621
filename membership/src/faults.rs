//! One-line faults that tests inject to show that the checkers catch them; compiled for tests alone.

use std::cell::Cell;

/// Each breaks one invariant of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Addresses outside the view are not retried.
    NoAddressRetries,
    /// No full exchange is begun.
    NoFullExchanges,
    /// A suspected member is removed almost at once.
    SuspectsRemovedAtOnce,
    /// The divisor is the number of members seen, whatever the options say.
    DivisorIgnoresOptions,
    /// A renewed epoch is greater by one only.
    EpochStepsOfOne,
    /// A partitioned process does not notice it.
    NeverBlind,
    /// Two members with one name are not reported.
    NameConflictsIgnored,
    /// Any number of members is accepted.
    NoMemberLimit,
    /// A report counts each time it is received.
    DuplicatesCounted,
}

thread_local! {
    static INJECTED: Cell<Option<Fault>> = const { Cell::new(None) };
}

/// Runs something with a fault.
pub fn with<T>(fault: Fault, run: impl FnOnce() -> T) -> T {
    INJECTED.set(Some(fault));
    let result = run();
    INJECTED.set(None);
    result
}

pub(crate) fn is(fault: Fault) -> bool {
    INJECTED.get() == Some(fault)
}
