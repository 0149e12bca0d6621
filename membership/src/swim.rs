//! foca under our identities: how it is set, what it wants done, and a look at what came before any of it counts.

use crate::{MAX_MEMBERS, MAX_PAYLOAD_BYTES, Peer};
use foca::{Codec, Config, Header, Member, Message, Notification, PeriodicParams, PostcardCodec};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The digest that goes before each payload of foca's.
pub const DIGEST_BYTES: usize = 8;

/// Why what came was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadError {
    /// It cannot be read.
    Malformed,
    /// Its sender says that it is another boot than the one that sealed it.
    WrongSender,
    /// It is from this process, or one that says so.
    FromSelf,
    /// It names more members than are kept.
    TooManyMembers,
    /// It is for an earlier boot or epoch of this process.
    WrongRecipient,
}

impl PayloadError {
    /// The word for logs and metrics.
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
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            PayloadError::Malformed => "the payload cannot be decoded",
            PayloadError::WrongSender => "the payload names another sender than the one that sealed it",
            PayloadError::FromSelf => "the payload claims to come from this process",
            PayloadError::TooManyMembers => "the payload names more members than are kept",
            PayloadError::WrongRecipient => "the payload is for another incarnation or epoch of this process",
        })
    }
}

impl std::error::Error for PayloadError {}

pub type Timer = foca::Timer<Peer>;

/// What foca wants done.
#[derive(Default)]
pub struct FocaOutput {
    pub datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    pub timers: Vec<(Timer, Duration)>,
    pub notifications: Vec<foca::OwnedNotification<Peer>>,
}

impl foca::Runtime<Peer> for &mut FocaOutput {
    fn notify(&mut self, told: Notification<'_, Peer>) {
        self.notifications.push(told.to_owned());
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.datagrams.push_back((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer, after: Duration) {
        self.timers.push((timer, after));
    }
}

fn params(every: u64, members: usize) -> Option<PeriodicParams> {
    let num_members = NonZeroUsize::new(members)?;
    Some(PeriodicParams { frequency: Duration::from_millis(every), num_members })
}

pub fn config() -> Config {
    Config {
        probe_period: Duration::from_millis(500),
        probe_rtt: Duration::from_millis(200),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        // Ten tellings reach all of thousands; with seven in ten gone only three in ten of those told are there to hear.
        max_transmissions: NonZeroU8::MIN.saturating_add(32),
        suspect_to_down_after: Duration::from_millis(if crate::faulty!(SuspectsAreGone) { 1 } else { 2_000 }),
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: NonZeroUsize::MIN.saturating_add(MAX_PAYLOAD_BYTES - DIGEST_BYTES - 1),
        notify_down_members: true,
        // A feed of another's members now and then mends what gossip missed.
        periodic_announce: params(2_000, 1),
        // Names are tried here, by their own turn.
        periodic_announce_to_down_members: None,
        periodic_gossip: params(200, 3),
    }
}

/// A look at all of it before any of it counts: it is for this boot and epoch, from the boot that sealed it, whole, and names no
/// more members than are kept. `known`: those at this address count already.
pub fn validate(
    own: &Peer,
    boot: u64,
    mut data: &[u8],
    kept: usize,
    known: impl Fn(SocketAddr) -> bool,
) -> Result<Header<Peer>, PayloadError> {
    let header: Header<Peer> = PostcardCodec.decode_header(&mut data).map_err(|_| PayloadError::Malformed)?;
    if header.src.incarnation != boot {
        return Err(PayloadError::WrongSender);
    }
    if header.src.address == own.address || header.src.incarnation == own.incarnation {
        return Err(PayloadError::FromSelf);
    }
    if header.dst != *own && !(header.message == Message::Announce && header.dst.address == own.address) {
        return Err(PayloadError::WrongRecipient);
    }
    let mut all = kept + 1;
    if let Some((count, mut rest)) = data.split_first_chunk::<2>() {
        for _ in 0..u16::from_be_bytes(*count) {
            let member: Member<Peer> =
                PostcardCodec.decode_member(&mut rest).map_err(|_| PayloadError::Malformed)?;
            all += usize::from(!known(member.id().address));
        }
        if !rest.is_empty() {
            return Err(PayloadError::Malformed);
        }
    }
    if all > MAX_MEMBERS && !crate::faulty!(TakesAll) {
        Err(PayloadError::TooManyMembers)
    } else {
        Ok(header)
    }
}
