//! Push gossip of small reports from each member to all other members.
//!
//! Only the newest report of an origin on a channel is accepted, and only once. Reports that are not renewed expire.
//! This module selects the recipients of a report and limits its sends. The channel defines the report's meaning.
//!
//! A member with a new report sends it to [`SENDS_PER_REPORT`] random members. All but a few members in a thousand
//! receive it, after a number of rounds that grows with the logarithm of the fleet's size. The others receive the
//! next report. The number of datagrams per second is bounded for all fleet sizes. In return, the interval at which a
//! report is renewed grows with the fleet ([`GossipReports::renewal_interval`]).

use crate::swim::{OutgoingPayload, PayloadError};
use crate::{MAX_PAYLOAD_BYTES, Micros};
use birchreach_fault_injection::fault_injected;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum size of a report's payload in bytes. Longer payloads are not published.
pub const MAX_REPORT_BYTES: usize = 1_000;
/// Number of times that each member sends a report. With five sends, 1 - e^-5 of the fleet receives it.
const SENDS_PER_REPORT: u32 = 5;
/// Minimum time between two datagrams of a member. A member sends at most 20 datagrams, or 26 KB, per second.
const SEND_INTERVAL: Micros = 50_000;
/// Time that each member spends on sending the report of one member at the maximum rate: five sends of a report of
/// 130 bytes, with ten reports to a datagram.
const RENEWAL_INTERVAL_PER_MEMBER: Micros = 25_000;
/// Minimum interval at which a report is renewed.
const MIN_RENEWAL_INTERVAL: Micros = 1_000_000;
/// Number of intervals of [`GossipReports::renewal_interval`] after which a report expires.
pub const LIFETIME_INTERVALS: Micros = 4;
/// Maximum number of stored reports over all origins and channels.
const MAX_REPORTS: usize = 16_384;
/// An expired report is kept because its sequence number identifies duplicates. When [`MAX_REPORTS`] is reached,
/// reports of other origins that are older than this are removed.
const SEQUENCE_RETENTION: Micros = 600_000_000;

/// A report from another member that is newer than the stored report of its origin and channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedReport {
    /// Identifies the kind of report. This crate does not interpret it.
    pub channel: u8,
    /// Incarnation of the member that published the report.
    pub origin: u64,
    /// Number of the report among those of its origin on its channel, starting at 1.
    pub sequence: u64,
    /// Time since publication, rounded up to a millisecond at each hop. Time on the network is not included.
    pub age: Micros,
    /// Content of the report, at most [`MAX_REPORT_BYTES`].
    pub payload: Vec<u8>,
}

/// A report as encoded in a datagram. The order of the fields is the wire format (postcard).
#[derive(Serialize, Deserialize)]
struct EncodedReport<'a> {
    channel: u8,
    origin: u64,
    sequence: u64,
    age_ms: u32,
    payload: &'a [u8],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKey {
    channel: u8,
    origin: u64,
}

/// The newest known report of an origin on a channel.
struct StoredReport {
    sequence: u64,
    /// Publication time on the local clock. Time on the network is not included, so the value is late, not early.
    created_at: Micros,
    payload: Vec<u8>,
    /// Number of times that this process has sent the report.
    times_sent: u32,
}

/// A report that is due to be sent. The derived order puts reports sent least often first, among these the newest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueReport {
    times_sent: u32,
    newest_first: Reverse<Micros>,
    key: ReportKey,
}

impl DueReport {
    fn new(key: ReportKey, report: &StoredReport) -> DueReport {
        DueReport { times_sent: report.times_sent, newest_first: Reverse(report.created_at), key }
    }
}

/// The reports that one process stores and forwards.
pub struct GossipReports {
    own_incarnation: u64,
    rng: fastrand::Rng,
    reports: BTreeMap<ReportKey, StoredReport>,
    next_send_at: Micros,
}

impl GossipReports {
    /// Creates an empty set of reports. `seed` determines to which members the process sends its reports.
    pub fn new(own_incarnation: u64, seed: u64) -> GossipReports {
        GossipReports {
            own_incarnation,
            rng: fastrand::Rng::with_seed(seed),
            reports: BTreeMap::new(),
            next_send_at: 0,
        }
    }

