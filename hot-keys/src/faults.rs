//! Faults of this crate that its tests inject, to show that each check finds the fault it is there for.

birchreach_fault_injection::declare_faults! {
    /// A reported rate includes the counter's possible error.
    IncludesCounterError,
    /// A key is counted from its first read on.
    SkipsDoorkeeper,
    /// Between the two thresholds a process decides by its own report.
    TrustsOnlyItself,
    /// One origin's report counts without an upper bound.
    CountsOriginsUnbounded,
    /// A key is dropped as soon as its rate falls.
    SkipsMinimumStay,
    /// Copies may be placed in the key's own group, and twice in one group.
    PlacesCopiesAnywhere,
    /// A copy is served whatever position is needed.
    ServesAnyPosition,
    /// The copy that arrived last is kept, whatever its position.
    KeepsLastWrite,
    /// A copy gets the position that came with its value in place of the one before.
    UsesLaterPosition,
    /// Each reporter of a key takes every refresh slot.
    ClaimsEverySlot,
}
