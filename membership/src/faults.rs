//! Faults of this crate that its tests inject, to show that each check finds the fault it is there for.

birchreach_fault_injection::declare_faults! {
    /// Addresses outside the view are not retried.
    NoAddressRetries,
    /// No full exchange is started.
    NoFullExchanges,
    /// A suspected member is removed almost at once.
    SuspectsRemovedAtOnce,
    /// The divisor is the number of members in the view, without regard to the options.
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
