//! Detection and replication of hot keys: keys that get more reads than their group can serve. They are found from read
//! rates that all processes report to one another, and are copied to databases of other groups.
//!
//! [`HotKeyTracker`] decides which keys are hot, which databases hold their copies, which process refreshes a copy now,
//! and which copies are likely to be recent enough for a read. It counts reads ([`HotKeyTracker::record_read`]),
//! creates this process's report ([`HotKeyTracker::report_if_due`]), receives the reports of other processes
//! ([`HotKeyTracker::receive_report`]) and records how copy holders answered ([`HotKeyTracker::record_answer`]). Module
//! [`copy`] defines what a copy is and when it may serve a read.
//!
//! The crate does no I/O, reads no clock, and knows neither PostgreSQL nor the types of other subsystems. The freshness
//! of a read depends only on [`copy::can_serve`]. Everything else in this crate is a hint about which holder to try.
//!
//! Invariants, each with the tests that check it (`tests/`):
//!
//! 1. A process never reports a rate above the true one, regardless of which other keys are read
//!    (`a_reported_rate_is_never_above_the_true_one`, `keys_read_once_displace_no_counter`).
//! 2. Processes with equal reports derive equal hot sets (`equal_reports_give_equal_sets`).
//! 3. A single origin cannot make a key hot if three or more processes are configured. No number of origins can make
//!    more keys hot than the limit (`false_reports_are_bounded`).
//! 4. A key that became hot stays hot for a minimum time (`sets_do_not_flap`).
//! 5. The holders of a key's copies are outside the key's group and in different groups. Processes with equal endpoint
//!    lists select the same holders (`copies_are_held_by_other_groups`).
//! 6. A copy serves a read only if it has reached the position that the read needs
//!    (`a_copy_serves_only_reads_that_need_no_newer_position`, and the model in `tests/model.rs`).
//! 7. Tables are bounded, and a report is applied completely or not at all (`rejected_reports_change_nothing`,
//!    `kept_reports_are_bounded`, `counters_are_bounded`).
//! 8. Nearly every refresh slot of a key is owned by exactly one of its reporters (`each_refresh_slot_has_one_owner`).
//!
//! `birchreach_peer_reports` encodes, decodes and stores the reports. [`Micros`] is defined here and not shared,
//! because the crate depends on no other subsystem and a number of microseconds needs no conversion.

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

/// A duration, or an instant on the caller's clock, in microseconds. Instants and positions are Unix time.
pub type Micros = i64;

/// A key of a group, identified by its keyed hash. Without the secret nobody can construct two keys with the same hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// The group that the key belongs to.
    pub group: u32,
    /// The hash of the key's bytes, made with the secret that the processes of the fleet share.
    pub hash: u64,
}

/// Mixes the bits of a number so that each input bit affects all output bits (the finalizer of SplitMix64).
pub(crate) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
