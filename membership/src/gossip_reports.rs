//! What each member tells all others of itself, in small reports: the newest of each origin counts, once, and one that is not renewed
//! runs out. Who is told next, and how often, is decided here; what a report means is its channel's business.
//!
//! Push gossip: whoever has a new report tells it to [`TELLINGS`] members drawn at random, so that all but a few in a thousand have it after
//! some log n rounds; who was missed has the next one. Datagrams a second are bounded whatever the fleet's size; what grows with it is
//! the time after which a report is renewed ([`GossipReports::interval`]).

use crate::swim::Refused;
use crate::{Micros, PAYLOAD};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The longest report.
pub const MOST_REPORT: usize = 1_000;
/// How often each member tells a report: 1 - e^-5 of a fleet hear it, whoever is told by whom.
const TELLINGS: u32 = 5;
/// A datagram each so often: twenty a second, 26 KB, at the most.
const PACE: Micros = 50_000;
/// How long all members' reports take, for each member, at that pace: five tellings of a report of 130 bytes at ten a datagram.
const EACH: Micros = 25_000;
const LEAST_INTERVAL: Micros = 1_000_000;
/// A report that is not renewed counts for so many intervals.
pub const LIFE: Micros = 4;
/// Origins that are remembered, over all channels, and how long the number of one that fell silent is.
const MOST_ORIGINS: usize = 16_384;
const FORGET: Micros = 600_000_000;

/// A report that is new here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fresh {
    pub channel: u8,
    pub origin: u64,
    pub number: u64,
    /// How long ago its origin made it, at least.
    pub age: Micros,
    pub payload: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct Line<'a> {
    channel: u8,
    origin: u64,
    number: u64,
    age_ms: u32,
    payload: &'a [u8],
}

struct GossipReport {
    number: u64,
    /// When it was made, on this process's clock: later than truly, never sooner.
    made: Micros,
    payload: Vec<u8>,
    told: u32,
}

pub struct GossipReports {
    own: u64,
    rng: fastrand::Rng,
    known: BTreeMap<(u8, u64), GossipReport>,
    next: Micros,
}

impl GossipReports {
    /// `own`: this process's boot.
    pub fn new(own: u64, seed: u64) -> GossipReports {
        GossipReports { own, rng: fastrand::Rng::with_seed(seed), known: BTreeMap::new(), next: 0 }
    }

    /// How often each of so many members should say something new; it counts for [`LIFE`] times that.
    pub fn interval(members: usize) -> Micros {
        (EACH * Micros::try_from(members).unwrap_or(Micros::MAX / EACH)).max(LEAST_INTERVAL)
    }

    /// This process's newest report on a channel. One that is too long is not told.
    pub fn say(&mut self, now: Micros, channel: u8, payload: Vec<u8>) {
        if payload.len() <= MOST_REPORT {
            let number = self.known.get(&(channel, self.own)).map_or(1, |r| r.number + 1);
            self.known.insert((channel, self.own), GossipReport { number, made: now, payload, told: 0 });
        }
    }

    /// What came from another, of origins that are members: what is new of it, whole or not at all.
    pub fn hear(
        &mut self,
        now: Micros,
        members: usize,
        member: impl Fn(u64) -> bool,
        bytes: &[u8],
    ) -> Result<Vec<Fresh>, Refused> {
        let mut lines = Vec::new();
        let mut rest = bytes;
        while !rest.is_empty() {
            let (line, left): (Line, &[u8]) = postcard::take_from_bytes(rest).map_err(|_| Refused::Form)?;
            if line.payload.len() > MOST_REPORT || left.len() >= rest.len() {
                return Err(Refused::Form);
            }
            lines.push(line);
            rest = left;
        }
        let life = GossipReports::interval(members) * LIFE;
        let mut fresh = Vec::new();
        for Line { channel, origin, number, age_ms, payload } in lines {
            let age = Micros::from(age_ms) * 1_000;
            let key = (channel, origin);
            let newer = self.known.get(&key).is_none_or(|r| r.number < number);
            if origin == self.own || age > life || !newer && !crate::faulty!(TakesTwice) || !member(origin) {
                continue;
            }
            self.make_room(now, key);
            let payload = payload.to_vec();
            let gossip_report = GossipReport { number, made: now - age, payload: payload.clone(), told: 0 };
            self.known.insert(key, gossip_report);
            fresh.push(Fresh { channel, origin, number, age, payload });
        }
        Ok(fresh)
    }

    /// Whoever is remembered longest goes, where there are too many.
    fn make_room(&mut self, now: Micros, key: (u8, u64)) {
        if self.known.len() >= MOST_ORIGINS && !self.known.contains_key(&key) {
            self.known.retain(|k, r| k.1 == self.own || now - r.made < FORGET);
            let others = self.known.iter().filter(|(k, _)| k.1 != self.own);
            let oldest = others.min_by_key(|(_, r)| r.made).map(|(k, _)| *k);
            oldest.filter(|_| self.known.len() >= MOST_ORIGINS).map(|k| self.known.remove(&k));
        }
    }

    /// What is to be told now, and to whom.
    pub fn due(&mut self, now: Micros, members: &[SocketAddr]) -> Option<(SocketAddr, Vec<u8>)> {
        if now < self.next || members.is_empty() {
            return None;
        }
        let life = GossipReports::interval(members.len() + 1) * LIFE;
        let live = |r: &GossipReport| r.told < TELLINGS && now - r.made < life;
        let mut lines: Vec<((u32, Micros), (u8, u64))> =
            self.known.iter().filter(|(_, r)| live(r)).map(|(k, r)| ((r.told, -r.made), *k)).collect();
        if lines.is_empty() {
            return None;
        }
        self.next = now + PACE;
        lines.sort_unstable();
        let mut bytes = Vec::with_capacity(PAYLOAD);
        for (_, key) in lines {
            let Some(r) = self.known.get_mut(&key) else { continue };
            let age_ms = u32::try_from((now - r.made) / 1_000 + 1).unwrap_or(u32::MAX);
            let line = Line { channel: key.0, origin: key.1, number: r.number, age_ms, payload: &r.payload };
            let Ok(line) = postcard::to_stdvec(&line) else { continue };
            if bytes.len() + line.len() < PAYLOAD {
                bytes.extend(line);
                r.told += 1;
            }
        }
        Some((members[self.rng.usize(..members.len())], bytes))
    }

    /// When there may be something to tell.
    pub fn next_change(&self, now: Micros) -> Micros {
        let new = self.known.values().any(|r| r.told < TELLINGS);
        if new { self.next.max(now) } else { Micros::MAX }
    }

    /// Reports that are remembered, for the operators.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
