//! What each member tells all others of itself, in small reports: the newest of each origin counts, once, and one that is not renewed
//! runs out. Who is told next, and how often, is decided here; what a report means is its channel's business.
//!
//! Push gossip: whoever has a new report tells it to [`TELLINGS`] members drawn at random, so that all but a few in a thousand have it after
//! some log n rounds; who was missed has the next one. Datagrams a second are bounded whatever the fleet's size; what grows with it is
//! the time after which a report is renewed ([`GossipReports::interval`]).

use crate::swim::PayloadError;
use crate::{MAX_PAYLOAD_BYTES, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The longest report.
pub const MAX_REPORT_BYTES: usize = 1_000;
/// How often each member tells a report: 1 - e^-5 of a fleet hear it, whoever is told by whom.
const SENDS_PER_REPORT: u32 = 5;
/// A datagram each so often: twenty a second, 26 KB, at the most.
const SEND_INTERVAL: Micros = 50_000;
/// How long all members' reports take, for each member, at that pace: five tellings of a report of 130 bytes at ten a datagram.
const INTERVAL_PER_MEMBER: Micros = 25_000;
const MIN_INTERVAL: Micros = 1_000_000;
/// A report that is not renewed counts for so many intervals.
pub const LIFETIME_INTERVALS: Micros = 4;
/// Origins that are remembered, over all channels, and how long the number of one that fell silent is.
const MAX_REPORTS: usize = 16_384;
const SEQUENCE_EXPIRES_AFTER: Micros = 600_000_000;

/// A report that is new here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    pub channel: u8,
    pub origin: u64,
    pub sequence: u64,
    /// How long ago its origin made it, at least.
    pub age: Micros,
    pub payload: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct EncodedReport<'a> {
    channel: u8,
    origin: u64,
    sequence: u64,
    age_ms: u32,
    payload: &'a [u8],
}

struct KnownReport {
    sequence: u64,
    /// When it was made, on this process's clock: later than truly, never sooner.
    created_at: Micros,
    payload: Vec<u8>,
    times_sent: u32,
}

pub struct GossipReports {
    own_incarnation: u64,
    rng: fastrand::Rng,
    reports: BTreeMap<(u8, u64), KnownReport>,
    next_send_at: Micros,
}

impl GossipReports {
    /// `own`: this process's boot.
    pub fn new(own: u64, seed: u64) -> GossipReports {
        GossipReports {
            own_incarnation: own,
            rng: fastrand::Rng::with_seed(seed),
            reports: BTreeMap::new(),
            next_send_at: 0,
        }
    }

    /// How often each of so many members should say something new; it counts for [`LIFE`] times that.
    pub fn interval(members: usize) -> Micros {
        (INTERVAL_PER_MEMBER * Micros::try_from(members).unwrap_or(Micros::MAX / INTERVAL_PER_MEMBER))
            .max(MIN_INTERVAL)
    }

    /// This process's newest report on a channel. One that is too long is not told.
    pub fn publish(&mut self, now: Micros, channel: u8, payload: Vec<u8>) {
        if payload.len() <= MAX_REPORT_BYTES {
            let number = self.reports.get(&(channel, self.own_incarnation)).map_or(1, |r| r.sequence + 1);
            self.reports.insert(
                (channel, self.own_incarnation),
                KnownReport { sequence: number, created_at: now, payload, times_sent: 0 },
            );
        }
    }

    /// What came from another, of origins that are members: what is new of it, whole or not at all.
    pub fn apply_gossip(
        &mut self,
        now: Micros,
        members: usize,
        member: impl Fn(u64) -> bool,
        bytes: &[u8],
    ) -> Result<Vec<ReceivedReport>, PayloadError> {
        let mut lines = Vec::new();
        let mut rest = bytes;
        while !rest.is_empty() {
            let (line, left): (EncodedReport, &[u8]) =
                postcard::take_from_bytes(rest).map_err(|_| PayloadError::Malformed)?;
            if line.payload.len() > MAX_REPORT_BYTES || left.len() >= rest.len() {
                return Err(PayloadError::Malformed);
            }
            lines.push(line);
            rest = left;
        }
        let life = GossipReports::interval(members) * LIFETIME_INTERVALS;
        let mut fresh = Vec::new();
        for EncodedReport { channel, origin, sequence: number, age_ms, payload } in lines {
            let age = Micros::from(age_ms) * 1_000;
            let key = (channel, origin);
            let newer = self.reports.get(&key).is_none_or(|r| r.sequence < number);
            if origin == self.own_incarnation
                || age > life
                || !newer && !crate::faulty!(TakesTwice)
                || !member(origin)
            {
                continue;
            }
            self.evict_if_full(now, key);
            let payload = payload.to_vec();
            let gossip_report = KnownReport {
                sequence: number,
                created_at: now - age,
                payload: payload.clone(),
                times_sent: 0,
            };
            self.reports.insert(key, gossip_report);
            fresh.push(ReceivedReport { channel, origin, sequence: number, age, payload });
        }
        Ok(fresh)
    }

    /// Whoever is remembered longest goes, where there are too many.
    fn evict_if_full(&mut self, now: Micros, key: (u8, u64)) {
        if self.reports.len() >= MAX_REPORTS && !self.reports.contains_key(&key) {
            self.reports
                .retain(|k, r| k.1 == self.own_incarnation || now - r.created_at < SEQUENCE_EXPIRES_AFTER);
            let others = self.reports.iter().filter(|(k, _)| k.1 != self.own_incarnation);
            let oldest = others.min_by_key(|(_, r)| r.created_at).map(|(k, _)| *k);
            oldest.filter(|_| self.reports.len() >= MAX_REPORTS).map(|k| self.reports.remove(&k));
        }
    }

    /// What is to be told now, and to whom.
    pub fn encode_gossip(&mut self, now: Micros, members: &[SocketAddr]) -> Option<(SocketAddr, Vec<u8>)> {
        if now < self.next_send_at || members.is_empty() {
            return None;
        }
        let life = GossipReports::interval(members.len() + 1) * LIFETIME_INTERVALS;
        let live = |r: &KnownReport| r.times_sent < SENDS_PER_REPORT && now - r.created_at < life;
        let mut lines: Vec<((u32, Micros), (u8, u64))> = self
            .reports
            .iter()
            .filter(|(_, r)| live(r))
            .map(|(k, r)| ((r.times_sent, -r.created_at), *k))
            .collect();
        if lines.is_empty() {
            return None;
        }
        self.next_send_at = now + SEND_INTERVAL;
        lines.sort_unstable();
        let mut bytes = Vec::with_capacity(MAX_PAYLOAD_BYTES);
        for (_, key) in lines {
            let Some(r) = self.reports.get_mut(&key) else { continue };
            let age_ms = u32::try_from((now - r.created_at) / 1_000 + 1).unwrap_or(u32::MAX);
            let line = EncodedReport {
                channel: key.0,
                origin: key.1,
                sequence: r.sequence,
                age_ms,
                payload: &r.payload,
            };
            let Ok(line) = postcard::to_stdvec(&line) else { continue };
            if bytes.len() + line.len() < MAX_PAYLOAD_BYTES {
                bytes.extend(line);
                r.times_sent += 1;
            }
        }
        Some((members[self.rng.usize(..members.len())], bytes))
    }

    /// When there may be something to tell.
    pub fn next_change(&self, now: Micros) -> Micros {
        let new = self.reports.values().any(|r| r.times_sent < SENDS_PER_REPORT);
        if new { self.next_send_at.max(now) } else { Micros::MAX }
    }

    /// Reports that are remembered, for the operators.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
