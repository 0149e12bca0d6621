//! Small reports of each member to all others: the newest of each origin counts, once, and one that is not renewed expires. Which
//! member a report is sent to next, and how often, is decided here; what a report means is defined by its channel.
//!
//! Push gossip: a member with a new report sends it to [`SENDS_PER_REPORT`] members drawn at random, so that all but a few in a
//! thousand have it after a number of rounds that grows with the logarithm of their number; those it missed get the next one. The datagrams a second are bounded whatever the
//! fleet's size; the interval at which a report is renewed grows with it ([`GossipReports::renewal_interval`]).

use crate::swim::{OutgoingPayload, PayloadError};
use crate::{MAX_PAYLOAD_BYTES, Micros};
use birchreach_fault_injection::fault_injected;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The longest report.
pub const MAX_REPORT_BYTES: usize = 1_000;
/// How often each member sends a report: 1 - e^-5 of a fleet receive it.
const SENDS_PER_REPORT: u32 = 5;
/// The shortest time between two datagrams of one member: 20 a second, 26 KB, at most.
const SEND_INTERVAL: Micros = 50_000;
/// The time that sending one member's report takes each member at that rate: five times a report of 130 bytes, ten to a
/// datagram.
const INTERVAL_PER_MEMBER: Micros = 25_000;
/// The shortest interval at which a report is renewed.
const MIN_INTERVAL: Micros = 1_000_000;
/// A report that is not renewed expires after so many intervals.
pub const LIFETIME_INTERVALS: Micros = 4;
/// Reports that are kept, over all origins and channels.
const MAX_REPORTS: usize = 16_384;
/// For this time an expired report is kept for its sequence number when there are too many.
const SEQUENCE_EXPIRES_AFTER: Micros = 600_000_000;

/// A report that was received and is new.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    /// What it is about.
    pub channel: u8,
    /// The incarnation that published it.
    pub origin: u64,
    /// Counts the reports of this origin on this channel.
    pub sequence: u64,
    /// How long ago it was published, at least.
    pub age: Micros,
    /// Its content.
    pub payload: Vec<u8>,
}

/// A report in a datagram. The order of the fields is the format on the wire (postcard).
#[derive(Serialize, Deserialize)]
struct EncodedReport<'a> {
    channel: u8,
    origin: u64,
    sequence: u64,
    age_ms: u32,
    payload: &'a [u8],
}

/// The origin of a report, and its channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKey {
    channel: u8,
    origin: u64,
}

/// The newest report of an origin on a channel.
struct KnownReport {
    sequence: u64,
    /// On the local clock: later than it truly was, never sooner.
    created_at: Micros,
    payload: Vec<u8>,
    /// How often this process has sent it.
    times_sent: u32,
}

/// A report that may be sent now. Ordered by how often it was sent, the newest first, then by key.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueReport {
    times_sent: u32,
    newest_first: Reverse<Micros>,
    key: ReportKey,
}

impl DueReport {
    fn of(key: ReportKey, report: &KnownReport) -> DueReport {
        DueReport { times_sent: report.times_sent, newest_first: Reverse(report.created_at), key }
    }
}

/// The reports that one process knows and forwards.
pub struct GossipReports {
    own_incarnation: u64,
    rng: fastrand::Rng,
    reports: BTreeMap<ReportKey, KnownReport>,
    next_send_at: Micros,
}

impl GossipReports {
    /// No report is known.
    pub fn new(own_incarnation: u64, seed: u64) -> GossipReports {
        GossipReports {
            own_incarnation,
            rng: fastrand::Rng::with_seed(seed),
            reports: BTreeMap::new(),
            next_send_at: 0,
        }
    }

    /// How often each of so many members should renew its report; it expires after [`LIFETIME_INTERVALS`] of these.
    pub fn renewal_interval(members: usize) -> Micros {
        let members = Micros::try_from(members).unwrap_or(Micros::MAX / INTERVAL_PER_MEMBER);
        (INTERVAL_PER_MEMBER * members).max(MIN_INTERVAL)
    }

    /// How long a report counts after it was made.
    fn lifetime(members: usize) -> Micros {
        GossipReports::renewal_interval(members) * LIFETIME_INTERVALS
    }

    /// Replaces this process's report on a channel. One that is too long is not sent.
    pub fn publish(&mut self, now: Micros, channel: u8, payload: Vec<u8>) {
        if payload.len() > MAX_REPORT_BYTES {
            return;
        }
        let key = ReportKey { channel, origin: self.own_incarnation };
        let sequence = self.reports.get(&key).map_or(1, |report| report.sequence + 1);
        self.reports.insert(key, KnownReport { sequence, created_at: now, payload, times_sent: 0 });
    }

