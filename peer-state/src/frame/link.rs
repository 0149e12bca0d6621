//! One connection's framing: seals and opens frames in order, each bound to both nonces.

use super::{
    CODE_BYTES, Frame, FrameError, FrameKind, HEADER_BYTES, Header, MAGIC, MAX_PAYLOAD_BYTES, NONCE_BYTES,
    Nonce,
};
use crate::keys::Keys;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Which side of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It opened the connection and requests state.
    Requester,
    /// It accepted the connection.
    Provider,
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::Requester => Side::Provider,
            Side::Provider => Side::Requester,
        }
    }
}

/// The framing of one connection.
pub struct FrameLink {
    side: Side,
    keys: Keys,
    own_nonce: Nonce,
    peer_nonce: Option<Nonce>,
    frames_sealed: u64,
    frames_opened: u64,
    /// Bytes that were read and not opened yet.
    input: Vec<u8>,
    /// A frame was rejected: no more are opened.
    failed: bool,
}

impl FrameLink {
    /// A new connection. `nonce` is random and used for this connection only.
    pub fn new(side: Side, keys: Keys, nonce: Nonce) -> FrameLink {
        FrameLink {
            side,
            keys,
            own_nonce: nonce,
            peer_nonce: None,
            frames_sealed: 0,
            frames_opened: 0,
            input: Vec::new(),
            failed: false,
        }
    }

    /// The first frame to be sent.
    pub fn hello(&mut self) -> Vec<u8> {
        let nonce = self.own_nonce;
        self.seal(FrameKind::Hello, &nonce)
    }

    /// The code that authenticates the frame with this number, sealed by `sender`.
    fn code(
        &self,
        secret: &[u8],
        sender: Side,
        frame_number: u64,
        header: &[u8],
        payload: &[u8],
    ) -> Option<Hmac<Sha256>> {
        let mut code = Hmac::<Sha256>::new_from_slice(secret).ok()?;
        let (requester_nonce, provider_nonce) = match self.side {
            Side::Requester => (Some(self.own_nonce), self.peer_nonce),
            Side::Provider => (self.peer_nonce, Some(self.own_nonce)),
        };
        // The peer's nonce is not known before its Hello, so that a Hello is bound to neither nonce.
        let is_hello = frame_number == 0;
        let nonces = if is_hello { [[0; NONCE_BYTES]; 2] } else { [requester_nonce?, provider_nonce?] };
        code.update(&[u8::from(sender == Side::Provider)]);
        code.update(&nonces[0]);
        code.update(&nonces[1]);
        code.update(&frame_number.to_be_bytes());
        code.update(header);
        code.update(payload);
        Some(code)
    }

    /// The next frame with this payload. A payload that is too long, or sealed before both sides sent Hello, gives no bytes.
    pub fn seal(&mut self, kind: FrameKind, payload: &[u8]) -> Vec<u8> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Vec::new();
        }
        let frame = self.sealed_frame(kind, payload).unwrap_or_default();
        self.frames_sealed += u64::from(!frame.is_empty());
        frame
    }

    fn sealed_frame(&self, kind: FrameKind, payload: &[u8]) -> Option<Vec<u8>> {
        let key = self.keys.sealing_key()?;
        let mut frame = Header { kind, key_id: key.id, payload_bytes: payload.len() }.encode();
        let code = self.code(&key.secret, self.side, self.frames_sealed, &frame, payload)?;
        frame.extend(payload);
        frame.extend(code.finalize().into_bytes());
        Some(frame)
    }

    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.failed {
            self.input.extend_from_slice(bytes);
        }
    }

    /// Whether more input may be read.
    pub fn wants_input(&self) -> bool {
        !self.failed && self.input.len() < HEADER_BYTES + MAX_PAYLOAD_BYTES + CODE_BYTES
    }

    /// The next frame, once it is complete. After an error there are no more.
    ///
    /// # Errors
    ///
    /// The reason why the connection is to be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            match self.open() {
                Ok(Some(Frame { kind: FrameKind::Hello, .. })) => {}
                Ok(other) => return Ok(other),
                Err(error) => {
                    self.failed = true;
                    self.input = Vec::new();
                    return Err(error);
                }
            }
        }
    }

    /// Whether the other side has sent its Hello: frames can be sealed then.
    pub fn is_established(&self) -> bool {
        self.peer_nonce.is_some()
    }

    /// Opens the frame at the start of the input, once it is complete.
    fn open(&mut self) -> Result<Option<Frame>, FrameError> {
        let magic_bytes = self.input.len().min(MAGIC.len());
        if self.failed || self.input[..magic_bytes] != MAGIC[..magic_bytes] {
            return Err(FrameError::NotAFrame);
        }
        let Some(header_bytes) = self.input.first_chunk::<HEADER_BYTES>().copied() else { return Ok(None) };
        let Header { kind, key_id, payload_bytes } = Header::decode(&header_bytes)?;
        if (kind == FrameKind::Hello) == self.peer_nonce.is_some() {
            return Err(FrameError::OutOfOrder);
        }
        let secret = self.keys.secret(key_id).ok_or(FrameError::UnknownKey)?;
        let payload_end = HEADER_BYTES + payload_bytes;
        let frame_end = payload_end + CODE_BYTES;
        if self.input.len() < frame_end {
            return Ok(None);
        }
        let payload = self.input[HEADER_BYTES..payload_end].to_vec();
        let code = self.code(secret, self.side.other(), self.frames_opened, &header_bytes, &payload);
        let code = code.ok_or(FrameError::OutOfOrder)?;
        code.verify_slice(&self.input[payload_end..frame_end]).map_err(|_| FrameError::WrongCode)?;
        self.input.drain(..frame_end);
        self.frames_opened += 1;
        if kind == FrameKind::Hello {
            self.peer_nonce = payload.first_chunk().copied();
        }
        Ok(Some(Frame { kind, payload }))
    }
}
