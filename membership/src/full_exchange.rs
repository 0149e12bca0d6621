//! Full exchange: two processes send each other all live members that they know and merge what they receive.
//!
//! An exchange transfers at once what gossip transfers over many rounds. It runs after a join, after a partition
//! and while the views of two members differ. The members are sent in parts, each of which fits one frame.

use crate::membership::Membership;
use crate::swim::PayloadError;
use crate::{MAX_MEMBERS, Micros};
use birchreach_fault_injection::fault_injected;
use foca::{Codec, Member, PostcardCodec, State};
use std::net::SocketAddr;

/// Maximum size of a part in bytes. A connection between peers carries each part in one frame.
pub const MAX_PART_BYTES: usize = 48 << 10;
/// Maximum number of parts accepted in one exchange. [`MAX_MEMBERS`] members need fewer.
pub const MAX_PARTS: usize = 16;
/// An exchange is due after views have differed for this long. Gossip resolves small differences sooner.
const EXCHANGE_DELAY: Micros = 500_000;
/// Minimum time between two exchanges that this process starts.
const MIN_EXCHANGE_INTERVAL: Micros = 1_000_000;

/// The member whose view most recently differed from the view of this process.
struct DifferingMember {
    address: SocketAddr,
    /// When views began to differ. A later difference with another member does not reset this time.
    since: Micros,
}

/// Decides when the next full exchange is due and with which member.
#[derive(Default)]
pub(crate) struct ExchangeSchedule {
    differing_member: Option<DifferingMember>,
    next_allowed_at: Micros,
}

impl ExchangeSchedule {
    /// Records a digest received from a member. `is_same` tells whether it equals the digest of this process.
    pub(crate) fn record_digest(&mut self, now: Micros, from: SocketAddr, is_same: bool) {
        match &mut self.differing_member {
            Some(member) if is_same && member.address == from => self.differing_member = None,
            Some(member) if !is_same => member.address = from,
            None if !is_same => self.differing_member = Some(DifferingMember { address: from, since: now }),
            _ => {}
        }
    }

    /// Records the first member that joined the view. An exchange with this member is due immediately.
    pub(crate) fn record_first_member(&mut self, now: Micros, address: SocketAddr) {
        let since = now - EXCHANGE_DELAY;
        self.differing_member = Some(DifferingMember { address, since });
    }

    /// Returns when the next exchange is due, or [`Micros::MAX`] if no view differs.
    pub(crate) fn next_change(&self) -> Micros {
        let due_at = |member: &DifferingMember| member.since + EXCHANGE_DELAY;
        self.differing_member.as_ref().map_or(Micros::MAX, |member| due_at(member).max(self.next_allowed_at))
    }

    /// Returns the member with which an exchange is due now, and starts the interval before the next exchange.
    pub(crate) fn due(&mut self, now: Micros) -> Option<SocketAddr> {
        if now < self.next_change() {
            return None;
        }
        self.next_allowed_at = now + MIN_EXCHANGE_INTERVAL;
        self.differing_member.take().map(|member| member.address)
    }
}

impl Membership {
    /// Returns the address of the member with which a full exchange is due now. Each due exchange is returned once.
    ///
    /// `None` means that no exchange is due, that the member has left the view, or that this process has left.
    pub fn due_exchange(&mut self, now: Micros) -> Option<SocketAddr> {
        if self.has_left || fault_injected!(NoFullExchanges) {
            return None;
        }
        let members = &self.members;
        self.exchange_schedule.due(now).filter(|address| members.contains_key(address))
    }

    /// Encodes all live members, including this process, in parts of at most [`MAX_PART_BYTES`].
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

    /// Merges the members that another process exported. If any part is rejected, no member is merged.
    ///
    /// # Errors
    ///
    /// [`PayloadError::Malformed`] if a part cannot be decoded, and [`PayloadError::TooManyMembers`] if the
    /// members would exceed [`MAX_MEMBERS`].
    pub fn import_members(&mut self, now: Micros, parts: &[Vec<u8>]) -> Result<(), PayloadError> {
        let mut received = Vec::new();
        for mut part in parts.iter().map(Vec::as_slice) {
            while !part.is_empty() {
                let member: Member<crate::Peer> =
                    PostcardCodec.decode_member(&mut part).map_err(|_| PayloadError::Malformed)?;
                received.push(member);
            }
        }
        let new_members =
            received.iter().filter(|member| !self.members.contains_key(&member.id().address)).count();
        if self.foca.iter_membership_state().len() + new_members > MAX_MEMBERS {
            return Err(PayloadError::TooManyMembers);
        }
        // Only live members are merged. Failures spread by gossip, where the suspected member can refute them.
        received.retain(|member| member.state() == State::Alive && member.id() != self.identity());
        self.apply_members(now, received)
    }
}
