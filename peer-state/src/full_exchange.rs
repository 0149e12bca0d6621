//! A full exchange over one link: both sides send everything they have, in parts that are opaque here, the
//! requester first. Fed bytes, over the same frames as a state transfer.

use crate::frame::{Frame, FrameError, FrameKind, FrameLink, Keys, Nonce, Side};

/// Parts that one side accepts.
pub const MAX_PARTS: usize = 16;

/// Progress of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// Both sides have sent Hello; it is the requester's turn to send.
    Connected,
    /// All parts of the other side.
    Complete(Vec<Vec<u8>>),
}

/// One side of a full exchange.
pub struct FullExchange {
    link: FrameLink,
    side: Side,
    /// Bytes to be written.
    pub output: Vec<u8>,
    /// Both sides have sent Hello.
    connected: bool,
    /// This side has sent all its parts.
    sent: bool,
    received_parts: Vec<Vec<u8>>,
    /// The other side has sent all its parts.
    received: bool,
}

impl FullExchange {
    /// A new connection; the nonce is random.
    pub fn new(side: Side, keys: Keys, nonce: Nonce) -> FullExchange {
        let mut link = FrameLink::new(side, keys, nonce);
        let output = link.hello();
        FullExchange {
            link,
            side,
            output,
            connected: false,
            sent: false,
            received_parts: Vec::new(),
            received: false,
        }
    }

    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.link.feed(bytes);
    }

    /// Whether more input may be read.
    pub fn wants_input(&self) -> bool {
        !self.received && self.link.wants_input()
    }

    /// The next event, if any.
    ///
    /// # Errors
    ///
    /// The reason why the connection is to be closed.
    pub fn next_event(&mut self) -> Result<Option<ExchangeEvent>, FrameError> {
        let is_requester = self.side == Side::Requester;
        loop {
            let frame = self.link.next_frame()?;
            let just_connected = self.link.is_established() && !std::mem::replace(&mut self.connected, true);
            if just_connected && is_requester {
                // The provider sends nothing but its Hello before the requester has sent its parts.
                return match frame {
                    Some(_) => Err(FrameError::OutOfOrder),
                    None => Ok(Some(ExchangeEvent::Connected)),
                };
            }
            let Some(Frame { kind, payload }) = frame else { return Ok(None) };
            match kind {
                FrameKind::Unknown(_) => {}
                _ if self.received || (is_requester && !self.sent) => return Err(FrameError::OutOfOrder),
                FrameKind::MembershipPart if self.received_parts.len() >= MAX_PARTS => {
                    return Err(FrameError::TooLong);
                }
                FrameKind::MembershipPart => self.received_parts.push(payload),
                FrameKind::Last if payload.is_empty() => {
                    self.received = true;
                    let parts = std::mem::take(&mut self.received_parts);
                    return Ok(Some(ExchangeEvent::Complete(parts)));
                }
                _ => return Err(FrameError::OutOfOrder),
            }
        }
    }

    /// Sends everything that this side has.
    pub fn send_parts(&mut self, parts: &[Vec<u8>]) {
        for part in parts.iter().take(MAX_PARTS) {
            let frame = self.link.seal(FrameKind::MembershipPart, part);
            self.output.extend(frame);
        }
        let last = self.link.seal(FrameKind::Last, &[]);
        self.output.extend(last);
        self.sent = true;
    }

    /// Whether this side has sent its parts.
    pub fn has_sent(&self) -> bool {
        self.sent
    }

    /// Whether both sides have sent their parts; the connection ends once the output is written.
    pub fn is_finished(&self) -> bool {
        self.sent && self.received
    }
}
