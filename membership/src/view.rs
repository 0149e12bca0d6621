//! The view that a process has of its fleet, and changes of it.

use crate::{Micros, Peer};
use birchreach_fault_injection::fault_injected;
use sha2::{Digest, Sha256};

/// How reliable a process's view is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewState {
    /// It is the only member by its options, and has received from no other.
    Standalone,
    /// It receives from nobody: its view may be of its own partition only.
    Isolated {
        /// When it last received.
        since: Micros,
    },
    /// Members join or leave, or another member has a different view.
    Changing,
    /// Nothing has changed, and no member has had a different view.
    Settled {
        /// Since when.
        since: Micros,
    },
}

impl ViewState {
    /// The state in logs and in the answers to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            ViewState::Standalone => "alone",
            ViewState::Isolated { .. } => "blind",
            ViewState::Changing => "moving",
            ViewState::Settled { .. } => "settled",
        }
    }
}

/// The view of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// How reliable it is.
    pub state: ViewState,
    /// Equal at all processes that see the same incarnations.
    pub digest: u64,
    /// Members in the view, this one included.
    pub member_count: usize,
    /// Members that the options name, this one included.
    pub configured_members: u32,
    /// Names that two members have.
    pub name_conflicts: Vec<String>,
}

impl View {
    /// A quota of the whole fleet is divided by this: the larger of the configured and the seen number of members.
    pub fn quota_divisor(&self) -> u32 {
        let configured = if fault_injected!(DivisorIgnoresOptions) { 0 } else { self.configured_members };
        configured.max(u32::try_from(self.member_count).unwrap_or(u32::MAX)).max(1)
    }
}

/// A change of the membership, or of the view's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member is new, or has restarted.
    Joined(Peer),
    /// A member failed, by its probes from this process and others, or has left.
    Removed(Peer),
    /// Others considered this process failed: it continues under a new epoch.
    EpochRenewed(u64),
    /// Two members have this name.
    NameConflict(String),
    /// No two members have this name any longer.
    NameConflictResolved(String),
    /// The state of the view.
    StateChanged(ViewState),
}

/// The digest of a set of members; their order does not matter.
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
