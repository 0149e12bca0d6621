//! Faults that the tests of this crate inject. They show that each check detects the violation that it guards against.

birchreach_fault_injection::declare_faults! {
    /// A row that was committed after the child's position counts as a difference.
    IgnoresCommitTime,
    /// Samples are compared even if the parent's sample has not reached the child's position.
    IgnoresLaterCommits,
    /// A difference is confirmed when it is found for the first time.
    SkipsConfirmation,
    /// A difference may be confirmed although a database was restarted or failed over in between.
    IgnoresRestarts,
    /// A comparison that finds a difference ends as inconclusive.
    NeverConfirms,
    /// A report counts each time that it is received.
    CountsReportsTwice,
    /// Reports of other definitions count.
    AcceptsOtherDefinitions,
    /// The status may be clean although some configured members are unreachable.
    IgnoresUnreachableMembers,
    /// The tables of comparisons and differences have no limit.
    SkipsLimits,
}
