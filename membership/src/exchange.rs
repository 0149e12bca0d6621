//! The full exchange: all members that one process knows to be there, in parts for a link, and what another made of it. It mends at
//! once what gossip would tell piece by piece: at a join, after a cut, and while two that hear each other differ.

use crate::machine::Fleet;
use crate::swim::Refused;
use crate::{MOST_MEMBERS, Micros};
use foca::{Codec, Member, PostcardCodec, State};
use std::net::SocketAddr;

/// The longest part; a link carries that in one frame.
pub const PART: usize = 48 << 10;
/// Parts that are taken of one exchange: more than [`MOST_MEMBERS`] need.
pub const MOST_PARTS: usize = 16;
/// Two that hear each other and differ for so long exchange all they know; gossip mends less in that time.
const DIFFERS: Micros = 500_000;
/// A process begins no more than one exchange in this time.
const PAUSE: Micros = 1_000_000;

/// With whom an exchange is due, and when the next may be.
#[derive(Default)]
pub(crate) struct Exchanges {
    /// A member heard with another view, and since when there has been one.
    differs: Option<(SocketAddr, Micros)>,
    next: Micros,
}

impl Exchanges {
    pub fn heard(&mut self, now: Micros, from: SocketAddr, same: bool) {
        match &mut self.differs {
            Some((at, _)) if same && *at == from => self.differs = None,
            Some((at, _)) if !same => *at = from,
            None if !same => self.differs = Some((from, now)),
            _ => {}
        }
    }

    /// Somebody is there, and nobody was: whatever it knows is news.
    pub fn first(&mut self, now: Micros, at: SocketAddr) {
        self.differs = Some((at, now - DIFFERS));
    }

    pub fn next_change(&self) -> Micros {
        self.differs.map_or(Micros::MAX, |(_, since)| (since + DIFFERS).max(self.next))
    }

    pub fn due(&mut self, now: Micros) -> Option<SocketAddr> {
        if now < self.next_change() {
            return None;
        }
        self.next = now + PAUSE;
        self.differs.take().map(|(at, _)| at)
    }
}

impl Fleet {
    /// With whom all that is known should be exchanged now, if with anybody.
    pub fn exchange(&mut self, now: Micros) -> Option<SocketAddr> {
        if self.left || crate::faulty!(NobodyExchanges) {
            return None;
        }
        let there = &self.members;
        self.exchanges.due(now).filter(|at| there.contains_key(at))
    }

    /// All that are there, this one too, in parts.
    pub fn all(&self) -> Vec<Vec<u8>> {
        let mut parts = vec![Vec::new()];
        let own = Member::new(self.own().clone(), 0, State::Alive);
        let others = self.foca.iter_membership_state().filter(|m| m.state() == State::Alive);
        for member in others.chain([&own]) {
            let mut bytes = Vec::new();
            if PostcardCodec.encode_member(member, &mut bytes).is_err() {
                continue;
            }
            if parts.last().is_some_and(|part: &Vec<u8>| part.len() + bytes.len() > PART) {
                parts.push(Vec::new());
            }
            if let Some(part) = parts.last_mut() {
                part.extend(bytes);
            }
        }
        parts
    }

    /// Takes all that another knows, whole or not at all.
    pub fn take_all(&mut self, now: Micros, parts: &[Vec<u8>]) -> Result<(), Refused> {
        let mut told = Vec::new();
        for mut part in parts.iter().map(Vec::as_slice) {
            while !part.is_empty() {
                let member: Member<crate::Peer> =
                    PostcardCodec.decode_member(&mut part).map_err(|_| Refused::Form)?;
                told.push(member);
            }
        }
        let new = told.iter().filter(|m| !self.members.contains_key(&m.id().at)).count();
        if self.foca.iter_membership_state().len() + new > MOST_MEMBERS {
            return Err(Refused::TooMany);
        }
        // Whoever is there by that one's word; who is gone is told by gossip, which its member can contradict.
        told.retain(|m| m.state() == State::Alive && m.id() != self.own());
        self.apply(now, told)
    }
}
