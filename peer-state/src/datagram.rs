//! Datagrams among proxies: a header, a payload, and an HMAC-SHA-256 under the keys of the frames. Knows no socket and no clock;
//! times are passed in.
//!
//! Each datagram carries the incarnation of its sender and a sequence number. A receiver accepts no number of an incarnation
//! twice, and none that is [`REPLAY_WINDOW`] or more behind the newest; the rate of each incarnation is limited.

use crate::Micros;
use crate::keys::Keys;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// The longest datagram, header and code included: it is not fragmented on usual links.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The first bytes of each datagram.
const MAGIC: [u8; 2] = *b"bd";
/// The version of the protocol, in each header.
const VERSION: u8 = 1;
// Where the header's fields begin.
const VERSION_AT: usize = 2;
const KEY_ID_AT: usize = 3;
const INCARNATION_AT: usize = 7;
const SEQUENCE_AT: usize = 15;
const HEADER_BYTES: usize = 23;
/// An HMAC-SHA-256.
const CODE_BYTES: usize = 32;
/// The longest payload.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - CODE_BYTES;
/// A datagram this far behind the newest of its sender is rejected.
pub const REPLAY_WINDOW: u64 = 64;
/// Senders that are tracked; the one silent for longest is removed first.
const MAX_SENDERS: usize = 4_096;
/// Datagrams that are accepted from one sender in a second, and in a burst.
const DATAGRAMS_PER_SECOND: f64 = 400.0;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// Not a datagram of this protocol, truncated, or too long.
    Malformed,
    /// Another version of the protocol.
    Version,
    /// It is sealed with a key that this side does not have.
    UnknownKey,
    /// Forged or changed.
    WrongCode,
    /// It was accepted before, or is too far behind.
    Replayed,
    /// Its sender exceeds the rate.
    RateLimited,
}

impl DatagramError {
    /// The reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DatagramError::Malformed => "no-datagram",
            DatagramError::Version => "version",
            DatagramError::UnknownKey => "unknown-key",
            DatagramError::WrongCode => "wrong-code",
            DatagramError::Replayed => "again",
            DatagramError::RateLimited => "flood",
        }
    }
}

impl std::fmt::Display for DatagramError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(match self {
            DatagramError::Malformed => "not a datagram of this protocol",
            DatagramError::Version => "a datagram of another version",
            DatagramError::UnknownKey => "a datagram sealed with an unknown key",
            DatagramError::WrongCode => "a datagram with a wrong code",
            DatagramError::Replayed => "a datagram that was accepted before or is too late",
            DatagramError::RateLimited => "more datagrams than a sender may send",
        })
    }
}

impl std::error::Error for DatagramError {}

/// What was received of one incarnation of a sender.
struct Sender {
    newest_sequence: u64,
    /// A set bit means that the sequence number was received which is as much smaller than `newest_sequence` as the bit's position.
    received_bits: u64,
    /// How many datagrams may be accepted at once.
    rate_tokens: f64,
    /// When `rate_tokens` was updated.
    updated_at: Micros,
}

impl Sender {
    fn new(sequence: u64, now: Micros) -> Sender {
        Sender {
            newest_sequence: sequence,
            received_bits: 0,
            rate_tokens: DATAGRAMS_PER_SECOND,
            updated_at: now,
        }
    }

    /// Accepts a sequence number once, as far as the rate allows.
    fn admit(&mut self, now: Micros, sequence: u64) -> Result<(), DatagramError> {
        let seconds = (now - self.updated_at).max(0) as f64 / 1e6;
        self.rate_tokens = (self.rate_tokens + seconds * DATAGRAMS_PER_SECOND).min(DATAGRAMS_PER_SECOND);
        self.updated_at = now.max(self.updated_at);
        if self.rate_tokens < 1.0 {
            return Err(DatagramError::RateLimited);
        }
        if sequence > self.newest_sequence {
            let shift = u32::try_from(sequence - self.newest_sequence).unwrap_or(u64::BITS);
            self.received_bits = self.received_bits.checked_shl(shift).unwrap_or(0);
            self.newest_sequence = sequence;
        }
        let behind = self.newest_sequence - sequence;
        if behind >= REPLAY_WINDOW || self.received_bits & (1 << behind) != 0 {
            return Err(DatagramError::Replayed);
        }
        self.received_bits |= 1 << behind;
        self.rate_tokens -= 1.0;
        Ok(())
    }
}

/// A datagram that was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The incarnation of its sender.
    pub sender_incarnation: u64,
    /// Its content.
    pub payload: &'a [u8],
}

/// Seals the datagrams that this incarnation sends, and opens those that it receives.
pub struct DatagramCodec {
    keys: Keys,
    incarnation: u64,
    last_sequence: u64,
    /// By incarnation.
    senders: BTreeMap<u64, Sender>,
}

impl DatagramCodec {
    /// Nothing was sent or received. `incarnation` is random.
    pub fn new(keys: Keys, incarnation: u64) -> DatagramCodec {
        DatagramCodec { keys, incarnation, last_sequence: 0, senders: BTreeMap::new() }
    }

    /// The next datagram; none for a payload that is too long.
    pub fn seal(&mut self, payload: &[u8]) -> Option<Vec<u8>> {
        let key = self.keys.sealing_key()?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        self.last_sequence += 1;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + payload.len() + CODE_BYTES);
        datagram.extend(MAGIC);
        datagram.push(VERSION);
        datagram.extend(key.id.to_be_bytes());
        datagram.extend(self.incarnation.to_be_bytes());
        datagram.extend(self.last_sequence.to_be_bytes());
        datagram.extend(payload);
        let code = Hmac::<Sha256>::new_from_slice(&key.secret).ok()?.chain_update(&datagram);
        datagram.extend(code.finalize().into_bytes());
        Some(datagram)
    }

    /// Checks a datagram and returns its content.
    ///
    /// # Errors
    ///
    /// The reason why it is dropped.
    pub fn open<'a>(&mut self, now: Micros, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramError> {
        let is_possible_length = (HEADER_BYTES + CODE_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len());
        if !is_possible_length || datagram[..MAGIC.len()] != MAGIC {
            return Err(DatagramError::Malformed);
        }
        if datagram[VERSION_AT] != VERSION {
            return Err(DatagramError::Version);
        }
        let (sealed, code) = datagram.split_at(datagram.len() - CODE_BYTES);
        let u64_at = |at: usize| sealed[at..].first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
        let key_id = sealed[KEY_ID_AT..].first_chunk().map_or(0, |bytes| u32::from_be_bytes(*bytes));
        let secret = self.keys.secret(key_id).ok_or(DatagramError::UnknownKey)?;
        let mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| DatagramError::UnknownKey)?;
        mac.chain_update(sealed).verify_slice(code).map_err(|_| DatagramError::WrongCode)?;
        let (sender_incarnation, sequence) = (u64_at(INCARNATION_AT), u64_at(SEQUENCE_AT));
        self.sender(now, sender_incarnation, sequence).admit(now, sequence)?;
        Ok(OpenedDatagram { sender_incarnation, payload: &sealed[HEADER_BYTES..] })
    }

    /// The entry of a sender; for a new one the sender that was silent for longest is evicted if there are too many.
    fn sender(&mut self, now: Micros, incarnation: u64, sequence: u64) -> &mut Sender {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&incarnation) {
            let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.updated_at);
            let oldest = oldest.map(|(incarnation, _)| *incarnation);
            oldest.map(|oldest| self.senders.remove(&oldest));
        }
        self.senders.entry(incarnation).or_insert_with(|| Sender::new(sequence, now))
    }
}
