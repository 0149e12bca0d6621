//! Membership of a fleet of proxies, as seen by one process. This crate makes decisions and does no I/O; the caller
//! passes in the time.
//!
//! The caller authenticates each received datagram, passes its payload to [`Membership::receive`] and calls
//! [`Membership::step`] when [`Membership::next_change`] is due. It sends the payloads of
//! [`Membership::next_payload`] in authenticated datagrams and handles the changes of [`Membership::take_changes`].
//!
//! `foca` (SWIM) decides which member is probed and when a member counts as failed. This crate decides what
//! identifies a member, which addresses are retried after a partition, whether the view is settled, and whether this
//! process is isolated from all others. [`GossipReports`] distributes small reports of each member to all others.
//!
//! A view does not prove that another process has stopped. Nothing that must exist at most once may depend on it.
//!
//! This crate depends on no socket, no key and no type of the other crates of this workspace. It therefore has its
//! own definition of [`Micros`].
//!
//! Invariants, each with the test that checks it (`tests/`):
//!
//! 1. The views of members that receive from each other converge after joins, crashes, a partition into halves, a
//!    one-way partition and a pause, even while the seeds are down (`views_converge_after_each_fault`).
//! 2. While up to 5% of the datagrams are lost, a live member that others receive from is not removed
//!    (`no_live_member_is_removed`).
//! 3. The quotas of all members, each divided by the number of members, never exceed the fleet's quota in total while
//!    the fleet is partitioned in two (`quotas_of_partitions_never_exceed_the_fleet_quota`).
//! 4. A restarted member replaces its former incarnation, even if its clock went back. Late messages of the former
//!    incarnation do not restore it permanently (`a_restart_replaces_the_former_incarnation`).
//! 5. A member that receives nothing reports that it is isolated. A member that is configured as the only one does
//!    not (`a_partitioned_member_reports_its_isolation`).
//! 6. Members, addresses and pending changes are bounded for any input (`members_and_addresses_are_bounded`).
//! 7. Two members with the same name remain distinct and are reported (`name_conflicts_are_reported`).
//! 8. The newest report of an origin is accepted once, regardless of duplicates and delays
//!    (`the_newest_report_is_accepted_once`). Nearly all members receive each report within a renewal interval
//!    (`reports_reach_nearly_all_members`).

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

/// A duration, or a point in time on the local clock, in microseconds.
pub type Micros = i64;

/// Maximum size of a payload in bytes. The transport must carry payloads of this size.
pub const MAX_PAYLOAD_BYTES: usize = 1_300;
/// Maximum number of members. The same limit applies to configured addresses, and to recorded addresses of members.
pub const MAX_MEMBERS: usize = 4_096;
