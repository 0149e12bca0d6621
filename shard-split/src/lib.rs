//! Reads of a group that is being split, compared with reads of its two children: which reads are compared, what a comparison comes to,
//! what all processes have covered, and the verdict.
//!
//! [`SplitVerifier`] samples the reads that clients were served ([`SplitVerifier::record_read`]), returns the queries that are due
//! ([`SplitVerifier::due_queries`]) and takes their results ([`SplitVerifier::record_result`]). It reports its counters
//! ([`SplitVerifier::report_if_due`]), takes those of other processes ([`SplitVerifier::receive_report`]), and has a verdict for all of
//! them ([`SplitVerifier::status`]). [`judge`] is the rule by which two rows that differ are a fault.
//!
//! The crate does no I/O, reads no clock, and knows neither PostgreSQL nor a type of another subsystem. It never sees a value, only
//! digests of rows.
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. A write, a replication lag, a restart or a failover makes no confirmed difference (`only_faults_are_confirmed`, and the model in
//!    `tests/model.rs`).
//! 2. A difference that persists is confirmed, if its key is read often enough and is not written all the time
//!    (`persistent_faults_are_confirmed`).
//! 3. Counters may be received in any order, twice or not at all (`reports_count_once_in_any_order`), and count under one definition
//!    alone (`reports_of_another_definition_do_not_count`).
//! 4. The verdict is clean only if all ranges were compared lately, by enough processes, and all processes are reachable
//!    (`the_status_is_clean_only_with_full_coverage`).
//! 5. Comparisons, confirmed differences and origins are bounded (`tables_are_bounded`).
//!
//! Reports are encoded, decoded and kept by `birchreach_peer_reports`. [`Micros`] is defined here and not shared: the crate depends on no
//! other subsystem, and a number of microseconds needs no conversion.
//! Groups are plain numbers for the same reason.

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
pub use sample_comparison::{Outcome, ParentSample, PositionSample, RowDigest};
pub use settings::{ComparisonCounts, Settings};
pub use status::{IncompleteReason, VerificationStatus};
pub use verifier::SplitVerifier;

/// A span of time, or an instant on the caller's clock, in microseconds. Instants are Unix time, as positions are.
pub type Micros = i64;
