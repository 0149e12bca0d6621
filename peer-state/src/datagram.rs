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
pub const MOST: usize = 1_400;
const MAGIC: [u8; 2] = *b"bd";
const VERSION: u8 = 1;
/// Magic, version, key, sender's boot, count.
const HEAD: usize = 2 + 1 + 4 + 8 + 8;
const CODE: usize = 32;
/// The longest payload.
pub const PAYLOAD: usize = MOST - HEAD - CODE;
/// How far behind the newest of its boot a datagram may come.
pub const WINDOW: u64 = 64;
/// Senders that are kept apart; the one heard longest ago goes first.
const MOST_SENDERS: usize = 4_096;
/// What one sender may send in a second, and save up.
const RATE: f64 = 400.0;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    /// No datagram of ours, or cut short, or too long.
    Form,
    Version,
    UnknownKey,
    Code,
    /// It came before, or far too late.
    Again,
    /// More than a sender may send.
    Flood,
}

impl Dropped {
    pub fn word(self) -> &'static str {
        match self {
            Dropped::Form => "no-datagram",
            Dropped::Version => "version",
            Dropped::UnknownKey => "unknown-key",
            Dropped::Code => "wrong-code",
            Dropped::Again => "again",
            Dropped::Flood => "flood",
        }
    }
}

/// What one boot of a sender has sent.
struct Sender {
    newest: u64,
    /// Bit n: newest - n has come.
    came: u64,
    left: f64,
    at: Micros,
}

/// Seals what this boot sends, opens what comes.
pub struct Datagrams {
    keys: Keys,
    boot: u64,
    sealed: u64,
    senders: BTreeMap<u64, Sender>,
}

impl Datagrams {
    pub fn new(keys: Keys, boot: u64) -> Datagrams {
        Datagrams { keys, boot, sealed: 0, senders: BTreeMap::new() }
    }

    /// None for a payload that is too long.
    pub fn seal(&mut self, payload: &[u8]) -> Option<Vec<u8>> {
        let (id, secret) = self.keys.first();
        if payload.len() > PAYLOAD {
            return None;
        }
        self.sealed += 1;
        let mut datagram = Vec::with_capacity(HEAD + payload.len() + CODE);
        datagram.extend(MAGIC);
        datagram.push(VERSION);
        datagram.extend(id.to_be_bytes());
        datagram.extend(self.boot.to_be_bytes());
        datagram.extend(self.sealed.to_be_bytes());
        datagram.extend(payload);
        let code = Hmac::<Sha256>::new_from_slice(secret).ok()?.chain_update(&datagram);
        datagram.extend(code.finalize().into_bytes());
        Some(datagram)
    }

    /// The sender's boot, and what it sent.
    pub fn open<'a>(&mut self, now: Micros, datagram: &'a [u8]) -> Result<(u64, &'a [u8]), Dropped> {
        if datagram.len() > MOST || datagram.len() < HEAD + CODE || datagram[..2] != MAGIC {
            return Err(Dropped::Form);
        }
        if datagram[2] != VERSION {
            return Err(Dropped::Version);
        }
        let (coded, code) = datagram.split_at(datagram.len() - CODE);
        let word = |at: usize| coded[at..].first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b));
        let id = coded[3..].first_chunk::<4>().map_or(0, |b| u32::from_be_bytes(*b));
        let secret = self.keys.get(id).ok_or(Dropped::UnknownKey)?;
        let mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| Dropped::UnknownKey)?;
        mac.chain_update(coded).verify_slice(code).map_err(|_| Dropped::Code)?;
        let (boot, count) = (word(7), word(15));
        self.admit(now, boot, count)?;
        Ok((boot, &coded[HEAD..]))
    }

    fn admit(&mut self, now: Micros, boot: u64, count: u64) -> Result<(), Dropped> {
        if self.senders.len() >= MOST_SENDERS && !self.senders.contains_key(&boot) {
            let oldest = self.senders.iter().min_by_key(|(_, s)| s.at).map(|(boot, _)| *boot);
            oldest.map(|oldest| self.senders.remove(&oldest));
        }
        let first = Sender { newest: count, came: 0, left: RATE, at: now };
        let s = self.senders.entry(boot).or_insert(first);
        s.left = (s.left + (now - s.at).max(0) as f64 / 1e6 * RATE).min(RATE);
        s.at = now.max(s.at);
        if s.left < 1.0 {
            return Err(Dropped::Flood);
        }
        if count > s.newest {
            s.came = s.came.checked_shl(u32::try_from(count - s.newest).unwrap_or(64)).unwrap_or(0);
            s.newest = count;
        }
        let behind = s.newest - count;
        if behind >= WINDOW || s.came & (1 << behind) != 0 {
            return Err(Dropped::Again);
        }
        s.came |= 1 << behind;
        s.left -= 1.0;
        Ok(())
    }
}
