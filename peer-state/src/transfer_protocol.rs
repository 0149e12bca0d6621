//! The two sides of a state transfer, over frames: [`StateRequester`] requests, [`StateSender`] sends in
//! parts. Both are fed bytes and append what is to be written to `output`; which peer gets a request and
//! which request is answered is decided by [`crate::request_scheduler`] and [`crate::provider`].

use crate::Micros;
use crate::frame::{Frame, FrameError, FrameKind, FrameLink, Keys, Nonce, Side};
use crate::transfer::{TransferPart, TransferredServer};
use serde::{Deserialize, Serialize};

/// Servers in one part: with the longest names well under a frame.
const SERVERS_PER_PART: usize = 128;
/// Parts that a requester accepts from one provider: more than the largest list needs.
const MAX_PARTS: usize = 64;
/// Other providers that an answer names.
const MAX_NAMED_PROVIDERS: usize = 16;
/// The longest address of one.
const MAX_ADDRESS_BYTES: usize = 64;

/// The payload of the last frame.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Closing {
    /// Addresses of other proxies that may be sent requests.
    providers: Vec<String>,
}

/// What a requester has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferEvent {
    /// A part of the state.
    Part(TransferPart),
    /// All parts have come; the addresses of other providers.
    Complete(Vec<String>),
    /// The provider rejected the request: retry after this time.
    Busy(Micros),
}

/// The side that requests state.
pub struct StateRequester {
    link: FrameLink,
    /// Bytes to be written.
    pub output: Vec<u8>,
    request_sent: bool,
    parts_received: usize,
    finished: bool,
}

impl StateRequester {
    /// A new connection; the nonce is random.
    pub fn new(keys: Keys, nonce: Nonce) -> StateRequester {
        let mut link = FrameLink::new(Side::Requester, keys, nonce);
        let output = link.hello();
        StateRequester { link, output, request_sent: false, parts_received: 0, finished: false }
    }

    /// Whether more input may be read.
    pub fn wants_input(&self) -> bool {
        !self.finished && self.link.wants_input()
    }

    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.finished {
            self.link.feed(bytes);
        }
    }

    /// Whether the answer is complete, or the request was rejected: the connection is to be closed.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// The next event, if any.
    ///
    /// # Errors
    ///
    /// The reason why the connection is to be closed.
    pub fn next_event(&mut self) -> Result<Option<TransferEvent>, FrameError> {
        while !self.finished {
            let frame = self.link.next_frame()?;
            if self.link.is_established() && !std::mem::replace(&mut self.request_sent, true) {
                let request = self.link.seal(FrameKind::Request, &[]);
                self.output.extend(request);
            }
            let Some(Frame { kind, payload }) = frame else { return Ok(None) };
            if let Some(event) = self.receive(kind, &payload)? {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// Handles a frame; the event that it causes, if any.
    fn receive(&mut self, kind: FrameKind, payload: &[u8]) -> Result<Option<TransferEvent>, FrameError> {
        match kind {
            FrameKind::Part => {
                self.parts_received += 1;
                if self.parts_received > MAX_PARTS {
                    return Err(FrameError::TooLong);
                }
                Ok(Some(TransferEvent::Part(decode(payload)?)))
            }
            FrameKind::Last => {
                self.finished = true;
                let Closing { mut providers } = decode(payload)?;
                providers.retain(|address| address.len() <= MAX_ADDRESS_BYTES);
                providers.truncate(MAX_NAMED_PROVIDERS);
                Ok(Some(TransferEvent::Complete(providers)))
            }
            FrameKind::Busy => {
                self.finished = true;
                let retry_after_ms: u32 = decode(payload)?;
                Ok(Some(TransferEvent::Busy(Micros::from(retry_after_ms) * 1000)))
            }
            FrameKind::Request | FrameKind::Hello | FrameKind::MembershipPart => Err(FrameError::OutOfOrder),
            FrameKind::Unknown(_) => Ok(None),
        }
    }
}

fn decode<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, FrameError> {
    postcard::from_bytes(payload).map_err(|_| FrameError::InvalidPayload)
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// The side that sends state.
pub struct StateSender {
    link: FrameLink,
    /// Bytes to be written.
    pub output: Vec<u8>,
    /// Servers that are still to be sent, the last first; none before a request was answered.
    unsent_servers: Option<Vec<TransferredServer>>,
    providers: Vec<String>,
    finished: bool,
}

impl StateSender {
    /// A new connection; the nonce is random.
    pub fn new(keys: Keys, nonce: Nonce) -> StateSender {
        let mut link = FrameLink::new(Side::Provider, keys, nonce);
        let output = link.hello();
        StateSender { link, output, unsent_servers: None, providers: Vec::new(), finished: false }
    }

    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.link.feed(bytes);
    }

    /// Whether more input may be read.
    pub fn wants_input(&self) -> bool {
        self.link.wants_input()
    }

    /// Whether a request was received, to be answered by [`StateSender::start_sending`] or
    /// [`StateSender::send_busy`].
    ///
    /// # Errors
    ///
    /// The reason why the connection is to be closed.
    pub fn receive_request(&mut self) -> Result<bool, FrameError> {
        while let Some(Frame { kind, payload }) = self.link.next_frame()? {
            let is_first = self.unsent_servers.is_none() && !self.finished;
            match kind {
                FrameKind::Request if is_first && payload.is_empty() => return Ok(true),
                FrameKind::Unknown(_) => {}
                _ => return Err(FrameError::OutOfOrder),
            }
        }
        Ok(false)
    }

    /// Answers the request: this state is sent part by part, and then the addresses of other providers.
    pub fn start_sending(&mut self, servers: impl Iterator<Item = TransferredServer>, providers: &[String]) {
        let mut unsent: Vec<TransferredServer> = servers.take(SERVERS_PER_PART * MAX_PARTS).collect();
        unsent.reverse();
        self.unsent_servers = Some(unsent);
        self.providers = providers.iter().take(MAX_NAMED_PROVIDERS).cloned().collect();
    }

    /// Rejects the request; the requester may retry after this time.
    pub fn send_busy(&mut self, retry_after: Micros) {
        let retry_after_ms = u32::try_from(retry_after / 1000).unwrap_or(u32::MAX);
        let frame = self.link.seal(FrameKind::Busy, &encode(&retry_after_ms));
        self.output.extend(frame);
        self.finished = true;
    }

    /// Appends the next frame to `output` and returns its length; none if all has been sent.
    pub fn send_next_part(&mut self) -> Option<usize> {
        let unsent = self.unsent_servers.as_mut().filter(|_| !self.finished)?;
        let frame = if unsent.is_empty() {
            self.finished = true;
            let closing = Closing { providers: std::mem::take(&mut self.providers) };
            self.link.seal(FrameKind::Last, &encode(&closing))
        } else {
            let from = unsent.len().saturating_sub(SERVERS_PER_PART);
            let servers = unsent.drain(from..).rev().collect();
            self.link.seal(FrameKind::Part, &encode(&TransferPart { servers }))
        };
        self.output.extend(&frame);
        Some(frame.len())
    }

    /// Whether all has been sent; the connection ends once it is written.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether a request was accepted and is not answered completely.
    pub fn is_sending(&self) -> bool {
        self.unsent_servers.is_some() && !self.finished
    }
}
