//! One process of the simulated fleet, and its traffic.

use birchreach_membership::{Membership, MembershipChange, Micros};

/// What was sent.
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

/// A datagram's payload, and the incarnation that sealed it.
pub(crate) struct Received {
    pub sender: u64,
    pub payload: Vec<u8>,
}

/// A process of the simulated fleet.
pub(crate) struct Process {
    /// None while it is down.
    pub membership: Option<Membership>,
    /// As by SIGSTOP: payloads are received when it resumes.
    pub paused: bool,
    /// Payloads that arrived while it was paused.
    pub waiting: Vec<Received>,
    pub incarnation: u64,
    /// When it is to be woken; other wakes of it have no effect.
    pub wake_at: Micros,
    pub sent: Traffic,
    pub changes: Vec<(Micros, MembershipChange)>,
}

impl Process {
    /// A process that has just started.
    pub(crate) fn new(incarnation: u64, membership: Membership) -> Process {
        Process {
            membership: Some(membership),
            paused: false,
            waiting: vec![],
            incarnation,
            wake_at: Micros::MAX,
            sent: Traffic::default(),
            changes: vec![],
        }
    }
}
