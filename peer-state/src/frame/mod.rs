//! The frames that carry peer state: a header, a payload (postcard in a state transfer), and an HMAC-SHA-256
//! that binds the frame to its connection, direction and frame number. The payload is authenticated, but not
//! encrypted. [`FrameLink`] does no I/O: callers pass the received bytes and the nonce.
//!
//! Both sides first send [`FrameKind::Hello`] with a fresh nonce. The MAC of each later frame covers both
//! nonces and the frame number, so that a frame is not accepted twice, on another connection, or in the other
//! direction. Two sides without a common key exchange nothing after Hello.

mod link;

pub use crate::keys::{Key, Keys};
pub use link::{FrameLink, Side};
use std::fmt;

/// The protocol version in each header.
pub const VERSION: u8 = 1;
/// The maximum length of a payload. Longer state is sent in parts.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 10;
/// The magic number at the start of each frame.
const MAGIC: [u8; 2] = *b"bk";
/// The lengths of the magic number, version, kind, key identifier and payload length.
const HEADER_BYTES: usize = 2 + 1 + 1 + 4 + 4;
/// The length of an HMAC-SHA-256.
const MAC_BYTES: usize = 32;
const NONCE_BYTES: usize = 16;

/// A random number that is used on one connection only.
pub type Nonce = [u8; NONCE_BYTES];

/// The purpose of a frame and the format of its payload. Every header contains the kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Contains the sender's nonce.
    Hello,
    /// Requests the receiver's state.
    Request,
    /// Contains a part of the state. Another frame follows.
    Part,
    /// Ends a state transfer and names other providers, or ends one side of a full exchange.
    Last,
    /// Rejects the request. The requester may retry after the number of milliseconds in the payload.
    Busy,
    /// Contains a part of a full exchange of the membership.
    MembershipPart,
    /// A kind that a later version defines. Receivers ignore such frames.
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

/// Why a connection is closed. `Display` gives the reason for the log. The other side receives no reason, so
/// that a sender without the key learns nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes do not start with the magic number, or an earlier frame was rejected.
    NotAFrame,
    /// The frame has this other protocol version.
    Version(u8),
    /// The length of a payload or the number of parts is not allowed.
    TooLong,
    /// The frame was sealed with a key that this side does not have.
    UnknownKey,
    /// The MAC does not match: the frame was forged, changed, replayed, or sent out of sequence.
    InvalidMac,
    /// The protocol does not allow this frame at this time.
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
            FrameError::InvalidMac => formatter.write_str("wrong-code"),
            FrameError::OutOfOrder => formatter.write_str("out-of-order"),
            FrameError::InvalidPayload => formatter.write_str("payload"),
        }
    }
}

impl std::error::Error for FrameError {}

/// A received frame whose MAC matches its sender, number and content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The purpose of the frame, which determines the format of the payload.
    pub kind: FrameKind,
    /// The content, without header and MAC.
    pub payload: Vec<u8>,
}

/// The header of a frame, without the magic number and the protocol version.
struct Header {
    kind: FrameKind,
    key_id: u32,
    payload_bytes: usize,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.payload_bytes + MAC_BYTES);
        bytes.extend(MAGIC);
        bytes.extend([VERSION, self.kind.to_byte()]);
        bytes.extend(self.key_id.to_be_bytes());
        bytes.extend((self.payload_bytes as u32).to_be_bytes());
        bytes
    }

    /// Decodes a header. The caller has checked its magic number.
    fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<Header, FrameError> {
        let [_, _, version, kind, key0, key1, key2, key3, length0, length1, length2, length3] = *bytes;
        if version != VERSION {
            return Err(FrameError::Version(version));
        }
        let kind = FrameKind::from_byte(kind);
        let payload_bytes = u32::from_be_bytes([length0, length1, length2, length3]) as usize;
        let is_invalid_hello = kind == FrameKind::Hello && payload_bytes != NONCE_BYTES;
        if payload_bytes > MAX_PAYLOAD_BYTES || is_invalid_hello {
            return Err(FrameError::TooLong);
        }
        Ok(Header { kind, key_id: u32::from_be_bytes([key0, key1, key2, key3]), payload_bytes })
    }
}
