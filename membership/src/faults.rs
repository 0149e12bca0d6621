//! Faults that the tests inject into this crate, to show that each check detects the fault that it guards against.

birchreach_fault_injection::declare_faults! {
    /// Known addresses outside the view are not retried.
    NoAddressRetries,
    /// The process starts no full exchange.
    NoFullExchanges,
    /// A suspected member is removed after 1 ms.
    SuspectsRemovedImmediately,
    /// The quota divisor is the number of members in the view; the configured number is ignored.
    DivisorIgnoresConfiguration,
    /// Each renewal increases the epoch by one; the increment does not double.
    EpochIncrementConstant,
    /// An isolated process does not enter the state `Isolated`.
    IsolationNotDetected,
    /// Two members with the same name are not reported.
    NameConflictsIgnored,
    /// The number of members is not limited.
    NoMemberLimit,
    /// A report that was already received is accepted again.
    DuplicatesAccepted,
}
