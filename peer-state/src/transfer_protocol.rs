//! The two ends of a conversation, over frames: one asks, the other tells in parts. Machines fed bytes; what is said when is
//! decided by [`crate::request_scheduler`] and [`crate::provider`], and bytes leave through `out`.

use crate::Micros;
use crate::frame::{FrameError, FrameKind, FrameLink, Keys, Nonce, Side};
use crate::transfer::{TransferPart, TransferredServer};
use serde::{Deserialize, Serialize};

/// Servers in one part: with the longest names well under a frame.
const PART: usize = 128;
/// Parts that an asker takes from one donor: more than any list has.
const MOST_PARTS: usize = 64;
/// Other donors that are named, and the longest name of one.
const MOST_NAMED: usize = 16;
const MOST_ADDRESS: usize = 64;

/// What ends an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Closing {
    /// Other proxies that may be asked.
    providers: Vec<String>,
}

/// What an asker has heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferEvent {
    Part(TransferPart),
    /// That was all; and who else may be asked.
    Complete(Vec<String>),
    /// It has no time: come again after this.
    Busy(Micros),
}

/// The end that asks.
pub struct StateRequester {
    link: FrameLink,
    /// Bytes to be written.
    pub output: Vec<u8>,
    request_sent: bool,
    parts_received: usize,
    finished: bool,
}

impl StateRequester {
    pub fn new(keys: Keys, nonce: Nonce) -> StateRequester {
        let mut link = FrameLink::new(Side::Requester, keys, nonce);
        let out = link.hello();
        StateRequester { link, output: out, request_sent: false, parts_received: 0, finished: false }
    }

    pub fn wants_input(&self) -> bool {
        !self.finished && self.link.wants_input()
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.finished {
            self.link.feed(bytes);
        }
    }

    /// The answer came whole, or it was put off: the connection is to be closed.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// What has been heard, one thing at a time.
    pub fn next_event(&mut self) -> Result<Option<TransferEvent>, FrameError> {
        while !self.finished {
            let frame = self.link.next_frame()?;
            if self.link.is_established() && !std::mem::replace(&mut self.request_sent, true) {
                let ask = self.link.seal(FrameKind::Request, &[]);
                self.output.extend(ask);
            }
            let Some((kind, payload)) = frame else { return Ok(None) };
            match kind {
                FrameKind::Part => {
                    self.parts_received += 1;
                    if self.parts_received > MOST_PARTS {
                        return Err(FrameError::TooLong);
                    }
                    return Ok(Some(TransferEvent::Part(decode(&payload)?)));
                }
                FrameKind::Last => {
                    self.finished = true;
                    let closing: Closing = decode(&payload)?;
                    let mut donors = closing.providers;
                    donors.retain(|name| name.len() <= MOST_ADDRESS);
                    donors.truncate(MOST_NAMED);
                    return Ok(Some(TransferEvent::Complete(donors)));
                }
                FrameKind::Busy => {
                    self.finished = true;
                    let ms: u32 = decode(&payload)?;
                    return Ok(Some(TransferEvent::Busy(Micros::from(ms) * 1000)));
                }
                // An answer does not ask, and a kind of a later version is passed over.
                FrameKind::Request | FrameKind::Hello | FrameKind::MembershipPart => {
                    return Err(FrameError::OutOfOrder);
                }
                FrameKind::Unknown(_) => {}
            }
        }
        Ok(None)
    }
}

fn decode<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, FrameError> {
    postcard::from_bytes(payload).map_err(|_| FrameError::InvalidPayload)
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// The end that tells.
pub struct StateSender {
    link: FrameLink,
    pub output: Vec<u8>,
    /// What is still to be told, the last first; none before it was asked.
    unsent_servers: Option<Vec<TransferredServer>>,
    providers: Vec<String>,
    finished: bool,
}

impl StateSender {
    pub fn new(keys: Keys, nonce: Nonce) -> StateSender {
        let mut link = FrameLink::new(Side::Provider, keys, nonce);
        let out = link.hello();
        StateSender { link, output: out, unsent_servers: None, providers: Vec::new(), finished: false }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.link.feed(bytes);
    }

    pub fn wants_input(&self) -> bool {
        self.link.wants_input()
    }

    /// True: it was asked, and [`Teller::tell`] or [`Teller::put_off`] is due.
    pub fn receive_request(&mut self) -> Result<bool, FrameError> {
        while let Some((kind, payload)) = self.link.next_frame()? {
            match kind {
                FrameKind::Request
                    if self.unsent_servers.is_none() && !self.finished && payload.is_empty() =>
                {
                    return Ok(true);
                }
                FrameKind::Unknown(_) => {}
                _ => return Err(FrameError::OutOfOrder),
            }
        }
        Ok(false)
    }

    /// What is told from here on, part by part; and who else may be asked.
    pub fn start_sending(&mut self, servers: impl Iterator<Item = TransferredServer>, donors: &[String]) {
        let mut rest: Vec<TransferredServer> = servers.take(PART * MOST_PARTS).collect();
        rest.reverse();
        self.unsent_servers = Some(rest);
        self.providers = donors.iter().take(MOST_NAMED).cloned().collect();
    }

    pub fn send_busy(&mut self, wait: Micros) {
        let ms = u32::try_from(wait / 1000).unwrap_or(u32::MAX);
        let frame = self.link.seal(FrameKind::Busy, &encode(&ms));
        self.output.extend(frame);
        self.finished = true;
    }

    /// The next frame goes to `out`; its length, or none if all has been told.
    pub fn send_next_part(&mut self) -> Option<usize> {
        let rest = self.unsent_servers.as_mut().filter(|_| !self.finished)?;
        let frame = if rest.is_empty() {
            self.finished = true;
            let closing = Closing { providers: std::mem::take(&mut self.providers) };
            self.link.seal(FrameKind::Last, &encode(&closing))
        } else {
            let from = rest.len().saturating_sub(PART);
            let servers = rest.drain(from..).rev().collect();
            self.link.seal(FrameKind::Part, &encode(&TransferPart { servers }))
        };
        self.output.extend(&frame);
        Some(frame.len())
    }

    /// All has been said; the connection ends once it is written.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// It is telling.
    pub fn is_sending(&self) -> bool {
        self.unsent_servers.is_some() && !self.finished
    }
}
