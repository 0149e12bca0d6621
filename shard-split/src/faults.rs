//! Faults of this crate that its tests inject, to show that each check finds the fault it is there for.

birchreach_fault_injection::declare_faults! {
    /// A row committed after the child's position counts as a difference.
    IgnoresCommitTime,
    /// The parent's sample need not have reached the child's position.
    IgnoresLaterCommits,
    /// A difference is confirmed the first time it is seen.
    SkipsConfirmation,
    /// A difference may be confirmed by other database processes.
    IgnoresRestarts,
    /// Every difference ends as inconclusive.
    NeverConfirms,
    /// A report counts each time it is received.
    CountsReportsTwice,
    /// Reports of another definition count.
    AcceptsOtherDefinitions,
    /// The verdict is clean although nothing is received from some configured members.
    IgnoresUnreachableMembers,
    /// Comparisons and differences are kept without bound.
    SkipsLimits,
}
