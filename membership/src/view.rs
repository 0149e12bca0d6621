//! View of the fleet that a process has, and changes of this view.

use crate::{Micros, Peer};
use birchreach_fault_injection::fault_injected;
use sha2::{Digest, Sha256};

/// How reliable a view is: whether messages arrive from other members, and whether the members have the same view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewState {
    /// The process is configured as the only member and has no other member in its view.
    Standalone,
    /// The process has received nothing for 3 s. Its view may be incomplete because of a partition.
    Isolated {
        /// When the process last received a payload, or its start if it has not received any.
        since: Micros,
    },
    /// Members have recently joined or left, or another member recently had a different view.
    Changing,
    /// The view has not changed for 2 s, and no other member has had a different view in this time.
    Settled {
        /// When the view last changed, or last differed from the view of another member.
        since: Micros,
    },
}

impl ViewState {
    /// Returns the name of the state in logs and in answers to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            ViewState::Standalone => "alone",
            ViewState::Isolated { .. } => "blind",
            ViewState::Changing => "moving",
            ViewState::Settled { .. } => "settled",
        }
    }
}

/// The members of the fleet, as seen by one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// How reliable the view is at present.
    pub state: ViewState,
    /// Hash of the members. Processes with the same incarnations in their views have the same digest.
    pub digest: u64,
    /// Number of members in the view, including this process.
    pub member_count: usize,
    /// Configured number of members, including this process.
    pub configured_members: u32,
    /// Names shared by two or more members, in ascending order.
    pub name_conflicts: Vec<String>,
}

impl View {
    /// Returns the number by which a process divides a quota of the fleet to get its own share. It is the larger of
    /// the configured number of members and the number in the view, and at least 1.
    pub fn quota_divisor(&self) -> u32 {
        let configured =
            if fault_injected!(DivisorIgnoresConfiguration) { 0 } else { self.configured_members };
        configured.max(u32::try_from(self.member_count).unwrap_or(u32::MAX)).max(1)
    }
}

/// Change of the membership or of the view's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member joined or restarted.
    Joined(Peer),
    /// A member left, or failed according to the probes of this process or other members.
    Removed(Peer),
    /// Other members considered this process failed. It continues under the epoch given here.
    EpochRenewed(u64),
    /// Two or more members now share this name.
    NameConflict(String),
    /// At most one member has this name now.
    NameConflictResolved(String),
    /// The view entered this state.
    StateChanged(ViewState),
}

/// Computes the digest of a set of members. The order of the members does not matter.
pub(crate) fn digest<'a>(members: impl Iterator<Item = &'a Peer>) -> u64 {
    let mut sorted: Vec<&Peer> = members.collect();
    sorted.sort_unstable();
    let mut hash = Sha256::new();
    for peer in sorted {
        hash.update((peer.name.len() as u64).to_be_bytes());
        hash.update(peer.name.as_bytes());
        hash.update(peer.address.to_string().as_bytes());
        hash.update(peer.incarnation.to_be_bytes());
    }
    hash.finalize().first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes))
}
