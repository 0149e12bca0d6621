//! Faults that the tests of this crate inject. They show that each check detects the violation that it guards against.

birchreach_fault_injection::declare_faults! {
    /// A reported rate includes the counter's maximum error.
    IncludesCounterError,
    /// A key gets a counter at its first read.
    SkipsDoorkeeper,
    /// Between the two thresholds a process considers only its own report.
    CountsOnlyOwnReport,
    /// The rate that one origin reports counts without an upper bound.
    CountsOriginsUnbounded,
    /// A key leaves the hot set as soon as its rate falls.
    SkipsMinimumHotTime,
    /// Copies may be placed in the key's own group, and two copies in the same group.
    PlacesCopiesAnywhere,
    /// A copy serves a read regardless of the position that the read needs.
    ServesAnyPosition,
    /// A holder keeps the copy that arrived last, regardless of its position.
    KeepsLastArrival,
    /// A copy gets the position that came with its value instead of the position that was known before the read.
    UsesLaterPosition,
    /// Each reporter of a key claims every refresh slot.
    ClaimsEverySlot,
}
