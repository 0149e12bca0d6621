//! The frames in which knowledge travels: a header, a payload in postcard, and a code by HMAC-SHA-256 that binds it to one
//! connection, one direction and one place in it. A machine fed bytes; it knows no socket, and its nonces are handed in.
//!
//! Both sides say [`Kind::Hello`] with a fresh nonce first. Everything after is coded over both nonces and a count, so that
//! no frame counts twice, on another connection, or in the other direction. Without a key that both have nothing is told and
//! nothing believed.

pub use crate::keys::Keys;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

pub const VERSION: u8 = 1;
/// The longest payload; longer knowledge goes in parts.
pub const MOST: usize = 64 << 10;
const MAGIC: [u8; 2] = *b"bk";
/// Magic, version, kind, key, length.
const HEAD: usize = 2 + 1 + 1 + 4 + 4;
const CODE: usize = 32;

pub type Nonce = [u8; 16];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A nonce, and nothing else.
    Hello,
    /// Tell what you know.
    Ask,
    /// A part of it; more follow.
    Part,
    /// The last part, and other donors.
    Last,
    /// Not now: come again after so many milliseconds.
    Busy,
    /// A part of a full exchange.
    View,
    /// A kind of a later version: passed over.
    Other(u8),
}

impl Kind {
    fn code(self) -> u8 {
        match self {
            Kind::Hello => 1,
            Kind::Ask => 2,
            Kind::Part => 3,
            Kind::Last => 4,
            Kind::Busy => 5,
            Kind::View => 6,
            Kind::Other(code) => code,
        }
    }

    fn of(code: u8) -> Kind {
        match code {
            1 => Kind::Hello,
            2 => Kind::Ask,
            3 => Kind::Part,
            4 => Kind::Last,
            5 => Kind::Busy,
            6 => Kind::View,
            other => Kind::Other(other),
        }
    }
}

/// Why a connection is of no more use. Told to nobody but the log: who has no key learns nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    NoFrame,
    Version(u8),
    TooLong,
    UnknownKey,
    /// Forged, replayed, or out of its place.
    Code,
    /// Hello in the middle, or something before it.
    Order,
    Payload,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::NoFrame => f.write_str("no-frame"),
            Refused::Version(version) => write!(f, "version-{version}"),
            Refused::TooLong => f.write_str("too-long"),
            Refused::UnknownKey => f.write_str("unknown-key"),
            Refused::Code => f.write_str("wrong-code"),
            Refused::Order => f.write_str("out-of-order"),
            Refused::Payload => f.write_str("payload"),
        }
    }
}

/// Which end of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Asker,
    Donor,
}

/// One connection's framing.
pub struct Link {
    side: Side,
    keys: Keys,
    own: Nonce,
    theirs: Option<Nonce>,
    /// Frames sealed and opened so far.
    sealed: u64,
    opened: u64,
    input: Vec<u8>,
    broken: bool,
}

impl Link {
    pub fn new(side: Side, keys: Keys, nonce: Nonce) -> Link {
        Link { side, keys, own: nonce, theirs: None, sealed: 0, opened: 0, input: Vec::new(), broken: false }
    }

    /// The first frame.
    pub fn hello(&mut self) -> Vec<u8> {
        let nonce = self.own;
        self.seal(Kind::Hello, &nonce)
    }

    fn code(&self, secret: &[u8], by: Side, count: u64, head: &[u8], payload: &[u8]) -> Option<Hmac<Sha256>> {
        let mut code = Hmac::<Sha256>::new_from_slice(secret).ok()?;
        // The asker's nonce comes first, whoever speaks. A Hello is bound to none: it proves nothing but the key.
        let (asker, donor) = match self.side {
            Side::Asker => (Some(self.own), self.theirs),
            Side::Donor => (self.theirs, Some(self.own)),
        };
        let nonces = if count == 0 { [[0; 16]; 2] } else { [asker?, donor?] };
        code.update(&[u8::from(by == Side::Donor)]);
        code.update(&nonces[0]);
        code.update(&nonces[1]);
        code.update(&count.to_be_bytes());
        code.update(head);
        code.update(payload);
        Some(code)
    }

    /// Puts a payload into the next frame. Too long a payload, or one before both have said hello, makes an empty one, which
    /// the other side refuses.
    pub fn seal(&mut self, kind: Kind, payload: &[u8]) -> Vec<u8> {
        let (id, secret) = self.keys.first();
        if payload.len() > MOST {
            return Vec::new();
        }
        let mut frame = Vec::with_capacity(HEAD + payload.len() + CODE);
        frame.extend(MAGIC);
        frame.extend([VERSION, kind.code()]);
        frame.extend(id.to_be_bytes());
        frame.extend((payload.len() as u32).to_be_bytes());
        let Some(code) = self.code(secret, self.side, self.sealed, &frame, payload) else {
            return Vec::new();
        };
        frame.extend(payload);
        frame.extend(code.finalize().into_bytes());
        self.sealed += 1;
        frame
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.broken {
            self.input.extend_from_slice(bytes);
        }
    }

    /// More input may be read.
    pub fn hungry(&self) -> bool {
        !self.broken && self.input.len() < HEAD + MOST + CODE
    }

    /// The next frame, once it is whole. After a refusal nothing more comes.
    pub fn frame(&mut self) -> Result<Option<(Kind, Vec<u8>)>, Refused> {
        loop {
            match self.open() {
                Ok(Some((Kind::Hello, _))) => {}
                Ok(other) => return Ok(other),
                Err(refused) => {
                    self.broken = true;
                    self.input = Vec::new();
                    return Err(refused);
                }
            }
        }
    }

    /// The other side has said hello: frames can be sealed now.
    pub fn greeted(&self) -> bool {
        self.theirs.is_some()
    }

    fn open(&mut self) -> Result<Option<(Kind, Vec<u8>)>, Refused> {
        let begun = self.input.len().min(MAGIC.len());
        if self.broken || self.input[..begun] != MAGIC[..begun] {
            return Err(Refused::NoFrame);
        }
        let Some(head) = self.input.first_chunk::<HEAD>().copied() else { return Ok(None) };
        if head[2] != VERSION {
            return Err(Refused::Version(head[2]));
        }
        let kind = Kind::of(head[3]);
        let id = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
        let length = u32::from_be_bytes([head[8], head[9], head[10], head[11]]) as usize;
        if length > MOST || (kind == Kind::Hello && length != 16) {
            return Err(Refused::TooLong);
        }
        if (kind == Kind::Hello) == self.theirs.is_some() {
            return Err(Refused::Order);
        }
        let secret = self.keys.get(id).ok_or(Refused::UnknownKey)?.to_vec();
        if self.input.len() < HEAD + length + CODE {
            return Ok(None);
        }
        let payload = self.input[HEAD..HEAD + length].to_vec();
        let other = if self.side == Side::Asker { Side::Donor } else { Side::Asker };
        let code = self.code(&secret, other, self.opened, &head, &payload).ok_or(Refused::Order)?;
        code.verify_slice(&self.input[HEAD + length..HEAD + length + CODE]).map_err(|_| Refused::Code)?;
        self.input.drain(..HEAD + length + CODE);
        self.opened += 1;
        if kind == Kind::Hello {
            self.theirs = payload.first_chunk::<16>().copied();
        }
        Ok(Some((kind, payload)))
    }
}
