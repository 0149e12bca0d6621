//! What a process says of its fleet, and what of that has changed.

use crate::{Micros, Peer};
use sha2::{Digest, Sha256};

/// How it stands with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewState {
    /// It is the only one by its options, and has heard of nobody.
    Alone,
    /// It hears nobody: whatever it says, it says for itself.
    Blind { since: Micros },
    /// Members come or go, or a member that it hears has another view.
    Changing,
    /// Nothing has changed since then, and nobody heard since had another view.
    Settled { since: Micros },
}

impl ViewState {
    pub fn as_str(self) -> &'static str {
        match self {
            ViewState::Alone => "alone",
            ViewState::Blind { .. } => "blind",
            ViewState::Changing => "moving",
            ViewState::Settled { .. } => "settled",
        }
    }
}

/// What one process sees, now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    pub state: ViewState,
    /// The same at all that see the same members of the same boots.
    pub digest: u64,
    /// Members that are there, this one too.
    pub members: usize,
    /// How many the options say there are.
    pub configured_members: u32,
    /// Names of which two processes are there.
    pub name_conflicts: Vec<String>,
}

impl View {
    /// What must hold in the sum over the fleet is divided by this: the larger of named and seen.
    pub fn divisor(&self) -> u32 {
        let named = if crate::faulty!(DividesBySeen) { 0 } else { self.configured_members };
        named.max(u32::try_from(self.members).unwrap_or(u32::MAX)).max(1)
    }
}

/// Something to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member is there; it was not, or was another boot.
    Joined(Peer),
    /// A member was not heard for long enough, by it and by others that it asked, or has said goodbye.
    Removed(Peer),
    /// Others held this process for gone: it goes on under a new epoch.
    EpochRenewed(u64),
    /// Two processes of one name are there; or no more.
    NameConflict(String, bool),
    State(ViewState),
}

/// Order-free over the members, equal for equal sets.
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
    hash.finalize().first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b))
}
