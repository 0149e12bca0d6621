//! Reports that the processes of a fleet send one another at intervals.
//!
//! [`PeerReports`] decides when this process's next report is due ([`PeerReports::is_due`]) and gives it a
//! sequence number ([`PeerReports::record_own`]). It keeps the newest report of each origin
//! ([`PeerReports::record`]) until the report expires ([`PeerReports::remove_expired`]). An origin is one
//! incarnation of a process.
//!
//! The subsystem that uses the reports implements [`PeerReport`]: it defines their content, validates it and
//! acts on it. The caller sends reports to other processes. This crate does no I/O and reads no
//! clock.
//!
//! Invariants, each with the test in `tests/` that checks it:
//!
//! 1. The report with the highest sequence number of each origin counts once, in whatever order reports
//!    arrive (`the_newest_report_of_an_origin_counts_once`).
//! 2. The number of origins whose reports are kept is bounded
//!    (`reports_of_too_many_origins_are_not_recorded`).
//! 3. A report that is not renewed expires (`a_report_expires_after_its_lifetime`).
//! 4. This process reports once in each interval (`a_report_is_due_once_in_each_interval`).
//! 5. Bytes that cannot be decoded, or whose content is invalid, are rejected
//!    (`bytes_that_are_no_valid_report_are_malformed`).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod record_error;
mod report;
mod report_error;
mod reports;

pub use record_error::RecordError;
pub use report::PeerReport;
pub use report_error::{Mismatch, ReportError};
pub use reports::{MAX_ORIGINS, PeerReports, ReceivedReport, ReportHeader};

/// A duration, or an instant on the caller's clock, in microseconds.
pub type Micros = i64;
