//! The protocol of a state transfer over frames: [`StateRequester`] requests state, and [`StateSender`] sends
//! it in parts. Neither does I/O: callers pass the received bytes and write the bytes in `output` to the
//! connection.
//!
//! [`crate::request_scheduler`] decides which peers receive a request, and [`crate::provider`] decides which
//! requests are answered.

use crate::Micros;
use crate::frame::{Frame, FrameError, FrameKind, FrameLink, Keys, Nonce, Side};
use crate::transfer::{TransferPart, TransferredServer};
use serde::{Deserialize, Serialize};

/// The maximum number of servers in one part. A part of this size fits well into a frame even if all names
/// have the maximum length.
const SERVERS_PER_PART: usize = 128;
/// The maximum number of parts that a requester accepts from one provider: more than the longest list needs.
const MAX_PARTS: usize = 64;
/// The maximum number of other providers that an answer names.
const MAX_NAMED_PROVIDERS: usize = 16;
/// The maximum length of a named provider's address.
const MAX_ADDRESS_BYTES: usize = 64;

/// The payload of the last frame.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LastPayload {
    /// The addresses of other proxies that provide state.
    providers: Vec<String>,
}

/// A message that a requester has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferEvent {
    /// The provider sent a part of the state.
    Part(TransferPart),
    /// The provider has sent all parts, and named these addresses of other providers.
    Complete(Vec<String>),
    /// The provider rejected the request. It may be retried after this time.
    Busy(Micros),
}

/// The side that requests state.
pub struct StateRequester {
    link: FrameLink,
    /// Bytes that the caller is to write to the connection.
    pub output: Vec<u8>,
    request_sent: bool,
    parts_received: usize,
    finished: bool,
}

impl StateRequester {
    /// Creates the requester's side of a new connection. `nonce` is random and must not be used for another
    /// connection.
    pub fn new(keys: Keys, nonce: Nonce) -> StateRequester {
        let mut link = FrameLink::new(Side::Requester, keys, nonce);
        let output = link.hello();
        StateRequester { link, output, request_sent: false, parts_received: 0, finished: false }
    }

    /// Returns whether the caller may read more input.
    pub fn wants_input(&self) -> bool {
        !self.finished && self.link.wants_input()
    }

    /// Appends bytes that were read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.finished {
            self.link.feed(bytes);
        }
    }

    /// Returns whether the answer is complete or the request was rejected. The caller then closes the
    /// connection.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the next event, or `None` if it needs more input or the transfer has ended.
    ///
    /// # Errors
    ///
    /// Returns why the caller must close the connection.
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

    /// Handles a frame and returns the event that it causes, if any.
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
                let LastPayload { mut providers } = decode(payload)?;
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
    /// Bytes that the caller is to write to the connection.
    pub output: Vec<u8>,
    /// The servers that were not sent yet, in reverse order. `None` until sending starts.
    unsent_servers: Option<Vec<TransferredServer>>,
    named_providers: Vec<String>,
    finished: bool,
}

impl StateSender {
    /// Creates the sender's side of a new connection. `nonce` is random and must not be used for another
    /// connection.
    pub fn new(keys: Keys, nonce: Nonce) -> StateSender {
        let mut link = FrameLink::new(Side::Provider, keys, nonce);
        let output = link.hello();
        StateSender { link, output, unsent_servers: None, named_providers: Vec::new(), finished: false }
    }

    /// Appends bytes that were read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.link.feed(bytes);
    }

    /// Returns whether the caller may read more input.
    pub fn wants_input(&self) -> bool {
        self.link.wants_input()
    }

    /// Processes received frames and returns whether one of them was the request. The caller then calls
    /// [`StateSender::start_sending`] or [`StateSender::send_busy`].
    ///
    /// # Errors
    ///
    /// Returns why the caller must close the connection.
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

    /// Prepares the answer to the request: the facts of these servers, followed by the addresses of other
    /// providers. [`StateSender::send_next_part`] sends it.
    pub fn start_sending(&mut self, servers: impl Iterator<Item = TransferredServer>, providers: &[String]) {
        let mut unsent: Vec<TransferredServer> = servers.take(SERVERS_PER_PART * MAX_PARTS).collect();
        unsent.reverse();
        self.unsent_servers = Some(unsent);
        self.named_providers = providers.iter().take(MAX_NAMED_PROVIDERS).cloned().collect();
    }

    /// Rejects the request. The requester may retry after this time.
    pub fn send_busy(&mut self, retry_after: Micros) {
        let retry_after_ms = u32::try_from(retry_after / 1000).unwrap_or(u32::MAX);
        let frame = self.link.seal(FrameKind::Busy, &encode(&retry_after_ms));
        self.output.extend(frame);
        self.finished = true;
    }

    /// Appends the next frame to `output` and returns the frame's length. Returns `None` before sending
    /// starts and after the last frame.
    pub fn send_next_part(&mut self) -> Option<usize> {
        let unsent = self.unsent_servers.as_mut().filter(|_| !self.finished)?;
        let frame = if unsent.is_empty() {
            self.finished = true;
            let payload = LastPayload { providers: std::mem::take(&mut self.named_providers) };
            self.link.seal(FrameKind::Last, &encode(&payload))
        } else {
            let part_start = unsent.len().saturating_sub(SERVERS_PER_PART);
            let servers = unsent.drain(part_start..).rev().collect();
            self.link.seal(FrameKind::Part, &encode(&TransferPart { servers }))
        };
        self.output.extend(&frame);
        Some(frame.len())
    }

    /// Returns whether `output` contains the end of the answer, or the rejection. The caller closes the
    /// connection after it has written the output.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether a request was accepted and its answer is not complete.
    pub fn is_sending(&self) -> bool {
        self.unsent_servers.is_some() && !self.finished
    }
}
