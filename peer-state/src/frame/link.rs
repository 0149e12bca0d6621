//! The framing of one connection: seals and opens frames in order, and binds each frame to both nonces.

use super::{
    Frame, FrameError, FrameKind, HEADER_BYTES, Header, MAC_BYTES, MAGIC, MAX_PAYLOAD_BYTES, NONCE_BYTES,
    Nonce,
};
use crate::keys::Keys;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The role of a process on a connection. Each MAC covers the side that sent the frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection and requests state.
    Requester,
    /// The side that accepted the connection.
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

/// The framing of one connection. Sealing adds a header and a MAC to a payload. Opening verifies and removes
/// them.
pub struct FrameLink {
    side: Side,
    keys: Keys,
    own_nonce: Nonce,
    peer_nonce: Option<Nonce>,
    frames_sealed: u64,
    frames_opened: u64,
    /// Bytes that were read but not opened yet.
    input: Vec<u8>,
    /// A frame was rejected, so that no more are opened.
    failed: bool,
}

impl FrameLink {
    /// Creates the framing of a new connection. `nonce` is random and must not be used for another
    /// connection.
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

    /// Seals the Hello frame, which must be the first one sent.
    pub fn hello(&mut self) -> Vec<u8> {
        let nonce = self.own_nonce;
        self.seal(FrameKind::Hello, &nonce)
    }

    /// Computes the MAC of the frame that `sender` seals with this frame number. Returns `None` while the
    /// nonces are not known.
    fn mac(
        &self,
        secret: &[u8],
        sender: Side,
        frame_number: u64,
        header: &[u8],
        payload: &[u8],
    ) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
        let (requester_nonce, provider_nonce) = match self.side {
            Side::Requester => (Some(self.own_nonce), self.peer_nonce),
            Side::Provider => (self.peer_nonce, Some(self.own_nonce)),
        };
        // A Hello is bound to neither nonce, because its sender may not know the peer's nonce yet.
        let is_hello = frame_number == 0;
        let nonces = if is_hello { [[0; NONCE_BYTES]; 2] } else { [requester_nonce?, provider_nonce?] };
        mac.update(&[u8::from(sender == Side::Provider)]);
        mac.update(&nonces[0]);
        mac.update(&nonces[1]);
        mac.update(&frame_number.to_be_bytes());
        mac.update(header);
        mac.update(payload);
        Some(mac)
    }

    /// Seals the next frame. The first frame must be Hello. Returns no bytes if the payload exceeds
    /// [`MAX_PAYLOAD_BYTES`], or if a later frame is sealed before the peer's Hello was received.
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
        let mac = self.mac(&key.secret, self.side, self.frames_sealed, &frame, payload)?;
        frame.extend(payload);
        frame.extend(mac.finalize().into_bytes());
        Some(frame)
    }

    /// Appends bytes that were read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.failed {
            self.input.extend_from_slice(bytes);
        }
    }

    /// Returns whether the caller may read more input: the buffer holds less than a frame of maximum length,
    /// and no frame was rejected.
    pub fn wants_input(&self) -> bool {
        !self.failed && self.input.len() < HEADER_BYTES + MAX_PAYLOAD_BYTES + MAC_BYTES
    }

    /// Opens the next frame and returns it. Returns `None` until the frame is complete.
    ///
    /// # Errors
    ///
    /// Returns why the frame was rejected. The caller closes the connection, and no later frame is opened.
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

    /// Returns whether the other side's Hello was received. Frames other than Hello can be sealed after that.
    pub fn is_established(&self) -> bool {
        self.peer_nonce.is_some()
    }

    /// Opens the frame at the start of the input. Returns `None` until the frame is complete.
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
        let frame_end = payload_end + MAC_BYTES;
        if self.input.len() < frame_end {
            return Ok(None);
        }
        let payload = self.input[HEADER_BYTES..payload_end].to_vec();
        let mac = self.mac(secret, self.side.other(), self.frames_opened, &header_bytes, &payload);
        let mac = mac.ok_or(FrameError::OutOfOrder)?;
        mac.verify_slice(&self.input[payload_end..frame_end]).map_err(|_| FrameError::InvalidMac)?;
        self.input.drain(..frame_end);
        self.frames_opened += 1;
        if kind == FrameKind::Hello {
            self.peer_nonce = payload.first_chunk().copied();
        }
        Ok(Some(Frame { kind, payload }))
    }
}
