//! The full exchange: all live members that one process knows, in parts for a link, and merging what another sent. It transfers at
//! once what gossip would transfer over time: at a join, after a partition, and while two members' views differ.

use crate::membership::Membership;
use crate::swim::PayloadError;
use crate::{MAX_MEMBERS, Micros};
use birchreach_fault_injection::fault_injected;
use foca::{Codec, Member, PostcardCodec, State};
use std::net::SocketAddr;

/// The longest part, in bytes; a link carries it in one frame.
pub const MAX_PART_BYTES: usize = 48 << 10;
/// Parts that are accepted of one exchange: more than [`MAX_MEMBERS`] need.
pub const MAX_PARTS: usize = 16;
/// An exchange is due once another member's view has differed for this time; gossip removes smaller differences sooner.
const DIFFERENCE_BEFORE_EXCHANGE: Micros = 500_000;
/// A process begins at most one exchange in this time.
const MIN_EXCHANGE_INTERVAL: Micros = 1_000_000;

/// A member whose view differs.
struct DifferingMember {
    address: SocketAddr,
    /// Since when some member's view has differed.
    since: Micros,
}

/// With which member an exchange is due, and when the next is allowed.
#[derive(Default)]
pub(crate) struct ExchangeSchedule {
    differing_member: Option<DifferingMember>,
    next_allowed_at: Micros,
}

impl ExchangeSchedule {
    /// Records that a member's digest was received, and whether it is the same as this process's.
    pub(crate) fn record_digest(&mut self, now: Micros, from: SocketAddr, is_same: bool) {
        match &mut self.differing_member {
            Some(member) if is_same && member.address == from => self.differing_member = None,
            Some(member) if !is_same => member.address = from,
            None if !is_same => self.differing_member = Some(DifferingMember { address: from, since: now }),
            _ => {}
        }
    }

    /// Records the first member of the view: an exchange with it is due at once.
    pub(crate) fn record_first_member(&mut self, now: Micros, address: SocketAddr) {
        let since = now - DIFFERENCE_BEFORE_EXCHANGE;
        self.differing_member = Some(DifferingMember { address, since });
    }

    /// When an exchange is due, unless views become the same before.
    pub(crate) fn next_change(&self) -> Micros {
        let due_at = |member: &DifferingMember| member.since + DIFFERENCE_BEFORE_EXCHANGE;
        self.differing_member.as_ref().map_or(Micros::MAX, |member| due_at(member).max(self.next_allowed_at))
    }

    /// The member with which an exchange is due now; the next is allowed after an interval.
    pub(crate) fn due(&mut self, now: Micros) -> Option<SocketAddr> {
        if now < self.next_change() {
            return None;
        }
        self.next_allowed_at = now + MIN_EXCHANGE_INTERVAL;
        self.differing_member.take().map(|member| member.address)
    }
}

impl Membership {
    /// The member with which a full exchange is due now.
    pub fn due_exchange(&mut self, now: Micros) -> Option<SocketAddr> {
        if self.left || fault_injected!(NoFullExchanges) {
            return None;
        }
        let members = &self.members;
        self.exchange_schedule.due(now).filter(|address| members.contains_key(address))
    }

    /// All live members, this one included, in parts.
    pub fn export_members(&self) -> Vec<Vec<u8>> {
        let mut parts = vec![Vec::new()];
        let own = Member::new(self.identity().clone(), 0, State::Alive);
        let others = self.foca.iter_membership_state().filter(|member| member.state() == State::Alive);
        for member in others.chain([&own]) {
            let mut bytes = Vec::new();
            if PostcardCodec.encode_member(member, &mut bytes).is_err() {
                continue;
            }
            if parts.last().is_some_and(|part: &Vec<u8>| part.len() + bytes.len() > MAX_PART_BYTES) {
                parts.push(Vec::new());
            }
            if let Some(part) = parts.last_mut() {
                part.extend(bytes);
            }
        }
        parts
    }

    /// Merges all members that another member sent, or none of them.
    ///
    /// # Errors
    ///
    /// The reason why the parts are rejected.
    pub fn import_members(&mut self, now: Micros, parts: &[Vec<u8>]) -> Result<(), PayloadError> {
        let mut received = Vec::new();
        for mut part in parts.iter().map(Vec::as_slice) {
            while !part.is_empty() {
                let member: Member<crate::Peer> =
                    PostcardCodec.decode_member(&mut part).map_err(|_| PayloadError::Malformed)?;
                received.push(member);
            }
        }
        let new = received.iter().filter(|member| !self.members.contains_key(&member.id().address)).count();
        if self.foca.iter_membership_state().len() + new > MAX_MEMBERS {
            return Err(PayloadError::TooManyMembers);
        }
        // Only live members are merged: that a member failed travels by gossip, which the member itself can contradict.
        received.retain(|member| member.state() == State::Alive && member.id() != self.identity());
        self.apply_members(now, received)
    }
}
