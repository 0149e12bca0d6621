//! The datagrams that proxies send one another: a header, a payload, and an HMAC-SHA-256 with the same keys
//! as the frames. The module does no I/O and reads no clock: callers pass the time.
//!
//! Each datagram carries the incarnation of its sender and a sequence number. A receiver accepts each
//! sequence number of an incarnation once. It rejects numbers that are [`REPLAY_WINDOW`] or more behind the
//! newest, and limits the rate of each incarnation. The payload is authenticated, but not encrypted.

use crate::Micros;
use crate::keys::Keys;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// The maximum length of a datagram with its header and MAC. A datagram of this length is not fragmented on
/// usual links.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The magic number at the start of each datagram.
const MAGIC: [u8; 2] = *b"bd";
/// The protocol version in each header.
const VERSION: u8 = 1;
// The offsets of the header's fields.
const VERSION_AT: usize = 2;
const KEY_ID_AT: usize = 3;
const INCARNATION_AT: usize = 7;
const SEQUENCE_AT: usize = 15;
const HEADER_BYTES: usize = 23;
/// The length of an HMAC-SHA-256.
const MAC_BYTES: usize = 32;
/// The maximum length of a payload.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - MAC_BYTES;
/// A datagram is rejected if its sequence number is this far behind the newest of its sender.
pub const REPLAY_WINDOW: u64 = 64;
/// The maximum number of tracked senders. The sender that has been silent longest is evicted first.
const MAX_SENDERS: usize = 4_096;
/// The maximum number of datagrams per second from one sender, and the maximum burst.
const DATAGRAMS_PER_SECOND: f64 = 400.0;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// The bytes are not a datagram of this protocol, or the datagram is truncated or too long.
    Malformed,
    /// The datagram has another protocol version.
    Version,
    /// The datagram was sealed with a key that this process does not have.
    UnknownKey,
    /// The MAC does not match: the datagram was forged or changed.
    InvalidMac,
    /// The datagram was already accepted, or its sequence number is too far behind.
    Replayed,
    /// The sender exceeds its rate.
    RateLimited,
}

impl DatagramError {
    /// The label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DatagramError::Malformed => "no-datagram",
            DatagramError::Version => "version",
            DatagramError::UnknownKey => "unknown-key",
            DatagramError::InvalidMac => "wrong-code",
            DatagramError::Replayed => "again",
            DatagramError::RateLimited => "flood",
        }
    }
}

impl std::fmt::Display for DatagramError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(match self {
            DatagramError::Malformed => "not a datagram of this protocol",
            DatagramError::Version => "unsupported protocol version of a datagram",
            DatagramError::UnknownKey => "datagram sealed with an unknown key",
            DatagramError::InvalidMac => "datagram with an invalid MAC",
            DatagramError::Replayed => "datagram replayed, or behind the replay window",
            DatagramError::RateLimited => "sender exceeded its rate of datagrams",
        })
    }
}

impl std::error::Error for DatagramError {}

/// The replay window and the rate limit of one sender incarnation.
struct Sender {
    newest_sequence: u64,
    /// The replay window: bit `n` is set if sequence number `newest_sequence - n` was accepted.
    accepted_bits: u64,
    /// The datagrams that may be accepted now.
    rate_tokens: f64,
    /// The time at which `rate_tokens` was updated.
    updated_at: Micros,
}

impl Sender {
    fn new(sequence: u64, now: Micros) -> Sender {
        Sender {
            newest_sequence: sequence,
            accepted_bits: 0,
            rate_tokens: DATAGRAMS_PER_SECOND,
            updated_at: now,
        }
    }

    /// Accepts a sequence number if it is new and within the rate limit.
    fn admit(&mut self, now: Micros, sequence: u64) -> Result<(), DatagramError> {
        let seconds = (now - self.updated_at).max(0) as f64 / 1e6;
        self.rate_tokens = (self.rate_tokens + seconds * DATAGRAMS_PER_SECOND).min(DATAGRAMS_PER_SECOND);
        self.updated_at = now.max(self.updated_at);
        if self.rate_tokens < 1.0 {
            return Err(DatagramError::RateLimited);
        }
        if sequence > self.newest_sequence {
            let shift = u32::try_from(sequence - self.newest_sequence).unwrap_or(u64::BITS);
            self.accepted_bits = self.accepted_bits.checked_shl(shift).unwrap_or(0);
            self.newest_sequence = sequence;
        }
        let behind = self.newest_sequence - sequence;
        if behind >= REPLAY_WINDOW || self.accepted_bits & (1 << behind) != 0 {
            return Err(DatagramError::Replayed);
        }
        self.accepted_bits |= 1 << behind;
        self.rate_tokens -= 1.0;
        Ok(())
    }
}

