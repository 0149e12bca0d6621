//! Keys that draw more reads than their group bears: found from rates that all processes tell one another, agreed on as a function of
//! what was told, and copied to databases of other groups. Decisions without I/O or clock.
//!
//! [`Hot`] counts reads ([`Hot::read`]), says what to tell others ([`Hot::say`]) and takes what they tell ([`Hot::hear`]); it says which
//! guests may have a copy of a key that is new enough ([`Hot::guests`]), which copies are to be refreshed now ([`Hot::due`]), and learns
//! what became of either. [`copy`] is what a copy is and when it may answer.
//!
//! It owns rates, the set and what is known of copies. It sends nothing, asks nobody at the time of a read, and knows no socket, no
//! PostgreSQL and no type of another crate. No freshness rests on anything here but [`copy::serves`].
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. What a process reports of a key is never more than the truth, whatever else is asked (`a_report_is_never_more_than_the_truth`,
//!    `floods_move_nothing`).
//! 2. Equal reports make equal sets (`equal_reports_make_equal_sets`).
//! 3. One origin alone makes no key hot where three are named, and any number makes no more than the most (`liars_are_bounded`).
//! 4. A key that became hot stays so for the least stay (`sets_do_not_flap`).
//! 5. Guests are of other groups than home, no two of one group, and the same from equal lists (`guests_are_elsewhere`).
//! 6. A copy answers only for a position that it has (`copies_prove_themselves`, and the model in `tests/model.rs`).
//! 7. Tables are bounded and what is told is taken whole or not at all (`noise_changes_nothing`).
//! 8. A slot of a key is one reporter's, and somebody's (`each_slot_is_one_reporters`).

#![forbid(unsafe_code)]

pub mod copy;
mod copy_ages;
mod copy_holders;
pub mod faults;
mod refresh;
mod reports;
mod set;
mod settings;
mod sketch;
mod tracker;
mod update;

pub use copy_holders::Database;
pub use refresh::DueCopy;
pub use reports::{MAX_REPORT_ENTRIES, Report, ReportEntry, ReportError};
pub use set::{Hotness, derive_hot_set};
pub use settings::{CopyCost, CopyRequirement, Settings};
pub use sketch::ReadSketch;
pub use tracker::{HotKey, HotKeyTracker};

/// A span of time, or an instant on the holder's clock, in microseconds. Instants are counted as Unix time, by which positions are told.
pub type Micros = i64;

/// A key of a group, by its keyed hash: nobody without the secret can make two keys that meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Key {
    pub group: u32,
    pub hash: u64,
}

/// Spreads the bits of a number over all of it.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
