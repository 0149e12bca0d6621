//! Interface to `foca`: its configuration, its output, and the validation of a payload before foca applies it.

use crate::{MAX_MEMBERS, MAX_PAYLOAD_BYTES, Peer};
use birchreach_fault_injection::fault_injected;
use foca::{Codec, Config, Header, Member, Message, Notification, PeriodicParams, PostcardCodec};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Size of the digest of the sender's view, which precedes each foca payload.
pub(crate) const DIGEST_BYTES: usize = 8;
/// Interval between probes. Each probes one member.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// A probe that is not answered within this time is repeated through other members.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of members that repeat an unanswered probe.
const INDIRECT_PROBES: usize = 3;
/// Number of times that an update is gossiped. About ten are enough to reach thousands of members. The others allow
/// for a crash of 70% of the members, after which most recipients of an update are down.
const MAX_TRANSMISSIONS: u8 = 33;
/// A suspected member that does not refute the suspicion within this time is considered failed.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Suspicion timeout while the fault `SuspectsRemovedImmediately` is injected.
const INJECTED_SUSPICION_TIMEOUT: Duration = Duration::from_millis(1);
/// Time for which the record of a failed member is kept.
const FAILED_MEMBER_RETENTION: Duration = Duration::from_secs(600);
/// Interval at which this process requests the members known to another member. This repairs updates that gossip
/// did not deliver.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Number of members asked for their members at each interval.
const ANNOUNCE_RECIPIENTS: usize = 1;
/// Interval at which updates are gossiped.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Number of members that receive updates at each interval.
const GOSSIP_RECIPIENTS: usize = 3;

/// A payload to be sent in an authenticated datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPayload {
    /// Address to send the datagram to.
    pub recipient: SocketAddr,
    /// Content of the datagram, at most [`MAX_PAYLOAD_BYTES`].
    pub payload: Vec<u8>,
}

/// Reason for rejecting a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadError {
    /// The payload cannot be decoded.
    Malformed,
    /// The sender in the payload differs from the sender in the datagram's header.
    WrongSender,
    /// The sender in the payload has the address or the incarnation of this process.
    FromSelf,
    /// The payload would increase the number of members beyond [`MAX_MEMBERS`].
    TooManyMembers,
    /// The payload is addressed to another process, or to another incarnation or epoch of this process.
    WrongRecipient,
}

impl PayloadError {
    /// Returns the value of the reason in logs and metrics.
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
            PayloadError::WrongSender => {
                "the sender in the payload differs from the sender in the datagram's header"
            }
            PayloadError::FromSelf => "the sender in the payload is this process",
            PayloadError::TooManyMembers => "the payload exceeds the maximum number of members",
            PayloadError::WrongRecipient => {
                "the payload is addressed to another process, incarnation or epoch"
            }
        })
    }
}

impl std::error::Error for PayloadError {}

pub(crate) type Timer = foca::Timer<Peer>;

/// A timer that foca requested.
pub(crate) struct RequestedTimer {
    pub(crate) timer: Timer,
    pub(crate) after: Duration,
}

/// Output of foca that is not applied yet.
#[derive(Default)]
pub(crate) struct FocaOutput {
    /// Payloads without the preceding digest.
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

/// Converts a constant greater than zero to the type that foca requires.
const fn nonzero(value: usize) -> NonZeroUsize {
    NonZeroUsize::MIN.saturating_add(value - 1)
}

fn periodic(interval: Duration, recipients: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency: interval, num_members: nonzero(recipients) })
}

/// Returns foca's configuration, which does not depend on the fleet's size.
pub(crate) fn config() -> Config {
    let remove_suspects = fault_injected!(SuspectsRemovedImmediately);
    Config {
        probe_period: PROBE_INTERVAL,
        probe_rtt: PROBE_TIMEOUT,
        num_indirect_probes: nonzero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::MIN.saturating_add(MAX_TRANSMISSIONS - 1),
        suspect_to_down_after: if remove_suspects { INJECTED_SUSPICION_TIMEOUT } else { SUSPICION_TIMEOUT },
        remove_down_after: Some(FAILED_MEMBER_RETENTION),
        max_packet_size: nonzero(MAX_PAYLOAD_BYTES - DIGEST_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL, ANNOUNCE_RECIPIENTS),
        // KnownAddresses retries the addresses of failed members.
        periodic_announce_to_down_members: None,
        periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_RECIPIENTS),
    }
}

/// Validates a payload before foca applies it.
///
/// The payload must be complete, name `sender_incarnation` as its sender and be addressed to this incarnation and
/// epoch. An announcement may be addressed to this process by address only. The payload must not increase the number
/// of members beyond [`MAX_MEMBERS`]: `stored_members` is the current number, and `is_known` returns whether a member
/// in the view has the given address.
pub(crate) fn validate(
    own: &Peer,
    sender_incarnation: u64,
    mut data: &[u8],
    stored_members: usize,
    is_known: impl Fn(SocketAddr) -> bool,
) -> Result<Header<Peer>, PayloadError> {
    let header: Header<Peer> = PostcardCodec.decode_header(&mut data).map_err(|_| PayloadError::Malformed)?;
    if header.src.incarnation != sender_incarnation {
        return Err(PayloadError::WrongSender);
    }
    if header.src.address == own.address || header.src.incarnation == own.incarnation {
        return Err(PayloadError::FromSelf);
    }
    let is_announcement = header.message == Message::Announce && header.dst.address == own.address;
    if header.dst != *own && !is_announcement {
        return Err(PayloadError::WrongRecipient);
    }
    let mut members = stored_members + 1;
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
