//! The membership of one fleet of proxies, as one process sees it: decisions without I/O or clock.
//!
//! [`Membership`] is fed opened datagrams ([`Membership::receive`]) and the time ([`Membership::step`]); it returns payloads to be
//! sealed and sent ([`Membership::next_payload`]), changes ([`Membership::take_changes`]) and when to wake it
//! ([`Membership::next_change`]). Which member is probed and when one counts as failed is decided by `foca` (SWIM); what identifies
//! a member, which addresses are retried after a partition, whether the view is settled and whether this process is partitioned
//! from all others is decided here. [`GossipReports`] spreads small reports of each member to all others.
//!
//! This crate owns the members, their addresses, and what was received of their views. A view never proves that another
//! process has stopped, and nothing that may exist only once may depend on it. It depends on no socket, no key and no type of
//! another crate of this workspace, so [`Micros`] is defined here again.
//!
//! Invariants, each with the test that holds it (`tests/`):
//!
//! 1. Members that receive from each other come to one view, after joins, crashes, a partition into halves, a one-way partition
//!    and a pause, also with seeds that are down (`the_view_settles_again`).
//! 2. No live member that is received from is removed, at up to 5% of datagrams lost (`no_live_member_is_removed`).
//! 3. Quotas divided by the number of members never add up to more than the whole over two partitions
//!    (`quotas_of_partitions_never_exceed_the_whole`).
//! 4. A restarted member replaces its former incarnation, also with a clock that went back; late messages of the former one do
//!    not bring it back for good (`a_restart_replaces_the_former_incarnation`).
//! 5. A member that receives nothing reports itself blind, and one that is alone by its options does not
//!    (`a_partitioned_member_reports_itself_blind`).
//! 6. Members, addresses and pending changes are bounded whatever is received (`what_is_received_is_bounded`).
//! 7. Two members with one name are kept apart and reported (`name_conflicts_are_reported`).
//! 8. Of each origin the newest report counts, once, however often and late it comes (`reports_count_once`); nearly all members
//!    have each within an interval (`reports_reach_nearly_all_members`).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod changes;
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
pub use membership::{Membership, MembershipSettings};
pub use peer::{MAX_NAME_BYTES, Peer};
pub use swim::{OutgoingPayload, PayloadError};
pub use view::{MembershipChange, View, ViewState};

/// A span of time, or an instant on the local clock, in microseconds.
pub type Micros = i64;

/// The longest payload that the transport must carry.
pub const MAX_PAYLOAD_BYTES: usize = 1_300;
/// Members, and addresses, that are kept.
pub const MAX_MEMBERS: usize = 4_096;