    /// Returns the interval at which each member of a fleet of this size should renew its report.
    pub fn renewal_interval(members: usize) -> Micros {
        let members = Micros::try_from(members).unwrap_or(Micros::MAX / RENEWAL_INTERVAL_PER_MEMBER);
        (RENEWAL_INTERVAL_PER_MEMBER * members).max(MIN_RENEWAL_INTERVAL)
    }

    /// Time between the publication and the expiry of a report.
    fn lifetime(members: usize) -> Micros {
        GossipReports::renewal_interval(members) * LIFETIME_INTERVALS
    }

    /// Replaces the report of this process on a channel. A payload longer than [`MAX_REPORT_BYTES`] is ignored.
    pub fn publish(&mut self, now: Micros, channel: u8, payload: Vec<u8>) {
        if payload.len() > MAX_REPORT_BYTES {
            return;
        }
        let key = ReportKey { channel, origin: self.own_incarnation };
        let sequence = self.reports.get(&key).map_or(1, |report| report.sequence + 1);
        self.reports.insert(key, StoredReport { sequence, created_at: now, payload, times_sent: 0 });
    }

    /// Stores the new reports of a datagram and returns them. Expired reports, reports of this process and reports
    /// whose origin is not a member are ignored. `members` is the size of the fleet, including this process.
    ///
    /// # Errors
    ///
    /// [`PayloadError::Malformed`] if the datagram cannot be decoded; no report of it is stored.
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
            let is_duplicate = !is_newer && !fault_injected!(DuplicatesAccepted);
            if origin == self.own_incarnation || age > lifetime || is_duplicate || !is_member(origin) {
                continue;
            }
            self.evict_if_full(now, key);
            let payload = payload.to_vec();
            let created_at = now - age;
            let report = StoredReport { sequence, created_at, payload: payload.clone(), times_sent: 0 };
            self.reports.insert(key, report);
            new_reports.push(ReceivedReport { channel, origin, sequence, age, payload });
        }
        Ok(new_reports)
    }

    /// Makes room for the report with this key if the maximum is reached. Reports of this process are not evicted.
    fn evict_if_full(&mut self, now: Micros, key: ReportKey) {
        if self.reports.len() < MAX_REPORTS || self.reports.contains_key(&key) {
            return;
        }
        let own = self.own_incarnation;
        self.reports.retain(|key, report| key.origin == own || now - report.created_at < SEQUENCE_RETENTION);
        let others = self.reports.iter().filter(|(key, _)| key.origin != own);
        let oldest = others.min_by_key(|(_, report)| report.created_at).map(|(key, _)| *key);
        oldest.filter(|_| self.reports.len() >= MAX_REPORTS).map(|key| self.reports.remove(&key));
    }

    /// Returns the next datagram and its recipient, or `None` if no datagram is due. Reports sent least often come
    /// first, among these the newest. The recipient is selected at random from `members`, the other members.
    pub fn encode_gossip(&mut self, now: Micros, members: &[SocketAddr]) -> Option<OutgoingPayload> {
        if now < self.next_send_at || members.is_empty() {
            return None;
        }
        let lifetime = GossipReports::lifetime(members.len() + 1);
        let is_due = |report: &StoredReport| {
            report.times_sent < SENDS_PER_REPORT && now - report.created_at < lifetime
        };
        let due = self.reports.iter().filter(|(_, report)| is_due(report));
        let mut due: Vec<DueReport> = due.map(|(key, report)| DueReport::new(*key, report)).collect();
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

    /// Returns when the next datagram may be due, or [`Micros::MAX`] if no report is left to be sent.
    pub fn next_change(&self, now: Micros) -> Micros {
        let any_unsent = self.reports.values().any(|report| report.times_sent < SENDS_PER_REPORT);
        if any_unsent { self.next_send_at.max(now) } else { Micros::MAX }
    }

    /// Returns the number of stored reports, including expired ones.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether no report is stored.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}

/// Decodes all reports of a datagram.
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

/// Encodes a report for a datagram. The age is rounded up, so that forwarding a report never reduces its age.
fn encode(now: Micros, key: ReportKey, report: &StoredReport) -> Option<Vec<u8>> {
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
