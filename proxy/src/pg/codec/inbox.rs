//! Bytes come in, whole messages come out.

use super::{
    ClientMessage, DecodeError, MAX_BUFFERED_VALUE_BYTES, MAX_QUERY_BYTES, MAX_SERVER_MESSAGE_BYTES,
    MAX_STREAMED_VALUE_BYTES, ROW_HEADER_BYTES, ServerMessage, Startup, read_u32,
};
use crate::outbox::KEPT;

/// As PostgreSQL itself has it.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Tags of the messages that a client or a database may send.
const CLIENT_TAGS: &[u8] = b"QPBDECFSHdcfX";
const SERVER_TAGS: &[u8] = b"RSZTDCIENAKv";

/// What comes next, as the head of a long row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongRowHeader {
    Absent,
    /// It may be one, but its head is not whole yet.
    Incomplete,
    Present(usize),
}

/// Bytes come in, whole messages come out.
#[derive(Default)]
pub struct Inbox {
    buf: Vec<u8>,
    start: usize,
}

impl Inbox {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.start);
        self.start = 0;
        self.buf.extend_from_slice(bytes);
    }

    pub fn unread(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Bytes that wait to be decoded.
    pub fn len(&self) -> usize {
        self.buf.len() - self.start
    }

    fn declared_length(&self, at: usize, least: usize, most: usize) -> Result<Option<usize>, DecodeError> {
        let Some(raw) = self.buf.get(at..at + 4) else { return Ok(None) };
        let length = raw.iter().fold(0usize, |n, b| n << 8 | usize::from(*b));
        // Checked before anything is kept for it: a length is a claim, not a fact.
        if length < least {
            return Err(DecodeError::Malformed("a length too small"));
        }
        if length > most {
            return Err(DecodeError::TooLong);
        }
        Ok(Some(length))
    }

    fn take(&mut self, from: usize, end: usize) -> Option<&[u8]> {
        if self.buf.len() < end {
            return None;
        }
        self.start = end;
        Some(&self.buf[from..end])
    }

    /// The next message: its tag and body. A tag that nobody sends is no message, whatever follows.
    fn message(&mut self, tags: &[u8], most: usize) -> Result<Option<(u8, &[u8])>, DecodeError> {
        let Some(&tag) = self.buf.get(self.start) else { return Ok(None) };
        if !tags.contains(&tag) {
            return Err(DecodeError::Malformed("an unknown message"));
        }
        let start = self.start + 1;
        let Some(length) = self.declared_length(start, 4, most)? else { return Ok(None) };
        Ok(self.take(start + 4, start + length).map(|body| (tag, body)))
    }

    pub fn client_message(&mut self) -> Result<Option<ClientMessage>, DecodeError> {
        let message = self.message(CLIENT_TAGS, MAX_QUERY_BYTES)?;
        message.map(|(tag, body)| ClientMessage::decode(tag, body)).transpose()
    }

    /// What has come of the body of a message that is not whole yet.
    pub fn incomplete_body(&self) -> Option<&[u8]> {
        self.buf.get(self.start + 5..)
    }

    /// Takes the head of a long row, if that comes next, with the length of its one value. The value's bytes follow, and
    /// `pass` hands them out as they come.
    pub fn take_long_row_header(&mut self) -> LongRowHeader {
        let (tag, head) = match &self.buf[self.start..] {
            [tag, head @ ..] => (*tag, head),
            [] => return LongRowHeader::Absent,
        };
        let Some(value) =
            read_u32(head).and_then(|l| usize::try_from(l).ok()?.checked_sub(ROW_HEADER_BYTES - 1))
        else {
            return LongRowHeader::Absent;
        };
        if tag != b'D' || !(MAX_BUFFERED_VALUE_BYTES + 1..=MAX_STREAMED_VALUE_BYTES).contains(&value) {
            return LongRowHeader::Absent;
        }
        match head.get(4..ROW_HEADER_BYTES - 1) {
            None => LongRowHeader::Incomplete,
            Some([0, 1, claim @ ..])
                if read_u32(claim).and_then(|l| usize::try_from(l).ok()) == Some(value) =>
            {
                self.start += ROW_HEADER_BYTES;
                LongRowHeader::Present(value)
            }
            Some(_) => LongRowHeader::Absent,
        }
    }

    /// What has come, `most` bytes of it at most.
    pub fn take_up_to(&mut self, most: usize) -> Vec<u8> {
        let piece = self.buf[self.start..].iter().copied().take(most).collect::<Vec<_>>();
        self.start += piece.len();
        self.release_empty_buffer();
        piece
    }

    /// The next message, and the bytes that it took.
    pub fn server_message(&mut self) -> Result<Option<(ServerMessage, usize)>, DecodeError> {
        let message = self.message(SERVER_TAGS, MAX_SERVER_MESSAGE_BYTES)?;
        message.map(|(tag, body)| Ok((ServerMessage::decode(tag, body)?, body.len() + 5))).transpose()
    }

    /// The first message of a connection, which has no tag.
    pub fn startup(&mut self) -> Result<Option<Startup>, DecodeError> {
        let start = self.start;
        let Some(length) = self.declared_length(start, 8, MAX_STARTUP_BYTES)? else { return Ok(None) };
        self.take(start + 4, start + length).map(Startup::decode).transpose()
    }

    /// Gives back a large buffer once it is empty.
    pub fn release_empty_buffer(&mut self) {
        if self.start == self.buf.len() {
            self.start = 0;
            self.buf.clear();
            self.buf.shrink_to(KEPT);
        }
    }
}
