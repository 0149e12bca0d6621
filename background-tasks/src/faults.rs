//! Faults of this crate that its tests inject, to show that each check finds the fault it is there for.

birchreach_fault_injection::declare_faults! {
    /// A process's quota of a budget is rounded up.
    RoundsQuotaUp,
    /// A new incarnation uses its quota at once.
    StartsWithoutDelay,
    /// Windows begin at fixed times, so that two quotas fit into one span of a window's length.
    FixedWindows,
    /// The oldest task starts first, whatever its kind.
    IgnoresPriority,
    /// Expired tasks are started.
    StartsExpiredTasks,
    /// The queue is unbounded.
    AcceptsAllTasks,
}