/// A received datagram with a valid MAC, a new sequence number and a sender within its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The random number that identifies the process that sent the datagram.
    pub sender_incarnation: u64,
    /// The content, without header and MAC.
    pub payload: &'a [u8],
}

/// Seals the datagrams that this process sends, and opens those that it receives. Sealing adds a header and a
/// MAC to a payload. Opening verifies and removes them.
pub struct DatagramCodec {
    keys: Keys,
    incarnation: u64,
    last_sequence: u64,
    /// The replay windows and rate limits of the senders, by incarnation.
    senders: BTreeMap<u64, Sender>,
}

impl DatagramCodec {
    /// Creates the codec of this process. `incarnation` is a random number that identifies the process.
    pub fn new(keys: Keys, incarnation: u64) -> DatagramCodec {
        DatagramCodec { keys, incarnation, last_sequence: 0, senders: BTreeMap::new() }
    }

    /// Returns the next datagram with this payload, or `None` if the payload exceeds [`MAX_PAYLOAD_BYTES`].
    pub fn seal(&mut self, payload: &[u8]) -> Option<Vec<u8>> {
        let key = self.keys.sealing_key()?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        self.last_sequence += 1;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + payload.len() + MAC_BYTES);
        datagram.extend(MAGIC);
        datagram.push(VERSION);
        datagram.extend(key.id.to_be_bytes());
        datagram.extend(self.incarnation.to_be_bytes());
        datagram.extend(self.last_sequence.to_be_bytes());
        datagram.extend(payload);
        let mac = Hmac::<Sha256>::new_from_slice(&key.secret).ok()?.chain_update(&datagram);
        datagram.extend(mac.finalize().into_bytes());
        Some(datagram)
    }

    /// Authenticates a datagram and returns its content.
    ///
    /// # Errors
    ///
    /// Returns why the datagram was dropped.
    pub fn open<'a>(&mut self, now: Micros, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramError> {
        let is_possible_length = (HEADER_BYTES + MAC_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len());
        if !is_possible_length || datagram[..MAGIC.len()] != MAGIC {
            return Err(DatagramError::Malformed);
        }
        if datagram[VERSION_AT] != VERSION {
            return Err(DatagramError::Version);
        }
        let (sealed, received_mac) = datagram.split_at(datagram.len() - MAC_BYTES);
        let u64_at = |at: usize| sealed[at..].first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes));
        let key_id = sealed[KEY_ID_AT..].first_chunk().map_or(0, |bytes| u32::from_be_bytes(*bytes));
        let secret = self.keys.secret(key_id).ok_or(DatagramError::UnknownKey)?;
        let mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| DatagramError::UnknownKey)?;
        mac.chain_update(sealed).verify_slice(received_mac).map_err(|_| DatagramError::InvalidMac)?;
        let (sender_incarnation, sequence) = (u64_at(INCARNATION_AT), u64_at(SEQUENCE_AT));
        self.sender(now, sender_incarnation, sequence).admit(now, sequence)?;
        Ok(OpenedDatagram { sender_incarnation, payload: &sealed[HEADER_BYTES..] })
    }

    /// Returns the entry of a sender. If the table is full, a new sender replaces the one that has been
    /// silent longest.
    fn sender(&mut self, now: Micros, incarnation: u64, sequence: u64) -> &mut Sender {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&incarnation) {
            let oldest = self.senders.iter().min_by_key(|(_, sender)| sender.updated_at);
            let oldest = oldest.map(|(incarnation, _)| *incarnation);
            oldest.map(|oldest| self.senders.remove(&oldest));
        }
        self.senders.entry(incarnation).or_insert_with(|| Sender::new(sequence, now))
    }
}
