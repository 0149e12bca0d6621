//! Verification of a shard split. While a group is being split, reads of the group (the parent) are compared with reads
//! of its two children. The crate selects the reads to compare, runs the comparisons, tracks the coverage over all
//! processes, and determines the status of the verification.
//!
//! [`SplitVerifier`] samples the reads that clients were served ([`SplitVerifier::record_read`]), returns the queries
//! that are due ([`SplitVerifier::due_queries`]) and records their results ([`SplitVerifier::record_result`]). It
//! reports its counters ([`SplitVerifier::report_if_due`]), receives those of other processes
//! ([`SplitVerifier::receive_report`]), and determines a status for all of them ([`SplitVerifier::status`]). Module
//! [`sample_comparison`] contains the rule that decides whether two different rows prove a fault.
//!
//! The crate does no I/O, reads no clock, and knows neither PostgreSQL nor the types of other subsystems. It receives
//! only digests of rows, never their values.
//!
//! Invariants, each with the tests that check it (`tests/`):
//!
//! 1. Writes, replication lag, restarts and failovers do not cause confirmed differences
//!    (`only_faults_are_confirmed`, and the model in `tests/model.rs`).
//! 2. A persistent difference is confirmed if its key is read often enough and is not written continuously
//!    (`persistent_faults_are_confirmed`).
//! 3. Reports may arrive in any order, twice or not at all (`reports_count_once_in_any_order`). They count only if
//!    their definition is that of this process (`reports_of_another_definition_do_not_count`).
//! 4. The status is clean only if enough processes have compared all ranges within the window, and all processes are
//!    reachable (`the_status_is_clean_only_with_full_coverage`).
//! 5. The tables of comparisons, confirmed differences and origins are bounded (`tables_are_bounded`).
//!
//! `birchreach_peer_reports` encodes, decodes and stores the reports. [`Micros`] is defined here and not shared,
//! because the crate depends on no other subsystem and a number of microseconds needs no conversion. Groups are plain
//! numbers for the same reason.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod compare;
mod coverage;
mod definition;
mod difference;
pub mod faults;
mod query;
mod report;
mod reporting;
pub mod sample_comparison;
mod settings;
mod status;
mod verifier;
mod window;

pub use birchreach_peer_reports::{PeerReport, RecordError, ReportError, ReportHeader};
pub use coverage::RangeCoverage;
pub use definition::{Children, RANGE_COUNT, SplitDefinition};
pub use difference::{ConfirmedDifference, DifferenceCounts, DifferenceKind};
pub use query::{Child, ComparisonQuery, DueQuery, QueryResult};
pub use report::{DEFINITION_MISMATCH, RangeDifferences, Report};
pub use sample_comparison::{ComparisonOutcome, ParentSample, PositionSample, RowDigest};
pub use settings::{ComparisonCounts, Settings};
pub use status::{IncompleteReason, VerificationStatus};
pub use verifier::SplitVerifier;

/// A duration, or an instant on the caller's clock, in microseconds. Instants and positions are Unix time.
pub type Micros = i64;
