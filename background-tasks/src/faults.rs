//! Faults that the tests inject into this crate to show that their checks detect them.

birchreach_fault_injection::declare_faults! {
    /// The quota of a process is rounded up instead of down.
    RoundsQuotaUp,
    /// A new incarnation uses its quota immediately instead of waiting for a window.
    StartsWithoutDelay,
    /// Windows start at fixed times instead of sliding, so that two quotas fit into a span as long as one window.
    FixedWindows,
    /// The oldest task starts first, regardless of its kind.
    IgnoresPriority,
    /// Expired tasks stay in the queue and can start.
    StartsExpiredTasks,
    /// The length of the queue is not limited.
    AcceptsAllTasks,
}
