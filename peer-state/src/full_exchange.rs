//! A full exchange over one link: both ends tell all that they have, in parts that are opaque here, the asker first. A machine fed
//! bytes, over the same frames as all links.

use crate::frame::{FrameError, FrameKind, FrameLink, Keys, Nonce, Side};

/// Parts that one end takes.
pub const MAX_PARTS: usize = 16;

/// How far it has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// Both have said hello; it is the asker's turn to tell.
    Connected,
    /// All that the other end has.
    Complete(Vec<Vec<u8>>),
}

pub struct FullExchange {
    link: FrameLink,
    side: Side,
    /// Bytes to be written.
    pub output: Vec<u8>,
    connected: bool,
    sent: bool,
    received_parts: Vec<Vec<u8>>,
    received: bool,
}

impl FullExchange {
    pub fn new(side: Side, keys: Keys, nonce: Nonce) -> FullExchange {
        let mut link = FrameLink::new(side, keys, nonce);
        let out = link.hello();
        FullExchange {
            link,
            side,
            output: out,
            connected: false,
            sent: false,
            received_parts: Vec::new(),
            received: false,
        }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.link.feed(bytes);
    }

    pub fn wants_input(&self) -> bool {
        !self.received && self.link.wants_input()
    }

    /// What has come of the other end's words, one step at a time.
    pub fn next_event(&mut self) -> Result<Option<ExchangeEvent>, FrameError> {
        loop {
            let frame = self.link.next_frame()?;
            if self.link.is_established()
                && !std::mem::replace(&mut self.connected, true)
                && self.side == Side::Requester
            {
                // What was read with the hello is kept: a donor speaks once it was told.
                return if frame.is_some() {
                    Err(FrameError::OutOfOrder)
                } else {
                    Ok(Some(ExchangeEvent::Connected))
                };
            }
            let Some((kind, payload)) = frame else { return Ok(None) };
            match kind {
                FrameKind::Unknown(_) => {}
                _ if self.received || (self.side == Side::Requester && !self.sent) => {
                    return Err(FrameError::OutOfOrder);
                }
                FrameKind::MembershipPart if self.received_parts.len() >= MAX_PARTS => {
                    return Err(FrameError::TooLong);
                }
                FrameKind::MembershipPart => self.received_parts.push(payload),
                FrameKind::Last if payload.is_empty() => {
                    self.received = true;
                    return Ok(Some(ExchangeEvent::Complete(std::mem::take(&mut self.received_parts))));
                }
                _ => return Err(FrameError::OutOfOrder),
            }
        }
    }

    /// Tells all that this end has.
    pub fn send_parts(&mut self, parts: &[Vec<u8>]) {
        for part in parts.iter().take(MAX_PARTS) {
            let frame = self.link.seal(FrameKind::MembershipPart, part);
            self.output.extend(frame);
        }
        let last = self.link.seal(FrameKind::Last, &[]);
        self.output.extend(last);
        self.sent = true;
    }

    /// This end has told all that it has.
    pub fn has_sent(&self) -> bool {
        self.sent
    }

    /// Both have told all; the connection ends once the rest is written.
    pub fn is_finished(&self) -> bool {
        self.sent && self.received
    }
}
