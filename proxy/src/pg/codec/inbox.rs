//! Bytes come in, whole messages come out.

use super::{
    FromClient, FromServer, MAX_ANSWER, MAX_QUERY, MAX_REPLY, MAX_WHOLE, Malformed, ROW_HEAD, Startup, be32,
};
use crate::outbox::KEPT;

/// As PostgreSQL itself has it.
const MAX_STARTUP: usize = 10_000;
/// Tags of the messages that a client or a database may send.
const CLIENT_TAGS: &[u8] = b"QPBDECFSHdcfX";
const SERVER_TAGS: &[u8] = b"RSZTDCIENAKv";

/// What comes next, as the head of a long row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongRow {
    No,
    /// It may be one, but its head is not whole yet.
    Wait,
    Value(usize),
}

/// Bytes come in, whole messages come out.
#[derive(Default)]
pub struct Inbox {
    buf: Vec<u8>,
    at: usize,
}

impl Inbox {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.at);
        self.at = 0;
        self.buf.extend_from_slice(bytes);
    }

    pub fn rest(&self) -> &[u8] {
        &self.buf[self.at..]
    }

    /// Bytes that wait to be decoded.
    pub fn len(&self) -> usize {
        self.buf.len() - self.at
    }

    fn length(&self, at: usize, least: usize, most: usize) -> Result<Option<usize>, Malformed> {
        let Some(raw) = self.buf.get(at..at + 4) else { return Ok(None) };
        let length = raw.iter().fold(0usize, |n, b| n << 8 | usize::from(*b));
        // Checked before anything is kept for it: a length is a claim, not a fact.
        if length < least {
            return Err(Malformed::Bad("a length too small"));
        }
        if length > most {
            return Err(Malformed::TooLong);
        }
        Ok(Some(length))
    }

    fn take(&mut self, from: usize, end: usize) -> Option<&[u8]> {
        if self.buf.len() < end {
            return None;
        }
        self.at = end;
        Some(&self.buf[from..end])
    }

    /// The next message: its tag and body. A tag that nobody sends is no message, whatever follows.
    fn message(&mut self, tags: &[u8], most: usize) -> Result<Option<(u8, &[u8])>, Malformed> {
        let Some(&tag) = self.buf.get(self.at) else { return Ok(None) };
        if !tags.contains(&tag) {
            return Err(Malformed::Bad("an unknown message"));
        }
        let start = self.at + 1;
        let Some(length) = self.length(start, 4, most)? else { return Ok(None) };
        Ok(self.take(start + 4, start + length).map(|body| (tag, body)))
    }

    pub fn client_message(&mut self) -> Result<Option<FromClient>, Malformed> {
        let message = self.message(CLIENT_TAGS, MAX_QUERY)?;
        message.map(|(tag, body)| FromClient::decode(tag, body)).transpose()
    }

    /// What has come of the body of a message that is not whole yet.
    pub fn begun(&self) -> Option<&[u8]> {
        self.buf.get(self.at + 5..)
    }

    /// Takes the head of a long row, if that comes next, with the length of its one value. The value's bytes follow, and
    /// `pass` hands them out as they come.
    pub fn long_row(&mut self) -> LongRow {
        let (tag, head) = match &self.buf[self.at..] {
            [tag, head @ ..] => (*tag, head),
            [] => return LongRow::No,
        };
        let Some(value) = be32(head).and_then(|l| usize::try_from(l).ok()?.checked_sub(ROW_HEAD - 1)) else {
            return LongRow::No;
        };
        if tag != b'D' || !(MAX_WHOLE + 1..=MAX_ANSWER).contains(&value) {
            return LongRow::No;
        }
        match head.get(4..ROW_HEAD - 1) {
            None => LongRow::Wait,
            Some([0, 1, claim @ ..]) if be32(claim).and_then(|l| usize::try_from(l).ok()) == Some(value) => {
                self.at += ROW_HEAD;
                LongRow::Value(value)
            }
            Some(_) => LongRow::No,
        }
    }

    /// What has come, `most` bytes of it at most.
    pub fn pass(&mut self, most: usize) -> Vec<u8> {
        let piece = self.buf[self.at..].iter().copied().take(most).collect::<Vec<_>>();
        self.at += piece.len();
        self.shrink();
        piece
    }

    /// The next message, and the bytes that it took.
    pub fn server_message(&mut self) -> Result<Option<(FromServer, usize)>, Malformed> {
        let message = self.message(SERVER_TAGS, MAX_REPLY)?;
        message.map(|(tag, body)| Ok((FromServer::decode(tag, body)?, body.len() + 5))).transpose()
    }

    /// The first message of a connection, which has no tag.
    pub fn startup(&mut self) -> Result<Option<Startup>, Malformed> {
        let start = self.at;
        let Some(length) = self.length(start, 8, MAX_STARTUP)? else { return Ok(None) };
        self.take(start + 4, start + length).map(Startup::decode).transpose()
    }

    /// Gives back a large buffer once it is empty.
    pub fn shrink(&mut self) {
        if self.at == self.buf.len() {
            self.at = 0;
            self.buf.clear();
            self.buf.shrink_to(KEPT);
        }
    }
}
