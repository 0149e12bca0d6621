//! The full exchange: all members that one process knows to be there, in parts for a link, and what another made of it. It mends at
//! once what gossip would tell piece by piece: at a join, after a cut, and while two that hear each other differ.

use crate::membership::Membership;
use crate::swim::PayloadError;
use crate::{MAX_MEMBERS, Micros};
use foca::{Codec, Member, PostcardCodec, State};
use std::net::SocketAddr;

/// The longest part; a link carries that in one frame.
pub const MAX_PART_BYTES: usize = 48 << 10;
/// Parts that are taken of one exchange: more than [`MOST_MEMBERS`] need.
pub const MAX_PARTS: usize = 16;
/// Two that hear each other and differ for so long exchange all they know; gossip mends less in that time.
const DIFFERENCE_BEFORE_EXCHANGE: Micros = 500_000;
/// A process begins no more than one exchange in this time.
const MIN_EXCHANGE_INTERVAL: Micros = 1_000_000;

/// With whom an exchange is due, and when the next may be.
#[derive(Default)]
pub(crate) struct ExchangeSchedule {
    /// A member heard with another view, and since when there has been one.
    differing_member: Option<(SocketAddr, Micros)>,
    next_allowed_at: Micros,
}

impl ExchangeSchedule {
    pub fn record_digest(&mut self, now: Micros, from: SocketAddr, same: bool) {
        match &mut self.differing_member {
            Some((at, _)) if same && *at == from => self.differing_member = None,
            Some((at, _)) if !same => *at = from,
            None if !same => self.differing_member = Some((from, now)),
            _ => {}
        }
    }

    /// Somebody is there, and nobody was: whatever it knows is news.
    pub fn record_first_member(&mut self, now: Micros, at: SocketAddr) {
        self.differing_member = Some((at, now - DIFFERENCE_BEFORE_EXCHANGE));
    }

    pub fn next_change(&self) -> Micros {
        self.differing_member
            .map_or(Micros::MAX, |(_, since)| (since + DIFFERENCE_BEFORE_EXCHANGE).max(self.next_allowed_at))
    }

    pub fn due(&mut self, now: Micros) -> Option<SocketAddr> {
        if now < self.next_change() {
            return None;
        }
        self.next_allowed_at = now + MIN_EXCHANGE_INTERVAL;
        self.differing_member.take().map(|(at, _)| at)
    }
}

impl Membership {
    /// With whom all that is known should be exchanged now, if with anybody.
    pub fn due_exchange(&mut self, now: Micros) -> Option<SocketAddr> {
        if self.left || crate::faulty!(NobodyExchanges) {
            return None;
        }
        let there = &self.members;
        self.exchange_schedule.due(now).filter(|at| there.contains_key(at))
    }

    /// All that are there, this one too, in parts.
    pub fn export_members(&self) -> Vec<Vec<u8>> {
        let mut parts = vec![Vec::new()];
        let own = Member::new(self.own().clone(), 0, State::Alive);
        let others = self.foca.iter_membership_state().filter(|m| m.state() == State::Alive);
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

    /// Takes all that another knows, whole or not at all.
    pub fn import_members(&mut self, now: Micros, parts: &[Vec<u8>]) -> Result<(), PayloadError> {
        let mut told = Vec::new();
        for mut part in parts.iter().map(Vec::as_slice) {
            while !part.is_empty() {
                let member: Member<crate::Peer> =
                    PostcardCodec.decode_member(&mut part).map_err(|_| PayloadError::Malformed)?;
                told.push(member);
            }
        }
        let new = told.iter().filter(|m| !self.members.contains_key(&m.id().address)).count();
        if self.foca.iter_membership_state().len() + new > MAX_MEMBERS {
            return Err(PayloadError::TooManyMembers);
        }
        // Whoever is there by that one's word; who is gone is told by gossip, which its member can contradict.
        told.retain(|m| m.state() == State::Alive && m.id() != self.own());
        self.apply_members(now, told)
    }
}
