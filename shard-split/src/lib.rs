//! Reads of a group that splits held against reads of its two children: which reads are compared, what a comparison comes to, what is
//! covered by whom, and the verdict. Decisions without I/O or clock.
//!
//! [`Split`] is told of reads that clients were served ([`Split::served`]), says what is to be asked ([`Split::ask`]) and takes what
//! came back ([`Split::told`]); it says what to tell others ([`Split::say`]), takes what they tell ([`Split::hear`]), and has a
//! verdict for all ([`Split::verdict`]). [`judge`] is the rule by which a difference is a fault.
//!
//! It owns comparisons under way, flags, and counters of all origins. It never sees a value, only digests; it asks nobody, and knows no
//! socket, no PostgreSQL and no type of another crate.
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. A write, a lag, a restart or a failover makes no flag (`only_faults_are_flagged`, and the model in `tests/model.rs`).
//! 2. A difference that lasts ends as a flag, if its key is read often enough and at rest now and then (`faults_are_flagged`).
//! 3. Counters join in any order, twice or never (`reports_count_once_in_any_order`), under one definition (`definitions_do_not_mix`).
//! 4. `clean` is said only of all ranges, by enough processes, lately, and by one that hears all (`clean_is_said_of_all`).
//! 5. Comparisons under way, flags and origins are bounded (`tables_are_bounded`).

#![forbid(unsafe_code)]

mod compare;
mod coverage;
mod definition;
pub mod faults;
mod flag;
pub mod judge;
mod verdict;
mod verifier;

pub use compare::{Child, ComparisonQuery, QueryResult};
pub use coverage::{Report, ReportError};
pub use definition::{Definition, RANGES};
pub use flag::{ConfirmedDifference, Counts, DifferenceKind, Settings};
pub use judge::{Outcome, PositionSample, Row};
pub use verdict::{IncompleteReason, Verdict};
pub use verifier::SplitVerifier;

/// A span of time, or an instant on the holder's clock, in microseconds. Instants are counted as Unix time, by which positions are told.
pub type Micros = i64;
