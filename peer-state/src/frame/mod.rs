//! The frames that carry peer state: a header, a payload in postcard, and an HMAC-SHA-256 that binds the frame to one connection,
//! one direction and one position in it. [`FrameLink`] is fed bytes; it knows no socket, and its nonces are passed in.
//!
//! Both sides first send [`FrameKind::Hello`] with a fresh nonce. All later frames are authenticated over both nonces and a
//! count, so that no frame is accepted twice, on another connection, or in the other direction. Without a common key nothing
//! is sent and nothing accepted.

mod link;

pub use crate::keys::{Key, Keys};
pub use link::{FrameLink, Side};
use std::fmt;

/// The version of the protocol, in each header.
pub const VERSION: u8 = 1;
/// The longest payload; longer state is sent in parts.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 10;
/// The first bytes of each frame.
const MAGIC: [u8; 2] = *b"bk";
/// Magic number, version, kind, number of the key, length of the payload.
const HEADER_BYTES: usize = 2 + 1 + 1 + 4 + 4;
/// An HMAC-SHA-256.
const CODE_BYTES: usize = 32;
const NONCE_BYTES: usize = 16;

/// A random number that is used on one connection only.
pub type Nonce = [u8; NONCE_BYTES];

/// What a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// The sender's nonce.
    Hello,
    /// Requests the receiver's state.
    Request,
    /// A part of the state; more follow.
    Part,
    /// The end of the state, with other providers; or the end of one side of a full exchange.
    Last,
    /// The request is rejected for now: retry after the given number of milliseconds.
    Busy,
    /// A part of a full exchange of the membership.
    MembershipPart,
    /// A kind of a later version: ignored.
    Unknown(u8),
}

impl FrameKind {
    fn to_byte(self) -> u8 {
        match self {
            FrameKind::Hello => 1,
            FrameKind::Request => 2,
            FrameKind::Part => 3,
            FrameKind::Last => 4,
            FrameKind::Busy => 5,
            FrameKind::MembershipPart => 6,
            FrameKind::Unknown(byte) => byte,
        }
    }

    fn from_byte(byte: u8) -> FrameKind {
        match byte {
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

/// Why a connection is closed. `Display` gives the reason for the log; the other side gets none, so that a sender without the key
/// learns nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes do not begin a frame, or the connection has failed before.
    NotAFrame,
    /// Another version of the protocol.
    Version(u8),
    /// A payload, or a number of parts, beyond the limit.
    TooLong,
    /// The frame is sealed with a key that this side does not have.
    UnknownKey,
    /// Forged, replayed, or out of its position.
    WrongCode,
    /// A frame that the protocol does not allow here.
    OutOfOrder,
    /// The payload cannot be decoded.
    InvalidPayload,
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FrameError::NotAFrame => formatter.write_str("no-frame"),
            FrameError::Version(version) => write!(formatter, "version-{version}"),
            FrameError::TooLong => formatter.write_str("too-long"),
            FrameError::UnknownKey => formatter.write_str("unknown-key"),
            FrameError::WrongCode => formatter.write_str("wrong-code"),
            FrameError::OutOfOrder => formatter.write_str("out-of-order"),
            FrameError::InvalidPayload => formatter.write_str("payload"),
        }
    }
}

impl std::error::Error for FrameError {}

/// A frame that was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// What it is for.
    pub kind: FrameKind,
    /// Its content.
    pub payload: Vec<u8>,
}

/// The header of a frame.
struct Header {
    kind: FrameKind,
    key_id: u32,
    payload_bytes: usize,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.payload_bytes + CODE_BYTES);
        bytes.extend(MAGIC);
        bytes.extend([VERSION, self.kind.to_byte()]);
        bytes.extend(self.key_id.to_be_bytes());
        bytes.extend((self.payload_bytes as u32).to_be_bytes());
        bytes
    }

    /// Reads a header whose magic number was checked.
    fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<Header, FrameError> {
        let [_, _, version, kind, key0, key1, key2, key3, length0, length1, length2, length3] = *bytes;
        if version != VERSION {
            return Err(FrameError::Version(version));
        }
        let kind = FrameKind::from_byte(kind);
        let payload_bytes = u32::from_be_bytes([length0, length1, length2, length3]) as usize;
        let is_wrong_hello = kind == FrameKind::Hello && payload_bytes != NONCE_BYTES;
        if payload_bytes > MAX_PAYLOAD_BYTES || is_wrong_hello {
            return Err(FrameError::TooLong);
        }
        Ok(Header { kind, key_id: u32::from_be_bytes([key0, key1, key2, key3]), payload_bytes })
    }
}
