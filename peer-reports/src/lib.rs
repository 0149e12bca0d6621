//! Reports that the processes of one fleet send one another at intervals, as a subsystem keeps them.
//!
//! [`PeerReports`] decides when this process's next report is due ([`PeerReports::is_due`]), numbers it
//! ([`PeerReports::record_own`]), and keeps the newest report of each origin ([`PeerReports::record`]) until its lifetime is over
//! ([`PeerReports::remove_expired`]). An origin is one incarnation of a process.
//!
//! What a report contains, when its content is valid and what follows from it is the subsystem's, which implements [`PeerReport`] for it.
//! How reports reach other processes is not known here. The crate does no I/O and reads no clock.
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. Of each origin the report with the highest sequence number counts, once, in whatever order reports arrive
//!    (`the_newest_report_of_an_origin_counts_once`).
//! 2. Reports of a bounded number of origins are kept (`reports_of_too_many_origins_are_not_recorded`).
//! 3. A report that is not renewed expires (`a_report_expires_after_its_lifetime`).
//! 4. This process reports once in each interval (`a_report_is_due_once_in_each_interval`).
//! 5. Bytes are a report only if they can be decoded and the content is valid (`bytes_that_are_no_valid_report_are_malformed`).

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

/// A span of time, or an instant on the caller's clock, in microseconds.
pub type Micros = i64;
