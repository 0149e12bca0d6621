//! Keys that get more reads than their group can serve: found from rates that all processes report to one another, and copied to
//! databases of other groups.
//!
//! [`HotKeyTracker`] decides which keys are hot, which databases hold their copies, which process refreshes a copy now, and which
//! copies are likely to be recent enough for a read. It counts reads ([`HotKeyTracker::record_read`]), makes this process's report
//! ([`HotKeyTracker::report_if_due`]), takes those of others ([`HotKeyTracker::receive_report`]) and learns from answers
//! ([`HotKeyTracker::record_answer`]). Module [`copy`] defines what a copy is and when it may serve a read.
//!
//! The crate does no I/O, reads no clock, and knows neither PostgreSQL nor a type of another subsystem. The freshness of a read rests on
//! [`copy::can_serve`] alone: everything else here is a hint about where to try.
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. A process reports no rate above the true one, whatever other keys are read (`a_reported_rate_is_never_above_the_true_one`,
//!    `keys_read_once_displace_nothing`).
//! 2. Equal reports give equal sets (`equal_reports_give_equal_sets`).
//! 3. One origin alone makes no key hot where three or more processes are configured, and no number of origins makes more keys hot than
//!    the limit (`false_reports_are_bounded`).
//! 4. A key that became hot stays so for a minimum time (`sets_do_not_flap`).
//! 5. Copies are held outside the key's group, no two of them in one group, and by the same databases for equal lists
//!    (`copies_are_held_by_other_groups`).
//! 6. A copy serves a read only if it has the position that the read needs (`copies_prove_their_position`, and the model in
//!    `tests/model.rs`).
//! 7. Tables are bounded, and a report is taken in full or not at all (`malformed_reports_change_nothing`,
//!    `kept_reports_are_bounded_whatever_is_received`, `counters_are_bounded_whatever_is_read`).
//! 8. Nearly every refresh slot of a key is taken by one of its reporters (`each_refresh_slot_has_one_owner`).
//!
//! Reports are encoded, decoded and kept by `birchreach_peer_reports`. [`Micros`] is defined here and not shared: the crate depends on no
//! other subsystem, and a number of microseconds needs no conversion.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod copy;
mod copy_ages;
mod copy_holders;
pub mod faults;
mod refresh;
mod report;
mod reporting;
mod set;
mod settings;
mod sketch;
mod tracker;
mod update;

pub use birchreach_peer_reports::{PeerReport, RecordError, ReportError, ReportHeader};
pub use copy_holders::Database;
pub use refresh::DueRefresh;
pub use report::{MAX_REPORT_ENTRIES, Report, ReportEntry, SECRET_MISMATCH};
pub use reporting::ReportAgreement;
pub use settings::{CopyCost, CopyRequirement, Settings};
pub use sketch::{KeyRate, ReadSketch};
pub use tracker::{CopyCandidate, HotKey, HotKeyTracker, TableSizes};

/// A span of time, or an instant on the caller's clock, in microseconds. Instants are Unix time, as positions are.
pub type Micros = i64;

/// A key of a group, by its keyed hash: without the secret nobody can construct two keys with one hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// The group that the key belongs to.
    pub group: u32,
    /// The keyed hash of the key's bytes.
    pub hash: u64,
}

/// Distributes the bits of a number over all of it (the finalizer of SplitMix64).
pub(crate) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
