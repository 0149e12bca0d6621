//! The two ends of a conversation, over frames: one asks, the other tells in parts. Machines fed bytes; what is said when is
//! decided by [`crate::join`] and [`crate::donor`], and bytes leave through `out`.

use crate::Micros;
use crate::frame::{Keys, Kind, Link, Nonce, Refused, Side};
use crate::told::{Told, ToldServer};
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
    donors: Vec<String>,
}

/// What an asker has heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    Part(Told),
    /// That was all; and who else may be asked.
    Whole(Vec<String>),
    /// It has no time: come again after this.
    Busy(Micros),
}

/// The end that asks.
pub struct Asker {
    link: Link,
    /// Bytes to be written.
    pub out: Vec<u8>,
    asked: bool,
    parts: usize,
    over: bool,
}

impl Asker {
    pub fn new(keys: Keys, nonce: Nonce) -> Asker {
        let mut link = Link::new(Side::Asker, keys, nonce);
        let out = link.hello();
        Asker { link, out, asked: false, parts: 0, over: false }
    }

    pub fn hungry(&self) -> bool {
        !self.over && self.link.hungry()
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if !self.over {
            self.link.feed(bytes);
        }
    }

    /// The answer came whole, or it was put off: the connection is to be closed.
    pub fn over(&self) -> bool {
        self.over
    }

    /// What has been heard, one thing at a time.
    pub fn heard(&mut self) -> Result<Option<Heard>, Refused> {
        while !self.over {
            let frame = self.link.frame()?;
            if self.link.greeted() && !std::mem::replace(&mut self.asked, true) {
                let ask = self.link.seal(Kind::Ask, &[]);
                self.out.extend(ask);
            }
            let Some((kind, payload)) = frame else { return Ok(None) };
            match kind {
                Kind::Part => {
                    self.parts += 1;
                    if self.parts > MOST_PARTS {
                        return Err(Refused::TooLong);
                    }
                    return Ok(Some(Heard::Part(decode(&payload)?)));
                }
                Kind::Last => {
                    self.over = true;
                    let closing: Closing = decode(&payload)?;
                    let mut donors = closing.donors;
                    donors.retain(|name| name.len() <= MOST_ADDRESS);
                    donors.truncate(MOST_NAMED);
                    return Ok(Some(Heard::Whole(donors)));
                }
                Kind::Busy => {
                    self.over = true;
                    let ms: u32 = decode(&payload)?;
                    return Ok(Some(Heard::Busy(Micros::from(ms) * 1000)));
                }
                // An answer does not ask, and a kind of a later version is passed over.
                Kind::Ask | Kind::Hello | Kind::View => return Err(Refused::Order),
                Kind::Other(_) => {}
            }
        }
        Ok(None)
    }
}

fn decode<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, Refused> {
    postcard::from_bytes(payload).map_err(|_| Refused::Payload)
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// The end that tells.
pub struct Teller {
    link: Link,
    pub out: Vec<u8>,
    /// What is still to be told, the last first; none before it was asked.
    rest: Option<Vec<ToldServer>>,
    donors: Vec<String>,
    over: bool,
}

impl Teller {
    pub fn new(keys: Keys, nonce: Nonce) -> Teller {
        let mut link = Link::new(Side::Donor, keys, nonce);
        let out = link.hello();
        Teller { link, out, rest: None, donors: Vec::new(), over: false }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.link.feed(bytes);
    }

    pub fn hungry(&self) -> bool {
        self.link.hungry()
    }

    /// True: it was asked, and [`Teller::tell`] or [`Teller::put_off`] is due.
    pub fn asked(&mut self) -> Result<bool, Refused> {
        while let Some((kind, payload)) = self.link.frame()? {
            match kind {
                Kind::Ask if self.rest.is_none() && !self.over && payload.is_empty() => return Ok(true),
                Kind::Other(_) => {}
                _ => return Err(Refused::Order),
            }
        }
        Ok(false)
    }

    /// What is told from here on, part by part; and who else may be asked.
    pub fn tell(&mut self, servers: impl Iterator<Item = ToldServer>, donors: &[String]) {
        let mut rest: Vec<ToldServer> = servers.take(PART * MOST_PARTS).collect();
        rest.reverse();
        self.rest = Some(rest);
        self.donors = donors.iter().take(MOST_NAMED).cloned().collect();
    }

    pub fn put_off(&mut self, wait: Micros) {
        let ms = u32::try_from(wait / 1000).unwrap_or(u32::MAX);
        let frame = self.link.seal(Kind::Busy, &encode(&ms));
        self.out.extend(frame);
        self.over = true;
    }

    /// The next frame goes to `out`; its length, or none if all has been told.
    pub fn part(&mut self) -> Option<usize> {
        let rest = self.rest.as_mut().filter(|_| !self.over)?;
        let frame = if rest.is_empty() {
            self.over = true;
            let closing = Closing { donors: std::mem::take(&mut self.donors) };
            self.link.seal(Kind::Last, &encode(&closing))
        } else {
            let from = rest.len().saturating_sub(PART);
            let servers = rest.drain(from..).rev().collect();
            self.link.seal(Kind::Part, &encode(&Told { servers }))
        };
        self.out.extend(&frame);
        Some(frame.len())
    }

    /// All has been said; the connection ends once it is written.
    pub fn over(&self) -> bool {
        self.over
    }

    /// It is telling.
    pub fn telling(&self) -> bool {
        self.rest.is_some() && !self.over
    }
}
