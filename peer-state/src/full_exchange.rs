//! A full exchange over one connection: first the requester and then the provider sends all that it has. The
//! content is split into parts, which are opaque to this module. The exchange uses the frames of a state
//! transfer and does no I/O: callers pass the received bytes.

use crate::frame::{Frame, FrameError, FrameKind, FrameLink, Keys, Nonce, Side};

/// The maximum number of parts that one side sends and the other accepts.
pub const MAX_PARTS: usize = 16;

/// A stage of a full exchange at which the caller has to act.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// Both sides have sent Hello, and the requester is to send its parts. Only the requester gets this
    /// event.
    Connected,
    /// The other side has sent these parts, and no more follow.
    Complete(Vec<Vec<u8>>),
}

/// One side of a full exchange.
pub struct FullExchange {
    link: FrameLink,
    side: Side,
    /// Bytes that the caller is to write to the connection.
    pub output: Vec<u8>,
    /// Both sides have sent Hello.
    connected: bool,
    /// This side has sent all its parts.
    all_sent: bool,
    received_parts: Vec<Vec<u8>>,
    /// The other side has sent all its parts.
    all_received: bool,
}

impl FullExchange {
    /// Creates one side of a new connection. `nonce` is random and must not be used for another connection.
    pub fn new(side: Side, keys: Keys, nonce: Nonce) -> FullExchange {
        let mut link = FrameLink::new(side, keys, nonce);
        let output = link.hello();
        FullExchange {
            link,
            side,
            output,
            connected: false,
            all_sent: false,
            received_parts: Vec::new(),
            all_received: false,
        }
    }

    /// Appends bytes that were read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.link.feed(bytes);
    }

    /// Returns whether the caller may read more input.
    pub fn wants_input(&self) -> bool {
        !self.all_received && self.link.wants_input()
    }

    /// Returns the next event, or `None` if it needs more input.
    ///
    /// # Errors
    ///
    /// Returns why the caller must close the connection.
    pub fn next_event(&mut self) -> Result<Option<ExchangeEvent>, FrameError> {
        let is_requester = self.side == Side::Requester;
        loop {
            let frame = self.link.next_frame()?;
            let just_connected = self.link.is_established() && !std::mem::replace(&mut self.connected, true);
            if just_connected && is_requester {
                // The provider may only send Hello before the requester has sent its parts.
                return match frame {
                    Some(_) => Err(FrameError::OutOfOrder),
                    None => Ok(Some(ExchangeEvent::Connected)),
                };
            }
            let Some(Frame { kind, payload }) = frame else { return Ok(None) };
            match kind {
                FrameKind::Unknown(_) => {}
                _ if self.all_received || (is_requester && !self.all_sent) => {
                    return Err(FrameError::OutOfOrder);
                }
                FrameKind::MembershipPart if self.received_parts.len() >= MAX_PARTS => {
                    return Err(FrameError::TooLong);
                }
                FrameKind::MembershipPart => self.received_parts.push(payload),
                FrameKind::Last if payload.is_empty() => {
                    self.all_received = true;
                    let parts = std::mem::take(&mut self.received_parts);
                    return Ok(Some(ExchangeEvent::Complete(parts)));
                }
                _ => return Err(FrameError::OutOfOrder),
            }
        }
    }

    /// Appends all parts of this side to `output`. Parts beyond [`MAX_PARTS`] are not sent.
    pub fn send_parts(&mut self, parts: &[Vec<u8>]) {
        for part in parts.iter().take(MAX_PARTS) {
            let frame = self.link.seal(FrameKind::MembershipPart, part);
            self.output.extend(frame);
        }
        let last = self.link.seal(FrameKind::Last, &[]);
        self.output.extend(last);
        self.all_sent = true;
    }

    /// Returns whether this side has sent its parts.
    pub fn has_sent(&self) -> bool {
        self.all_sent
    }

    /// Returns whether both sides have sent their parts. The caller closes the connection after it has
    /// written the output.
    pub fn is_finished(&self) -> bool {
        self.all_sent && self.all_received
    }
}
