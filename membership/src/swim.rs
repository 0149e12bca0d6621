//! `foca` with our identities: its configuration, the output that it requests, and the validation of a payload before any of it is
//! applied.

use crate::{MAX_MEMBERS, MAX_PAYLOAD_BYTES, Peer};
use birchreach_fault_injection::fault_injected;
use foca::{Codec, Config, Header, Member, Message, Notification, PeriodicParams, PostcardCodec};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The sender's digest, which precedes each payload of foca's.
pub(crate) const DIGEST_BYTES: usize = 8;
/// A member is probed at this interval.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// A probe that is not answered within this time is repeated by way of other members.
const PROBE_ROUND_TRIP: Duration = Duration::from_millis(200);
/// Members that repeat a probe.
const INDIRECT_PROBES: usize = 3;
/// How often an update is gossiped. About ten times reach thousands of members; the rest is for a failure of seven members in
/// ten, when most recipients of an update are down.
const MAX_TRANSMISSIONS: u8 = 33;
/// A suspected member that does not refute the suspicion within this time counts as failed.
const SUSPICION_PERIOD: Duration = Duration::from_millis(2_000);
/// The same with the fault that removes suspects.
const FAULTY_SUSPICION_PERIOD: Duration = Duration::from_millis(1);
/// A failed member's record is kept for this time.
const REMOVE_DOWN_AFTER: Duration = Duration::from_secs(600);
/// The members of a member are requested at this interval, which repairs what gossip missed.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Members whose members are requested at a time.
const ANNOUNCE_RECIPIENTS: usize = 1;
/// Updates are gossiped at this interval.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Members that updates are gossiped to at a time.
const GOSSIP_RECIPIENTS: usize = 3;

/// A payload to be sealed and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPayload {
    /// Where it is sent.
    pub recipient: SocketAddr,
    /// Its content.
    pub payload: Vec<u8>,
}

/// Why a payload was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadError {
    /// It cannot be decoded.
    Malformed,
    /// It names another incarnation as its sender than the one that sealed it.
    WrongSender,
    /// It claims to come from this process.
    FromSelf,
    /// It names more members than are kept.
    TooManyMembers,
    /// It is for another incarnation or epoch of this process.
    WrongRecipient,
}

impl PayloadError {
    /// The reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            PayloadError::Malformed => "form",
            PayloadError::WrongSender => "other-sender",
            PayloadError::FromSelf => "own",
            PayloadError::TooManyMembers => "too-many",
            PayloadError::WrongRecipient => "not-for-us",
        }
    }
}

impl std::fmt::Display for PayloadError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(match self {
            PayloadError::Malformed => "the payload cannot be decoded",
            PayloadError::WrongSender => "the payload names another sender than the one that sealed it",
            PayloadError::FromSelf => "the payload claims to come from this process",
            PayloadError::TooManyMembers => "the payload names more members than are kept",
            PayloadError::WrongRecipient => "the payload is for another incarnation or epoch of this process",
        })
    }
}

impl std::error::Error for PayloadError {}

/// A timer of foca's.
pub(crate) type Timer = foca::Timer<Peer>;

/// A timer that foca requested.
pub(crate) struct RequestedTimer {
    pub(crate) timer: Timer,
    pub(crate) after: Duration,
}

/// What foca requested since it was applied last.
#[derive(Default)]
pub(crate) struct FocaOutput {
    /// Payloads without the digest that precedes them.
    pub(crate) payloads: VecDeque<OutgoingPayload>,
    pub(crate) timers: Vec<RequestedTimer>,
    pub(crate) notifications: Vec<foca::OwnedNotification<Peer>>,
}

impl foca::Runtime<Peer> for &mut FocaOutput {
    fn notify(&mut self, notification: Notification<'_, Peer>) {
        self.notifications.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.payloads.push_back(OutgoingPayload { recipient: to.address, payload: data.to_vec() });
    }

    fn submit_after(&mut self, timer: Timer, after: Duration) {
        self.timers.push(RequestedTimer { timer, after });
    }
}

/// A constant above zero in the type that foca requires.
const fn nonzero(value: usize) -> NonZeroUsize {
    NonZeroUsize::MIN.saturating_add(value - 1)
}

fn periodic(frequency: Duration, recipients: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency, num_members: nonzero(recipients) })
}

/// foca's configuration, the same for fleets of all sizes.
pub(crate) fn config() -> Config {
    let remove_suspects = fault_injected!(SuspectsRemovedAtOnce);
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_ROUND_TRIP,
        num_indirect_probes: nonzero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::MIN.saturating_add(MAX_TRANSMISSIONS - 1),
        suspect_to_down_after: if remove_suspects { FAULTY_SUSPICION_PERIOD } else { SUSPICION_PERIOD },
        remove_down_after: Some(REMOVE_DOWN_AFTER),
        max_packet_size: nonzero(MAX_PAYLOAD_BYTES - DIGEST_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL, ANNOUNCE_RECIPIENTS),
        // KnownAddresses retries them.
        periodic_announce_to_down_members: None,
        periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_RECIPIENTS),
    }
}

/// Checks a payload before any of it is applied: it is for this incarnation and epoch, from the incarnation that sealed it, complete,
/// and names no more members than are kept. `kept` members are in the table, and `is_known` holds for their addresses.
pub(crate) fn validate(
    own: &Peer,
    sender_incarnation: u64,
    mut data: &[u8],
    kept: usize,
    is_known: impl Fn(SocketAddr) -> bool,
) -> Result<Header<Peer>, PayloadError> {
    let header: Header<Peer> = PostcardCodec.decode_header(&mut data).map_err(|_| PayloadError::Malformed)?;
    if header.src.incarnation != sender_incarnation {
        return Err(PayloadError::WrongSender);
    }
    if header.src.address == own.address || header.src.incarnation == own.incarnation {
        return Err(PayloadError::FromSelf);
    }
    let is_announce_here = header.message == Message::Announce && header.dst.address == own.address;
    if header.dst != *own && !is_announce_here {
        return Err(PayloadError::WrongRecipient);
    }
    let mut members = kept + 1;
    if let Some((count, mut rest)) = data.split_first_chunk::<2>() {
        for _ in 0..u16::from_be_bytes(*count) {
            let member: Member<Peer> =
                PostcardCodec.decode_member(&mut rest).map_err(|_| PayloadError::Malformed)?;
            members += usize::from(!is_known(member.id().address));
        }
        if !rest.is_empty() {
            return Err(PayloadError::Malformed);
        }
    }
    if members > MAX_MEMBERS && !fault_injected!(NoMemberLimit) {
        return Err(PayloadError::TooManyMembers);
    }
    Ok(header)
}
