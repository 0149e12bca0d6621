//! Datagrams among proxies: a head, a payload, and a code by HMAC-SHA-256 under the keys of the frames. A machine without
//! socket or clock; times are handed in.
//!
//! Each carries the boot of its sender and a count. A receiver takes no count of a boot twice, and none that is more than
//! [`WINDOW`] behind the newest; each boot has a bucket of datagrams a second. What is refused changes nothing but a count.

use crate::Micros;
use crate::frame::Keys;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// The longest datagram, head and code included: it fits into one packet on any link.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
const MAGIC: [u8; 2] = *b"bd";
const VERSION: u8 = 1;
/// Magic, version, key, sender's boot, count.
const HEAD: usize = 2 + 1 + 4 + 8 + 8;
const CODE: usize = 32;
/// The longest payload.
pub const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD - CODE;
/// How far behind the newest of its boot a datagram may come.
pub const REPLAY_WINDOW: u64 = 64;
/// Senders that are kept apart; the one heard longest ago goes first.
const MAX_SENDERS: usize = 4_096;
/// What one sender may send in a second, and save up.
const RATE: f64 = 400.0;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// No datagram of ours, or cut short, or too long.
    Malformed,
    Version,
    UnknownKey,
    WrongCode,
    /// It came before, or far too late.
    Replayed,
    /// More than a sender may send.
    RateLimited,
}

impl DatagramError {
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

/// What one boot of a sender has sent.
struct Sender {
    newest: u64,
    /// Bit n: newest - n has come.
    received_bits: u64,
    tokens: f64,
    updated_at: Micros,
}

/// Seals what this boot sends, opens what comes.
pub struct DatagramCodec {
    keys: Keys,
    incarnation: u64,
    datagrams_sealed: u64,
    senders: BTreeMap<u64, Sender>,
}

impl DatagramCodec {
    pub fn new(keys: Keys, boot: u64) -> DatagramCodec {
        DatagramCodec { keys, incarnation: boot, datagrams_sealed: 0, senders: BTreeMap::new() }
    }

    /// None for a payload that is too long.
    pub fn seal(&mut self, payload: &[u8]) -> Option<Vec<u8>> {
        let (id, secret) = self.keys.sealing_key();
        if payload.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        self.datagrams_sealed += 1;
        let mut datagram = Vec::with_capacity(HEAD + payload.len() + CODE);
        datagram.extend(MAGIC);
        datagram.push(VERSION);
        datagram.extend(id.to_be_bytes());
        datagram.extend(self.incarnation.to_be_bytes());
        datagram.extend(self.datagrams_sealed.to_be_bytes());
        datagram.extend(payload);
        let code = Hmac::<Sha256>::new_from_slice(secret).ok()?.chain_update(&datagram);
        datagram.extend(code.finalize().into_bytes());
        Some(datagram)
    }

    /// The sender's boot, and what it sent.
    pub fn open<'a>(&mut self, now: Micros, datagram: &'a [u8]) -> Result<(u64, &'a [u8]), DatagramError> {
        if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < HEAD + CODE || datagram[..2] != MAGIC {
            return Err(DatagramError::Malformed);
        }
        if datagram[2] != VERSION {
            return Err(DatagramError::Version);
        }
        let (coded, code) = datagram.split_at(datagram.len() - CODE);
        let word = |at: usize| coded[at..].first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b));
        let id = coded[3..].first_chunk::<4>().map_or(0, |b| u32::from_be_bytes(*b));
        let secret = self.keys.get(id).ok_or(DatagramError::UnknownKey)?;
        let mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| DatagramError::UnknownKey)?;
        mac.chain_update(coded).verify_slice(code).map_err(|_| DatagramError::WrongCode)?;
        let (boot, count) = (word(7), word(15));
        self.admit(now, boot, count)?;
        Ok((boot, &coded[HEAD..]))
    }

    fn admit(&mut self, now: Micros, boot: u64, count: u64) -> Result<(), DatagramError> {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&boot) {
            let oldest = self.senders.iter().min_by_key(|(_, s)| s.updated_at).map(|(boot, _)| *boot);
            oldest.map(|oldest| self.senders.remove(&oldest));
        }
        let first = Sender { newest: count, received_bits: 0, tokens: RATE, updated_at: now };
        let s = self.senders.entry(boot).or_insert(first);
        s.tokens = (s.tokens + (now - s.updated_at).max(0) as f64 / 1e6 * RATE).min(RATE);
        s.updated_at = now.max(s.updated_at);
        if s.tokens < 1.0 {
            return Err(DatagramError::RateLimited);
        }
        if count > s.newest {
            s.received_bits =
                s.received_bits.checked_shl(u32::try_from(count - s.newest).unwrap_or(64)).unwrap_or(0);
            s.newest = count;
        }
        let behind = s.newest - count;
        if behind >= REPLAY_WINDOW || s.received_bits & (1 << behind) != 0 {
            return Err(DatagramError::Replayed);
        }
        s.received_bits |= 1 << behind;
        s.tokens -= 1.0;
        Ok(())
    }
}
