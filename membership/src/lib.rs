//! Which proxies of one fleet are there, as one process sees it: decisions without I/O or clock.
//!
//! [`Membership`] is fed datagrams that were opened ([`Membership::heard`]) and the time ([`Membership::step`]); it hands back payloads to be sealed and
//! sent ([`Membership::send`]), what has changed ([`Membership::changes`]) and when to wake it ([`Membership::next_change`]). Who is asked
//! and who is taken for gone is decided by `foca` (SWIM); what a member is, who is tried again after a cut, whether the view is
//! settled and whether this process is blind is decided here.
//!
//! It owns the members, their names, and what was heard of their views. It is never a proof that another process has stopped,
//! and nothing that may exist only once may rest on it; it knows no socket, no key and no type of another crate.
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. Members that hear each other come to one view, after joins, crashes, a cut into halves, a one-way cut, a stop, with seeds
//!    that are gone (`the_view_settles_again`).
//! 2. No member that lives and is heard is removed, at up to 5% of datagrams lost (`nobody_well_is_removed`).
//! 3. What divides by the number of members never makes two halves more than the whole (`halves_never_add_up_to_more`).
//! 4. A restart supersedes, also with a clock that went back; late words of an earlier boot do not bring it back for good
//!    (`a_restart_supersedes`).
//! 5. One that hears nobody says blind, and one that is alone by its options does not (`blind_is_said`).
//! 6. Members, names, and changes that wait are bounded whatever is heard (`what_is_heard_is_bounded`).
//! 7. Two of one name are told apart and told (`twins_are_told`).
//! 8. Of each origin the newest report counts, once, however often and late it comes (`reports_count_once`); nearly all members have
//!    each within an interval (`reports_go_round`).

#![forbid(unsafe_code)]

#[cfg(feature = "mutants")]
pub mod faults;
mod full_exchange;
mod gossip_reports;
mod known_addresses;
mod membership;
mod peer;
mod swim;
mod view;
mod view_state;

pub use full_exchange::{MAX_PART_BYTES, MAX_PARTS};
pub use gossip_reports::{GossipReports, LIFETIME_INTERVALS, MAX_REPORT_BYTES, ReceivedReport};
pub use membership::{Membership, MembershipSettings, PayloadError};
pub use peer::{MAX_NAME_BYTES, Peer};
pub use view::{MembershipChange, View, ViewState};

/// Is this fault switched on? Never outside tests.
macro_rules! faulty {
    ($which:ident) => {{
        #[cfg(feature = "mutants")]
        let on = crate::faults::is(crate::faults::Fault::$which);
        #[cfg(not(feature = "mutants"))]
        let on = false;
        on
    }};
}
pub(crate) use faulty;

/// A span of time, or an instant on the holder's clock, in microseconds.
pub type Micros = i64;

/// The longest payload that a driver must carry.
pub const MAX_PAYLOAD_BYTES: usize = 1_300;
/// Members, and names, that are kept.
pub const MAX_MEMBERS: usize = 4_096;