    /// Applies a datagram of another member, and returns the reports in it that are new and whose origin is a member.
    ///
    /// # Errors
    ///
    /// [`PayloadError::Malformed`]; nothing has changed then.
    pub fn apply_gossip(
        &mut self,
        now: Micros,
        members: usize,
        is_member: impl Fn(u64) -> bool,
        bytes: &[u8],
    ) -> Result<Vec<ReceivedReport>, PayloadError> {
        let lifetime = GossipReports::lifetime(members);
        let mut new_reports = Vec::new();
        for EncodedReport { channel, origin, sequence, age_ms, payload } in decode(bytes)? {
            let age = Micros::from(age_ms) * 1_000;
            let key = ReportKey { channel, origin };
            let is_newer = self.reports.get(&key).is_none_or(|report| report.sequence < sequence);
            let is_duplicate = !is_newer && !fault_injected!(DuplicatesCounted);
            if origin == self.own_incarnation || age > lifetime || is_duplicate || !is_member(origin) {
                continue;
            }
            self.evict_if_full(now, key);
            let payload = payload.to_vec();
            let created_at = now - age;
            let report = KnownReport { sequence, created_at, payload: payload.clone(), times_sent: 0 };
            self.reports.insert(key, report);
            new_reports.push(ReceivedReport { channel, origin, sequence, age, payload });
        }
        Ok(new_reports)
    }

    /// Evicts the oldest report of another origin if there is no capacity for a new one.
    fn evict_if_full(&mut self, now: Micros, key: ReportKey) {
        if self.reports.len() < MAX_REPORTS || self.reports.contains_key(&key) {
            return;
        }
        let own = self.own_incarnation;
        self.reports
            .retain(|key, report| key.origin == own || now - report.created_at < SEQUENCE_EXPIRES_AFTER);
        let others = self.reports.iter().filter(|(key, _)| key.origin != own);
        let oldest = others.min_by_key(|(_, report)| report.created_at).map(|(key, _)| *key);
        oldest.filter(|_| self.reports.len() >= MAX_REPORTS).map(|key| self.reports.remove(&key));
    }

    /// The next datagram and its recipient, if one is due: the reports sent least often first, of these the newest.
    pub fn encode_gossip(&mut self, now: Micros, members: &[SocketAddr]) -> Option<OutgoingPayload> {
        if now < self.next_send_at || members.is_empty() {
            return None;
        }
        let lifetime = GossipReports::lifetime(members.len() + 1);
        let is_due =
            |report: &KnownReport| report.times_sent < SENDS_PER_REPORT && now - report.created_at < lifetime;
        let due = self.reports.iter().filter(|(_, report)| is_due(report));
        let mut due: Vec<DueReport> = due.map(|(key, report)| DueReport::of(*key, report)).collect();
        if due.is_empty() {
            return None;
        }
        self.next_send_at = now + SEND_INTERVAL;
        due.sort_unstable();
        let mut payload = Vec::with_capacity(MAX_PAYLOAD_BYTES);
        for DueReport { key, .. } in due {
            let Some(report) = self.reports.get_mut(&key) else { continue };
            let Some(encoded) = encode(now, key, report) else { continue };
            if payload.len() + encoded.len() < MAX_PAYLOAD_BYTES {
                payload.extend(encoded);
                report.times_sent += 1;
            }
        }
        Some(OutgoingPayload { recipient: members[self.rng.usize(..members.len())], payload })
    }

    /// When a datagram may be due.
    pub fn next_change(&self, now: Micros) -> Micros {
        let any_unsent = self.reports.values().any(|report| report.times_sent < SENDS_PER_REPORT);
        if any_unsent { self.next_send_at.max(now) } else { Micros::MAX }
    }

    /// Reports that are kept.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether no report is kept.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}

/// All reports of a datagram, or an error.
fn decode(mut bytes: &[u8]) -> Result<Vec<EncodedReport<'_>>, PayloadError> {
    let mut reports = Vec::new();
    while !bytes.is_empty() {
        let (report, rest): (EncodedReport, &[u8]) =
            postcard::take_from_bytes(bytes).map_err(|_| PayloadError::Malformed)?;
        if report.payload.len() > MAX_REPORT_BYTES || rest.len() >= bytes.len() {
            return Err(PayloadError::Malformed);
        }
        reports.push(report);
        bytes = rest;
    }
    Ok(reports)
}

/// The bytes of a report in a datagram. Its age is rounded up, so that no report gets younger on its way.
fn encode(now: Micros, key: ReportKey, report: &KnownReport) -> Option<Vec<u8>> {
    let age_ms = u32::try_from((now - report.created_at) / 1_000 + 1).unwrap_or(u32::MAX);
    let encoded = EncodedReport {
        channel: key.channel,
        origin: key.origin,
        sequence: report.sequence,
        age_ms,
        payload: &report.payload,
    };
    postcard::to_stdvec(&encoded).ok()
}
