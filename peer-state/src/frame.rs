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
pub const MAX_PAYLOAD_BYTES: usize = 64 << 10;
const MAGIC: [u8; 2] = *b"bk";
/// Magic, version, kind, key, length.
const HEAD: usize = 2 + 1 + 1 + 4 + 4;
const CODE: usize = 32;

pub type Nonce = [u8; 16];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A nonce, and nothing else.
    Hello,
    /// Tell what you know.
    Request,
    /// A part of it; more follow.
    Part,
    /// The last part, and other donors.
    Last,
    /// Not now: come again after so many milliseconds.
    Busy,
    /// A part of a full exchange.
    MembershipPart,
    /// A kind of a later version: passed over.
    Unknown(u8),
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Hello => 1,
            FrameKind::Request => 2,
            FrameKind::Part => 3,
            FrameKind::Last => 4,
            FrameKind::Busy => 5,
            FrameKind::MembershipPart => 6,
            FrameKind::Unknown(code) => code,
        }
    }

    fn of(code: u8) -> FrameKind {
        match code {
            1 => FrameKind::Hello,
            2 => FrameKind::Request,
            3 => FrameKind::Part,
            4 => FrameKind::Last,
            5 => FrameKind::Busy,
            6 => FrameKind::MembershipPart,
            other => FrameKind::Unknown(other),
        }
    }
}

/// Why a connection is of no more use. Told to nobody but the log: who has no key learns nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    NotAFrame,
    Version(u8),
    TooLong,
    UnknownKey,
    /// Forged, replayed, or out of its place.
    WrongCode,
    /// Hello in the middle, or something before it.
    OutOfOrder,
    InvalidPayload,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FrameError::NotAFrame => f.write_str("no-frame"),
            FrameError::Version(version) => write!(f, "version-{version}"),
            FrameError::TooLong => f.write_str("too-long"),
            FrameError::UnknownKey => f.write_str("unknown-key"),
            FrameError::WrongCode => f.write_str("wrong-code"),
            FrameError::OutOfOrder => f.write_str("out-of-order"),
            FrameError::InvalidPayload => f.write_str("payload"),
        }
    }
}

/// Which end of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Requester,
    Provider,
}

/// One connection's framing.
pub struct FrameLink {
    side: Side,
    keys: Keys,
    own_nonce: Nonce,
    peer_nonce: Option<Nonce>,
    /// Frames sealed and opened so far.
    frames_sealed: u64,
    frames_opened: u64,
    input: Vec<u8>,
    broken: bool,
}

impl FrameLink {
    pub fn new(side: Side, keys: Keys, nonce: Nonce) -> FrameLink {
        FrameLink {
            side,
            keys,
            own_nonce: nonce,
            peer_nonce: None,
            frames_sealed: 0,
            frames_opened: 0,
            input: Vec::new(),
            broken: false,
        }
    }

    /// The first frame.
    pub fn hello(&mut self) -> Vec<u8> {
        let nonce = self.own_nonce;
        self.seal(FrameKind::Hello, &nonce)
    }

    fn code(&self, secret: &[u8], by: Side, count: u64, head: &[u8], payload: &[u8]) -> Option<Hmac<Sha256>> {
        let mut code = Hmac::<Sha256>::new_from_slice(secret).ok()?;
        // The asker's nonce comes first, whoever speaks. A Hello is bound to none: it proves nothing but the key.
        let (asker, donor) = match self.side {
            Side::Requester => (Some(self.own_nonce), self.peer_nonce),
            Side::Provider => (self.peer_nonce, Some(self.own_nonce)),
        };
        let nonces = if count == 0 { [[0; 16]; 2] } else { [asker?, donor?] };
        code.update(&[u8::from(by == Side::Provider)]);
        code.update(&nonces[0]);
        code.update(&nonces[1]);
        code.update(&count.to_be_bytes());
        code.update(head);
        code.update(payload);
        Some(code)
    }

    /// Puts a payload into the next frame. Too long a payload, or one before both have said hello, makes an empty one, which
    /// the other side refuses.
    pub fn seal(&mut self, kind: FrameKind, payload: &[u8]) -> Vec<u8> {
        let (id, secret) = self.keys.sealing_key();
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Vec::new();
        }
        let mut frame = Vec::with_capacity(HEAD + payload.len() + CODE);
        frame.extend(MAGIC);
        frame.extend([VERSION, kind.code()]);
        frame.extend(id.to_be_bytes());
        frame.extend((payload.len() as u32).to_be_bytes());
        let Some(code) = self.code(secret, self.side, self.frames_sealed, &frame, payload) else {
            return Vec::new();
        };
        frame.extend(payload);
        frame.extend(code.finalize().into_bytes());
        self.frames_sealed += 1;
        frame
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.broken {
            self.input.extend_from_slice(bytes);
        }
    }

    /// More input may be read.
    pub fn wants_input(&self) -> bool {
        !self.broken && self.input.len() < HEAD + MAX_PAYLOAD_BYTES + CODE
    }

    /// The next frame, once it is whole. After a refusal nothing more comes.
    pub fn next_frame(&mut self) -> Result<Option<(FrameKind, Vec<u8>)>, FrameError> {
        loop {
            match self.open() {
                Ok(Some((FrameKind::Hello, _))) => {}
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
    pub fn is_established(&self) -> bool {
        self.peer_nonce.is_some()
    }

    fn open(&mut self) -> Result<Option<(FrameKind, Vec<u8>)>, FrameError> {
        let begun = self.input.len().min(MAGIC.len());
        if self.broken || self.input[..begun] != MAGIC[..begun] {
            return Err(FrameError::NotAFrame);
        }
        let Some(head) = self.input.first_chunk::<HEAD>().copied() else { return Ok(None) };
        if head[2] != VERSION {
            return Err(FrameError::Version(head[2]));
        }
        let kind = FrameKind::of(head[3]);
        let id = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
        let length = u32::from_be_bytes([head[8], head[9], head[10], head[11]]) as usize;
        if length > MAX_PAYLOAD_BYTES || (kind == FrameKind::Hello && length != 16) {
            return Err(FrameError::TooLong);
        }
        if (kind == FrameKind::Hello) == self.peer_nonce.is_some() {
            return Err(FrameError::OutOfOrder);
        }
        let secret = self.keys.get(id).ok_or(FrameError::UnknownKey)?.to_vec();
        if self.input.len() < HEAD + length + CODE {
            return Ok(None);
        }
        let payload = self.input[HEAD..HEAD + length].to_vec();
        let other = if self.side == Side::Requester { Side::Provider } else { Side::Requester };
        let code =
            self.code(&secret, other, self.frames_opened, &head, &payload).ok_or(FrameError::OutOfOrder)?;
        code.verify_slice(&self.input[HEAD + length..HEAD + length + CODE])
            .map_err(|_| FrameError::WrongCode)?;
        self.input.drain(..HEAD + length + CODE);
        self.frames_opened += 1;
        if kind == FrameKind::Hello {
            self.peer_nonce = payload.first_chunk::<16>().copied();
        }
        Ok(Some((kind, payload)))
    }
}
