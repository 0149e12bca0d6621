//! A full exchange over one link: both ends tell all that they have, in parts that are opaque here, the asker first. A machine fed
//! bytes, over the same frames as all links.

use crate::frame::{Keys, Kind, Link, Nonce, Refused, Side};

/// Parts that one end takes.
pub const MOST_PARTS: usize = 16;

/// How far it has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Both have said hello; it is the asker's turn to tell.
    Greeted,
    /// All that the other end has.
    Whole(Vec<Vec<u8>>),
}

pub struct Exchange {
    link: Link,
    side: Side,
    /// Bytes to be written.
    pub out: Vec<u8>,
    greeted: bool,
    told: bool,
    parts: Vec<Vec<u8>>,
    heard: bool,
}

impl Exchange {
    pub fn new(side: Side, keys: Keys, nonce: Nonce) -> Exchange {
        let mut link = Link::new(side, keys, nonce);
        let out = link.hello();
        Exchange { link, side, out, greeted: false, told: false, parts: Vec::new(), heard: false }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.link.feed(bytes);
    }

    pub fn hungry(&self) -> bool {
        !self.heard && self.link.hungry()
    }

    /// What has come of the other end's words, one step at a time.
    pub fn step(&mut self) -> Result<Option<Step>, Refused> {
        loop {
            let frame = self.link.frame()?;
            if self.link.greeted() && !std::mem::replace(&mut self.greeted, true) && self.side == Side::Asker
            {
                // What was read with the hello is kept: a donor speaks once it was told.
                return if frame.is_some() { Err(Refused::Order) } else { Ok(Some(Step::Greeted)) };
            }
            let Some((kind, payload)) = frame else { return Ok(None) };
            match kind {
                Kind::Other(_) => {}
                _ if self.heard || (self.side == Side::Asker && !self.told) => return Err(Refused::Order),
                Kind::View if self.parts.len() >= MOST_PARTS => return Err(Refused::TooLong),
                Kind::View => self.parts.push(payload),
                Kind::Last if payload.is_empty() => {
                    self.heard = true;
                    return Ok(Some(Step::Whole(std::mem::take(&mut self.parts))));
                }
                _ => return Err(Refused::Order),
            }
        }
    }

    /// Tells all that this end has.
    pub fn tell(&mut self, parts: &[Vec<u8>]) {
        for part in parts.iter().take(MOST_PARTS) {
            let frame = self.link.seal(Kind::View, part);
            self.out.extend(frame);
        }
        let last = self.link.seal(Kind::Last, &[]);
        self.out.extend(last);
        self.told = true;
    }

    /// This end has told all that it has.
    pub fn told(&self) -> bool {
        self.told
    }

    /// Both have told all; the connection ends once the rest is written.
    pub fn over(&self) -> bool {
        self.told && self.heard
    }
}
