//! A process of the simulated fleet and its traffic.

use birchreach_membership::{Membership, MembershipChange, Micros};

/// Number and total size of sent messages.
#[derive(Clone, Copy, Default)]
pub(crate) struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

impl Traffic {
    pub(crate) fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// A payload received in a datagram.
pub(crate) struct ReceivedPayload {
    /// Incarnation in the datagram's header.
    pub sender: u64,
    pub payload: Vec<u8>,
}

pub(crate) struct Process {
    /// `None` while the process is down.
    pub membership: Option<Membership>,
    /// Whether the process is stopped, as by SIGSTOP. It receives queued payloads when it resumes.
    pub paused: bool,
    /// Payloads that arrived while the process was paused.
    pub queued: Vec<ReceivedPayload>,
    pub incarnation: u64,
    /// Time of the next wake-up. Scheduled wake-ups at other times are ignored.
    pub wake_at: Micros,
    pub sent: Traffic,
    pub changes: Vec<(Micros, MembershipChange)>,
}

impl Process {
    pub(crate) fn new(incarnation: u64, membership: Membership) -> Process {
        Process {
            membership: Some(membership),
            paused: false,
            queued: vec![],
            incarnation,
            wake_at: Micros::MAX,
            sent: Traffic::default(),
            changes: vec![],
        }
    }
}
