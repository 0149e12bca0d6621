//! The buffer of received bytes, from which messages are decoded one at a time.

use super::{
    ClientMessage, DecodeError, MAX_BUFFERED_VALUE_BYTES, MAX_QUERY_BYTES, MAX_SERVER_MESSAGE_BYTES,
    MAX_STREAMED_VALUE_BYTES, ROW_HEADER_BYTES, ServerMessage, Startup, read_u32,
};
use crate::outbox::IDLE_BUFFER_BYTES;
use std::ops::RangeInclusive;

/// The longest startup message; PostgreSQL has the same limit.
const MAX_STARTUP_BYTES: usize = 10_000;
/// The shortest startup message: the length and the version.
const MIN_STARTUP_BYTES: usize = 8;
/// The length field of a message, which counts itself.
const LENGTH_BYTES: usize = 4;
/// A message's tag and length.
const MESSAGE_HEADER_BYTES: usize = 5;
/// Tags of the messages that a client may send.
const CLIENT_TAGS: &[u8] = b"QPBDECFSHdcfX";
/// Tags of the messages that a database may send.
const SERVER_TAGS: &[u8] = b"RSZTDCIENAKv";

/// Whether a row too long to be buffered comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LongRowHeader {
    Absent,
    /// It may be one, but its header has not arrived in full.
    Incomplete,
    /// Its one value has this length.
    Present(usize),
}

/// A message of a database, and its length.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ReceivedServerMessage {
    pub message: ServerMessage,
    /// With its tag and length.
    pub bytes: usize,
}

/// The bytes that were received and not yet decoded.
#[derive(Default)]
pub(crate) struct Inbox {
    buffer: Vec<u8>,
    /// The bytes before this index are decoded.
    start: usize,
}

impl Inbox {
    /// Takes bytes that were received.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The bytes that wait to be decoded.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// How many bytes wait to be decoded.
    pub(crate) fn len(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// The next message of a client after its first.
    pub(crate) fn client_message(&mut self) -> Result<Option<ClientMessage>, DecodeError> {
        let message = self.message(CLIENT_TAGS, MAX_QUERY_BYTES)?;
        message.map(|(tag, body)| ClientMessage::decode(tag, body)).transpose()
    }

    /// The next message of a database.
    pub(crate) fn server_message(&mut self) -> Result<Option<ReceivedServerMessage>, DecodeError> {
        let Some((tag, body)) = self.message(SERVER_TAGS, MAX_SERVER_MESSAGE_BYTES)? else { return Ok(None) };
        let bytes = body.len() + MESSAGE_HEADER_BYTES;
        Ok(Some(ReceivedServerMessage { message: ServerMessage::decode(tag, body)?, bytes }))
    }

    /// The first message of a connection, which has no tag.
    pub(crate) fn startup(&mut self) -> Result<Option<Startup>, DecodeError> {
        let start = self.start;
        let lengths = MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES;
        let Some(length) = self.declared_length(start, lengths)? else { return Ok(None) };
        self.take(start + LENGTH_BYTES, start + length).map(Startup::decode).transpose()
    }

    /// What has arrived of the body of a message that has not arrived in full.
    pub(crate) fn incomplete_body(&self) -> Option<&[u8]> {
        self.buffer.get(self.start + MESSAGE_HEADER_BYTES..)
    }

    /// Takes the header of a long row, if that comes next, with the length of its one value. The value's bytes follow, and
    /// `take_up_to` hands them out as they arrive.
    pub(crate) fn take_long_row_header(&mut self) -> LongRowHeader {
        let [tag, header @ ..] = &self.buffer[self.start..] else { return LongRowHeader::Absent };
        let around_value = ROW_HEADER_BYTES - 1;
        let Some(value) = read_length(header).and_then(|length| length.checked_sub(around_value)) else {
            return LongRowHeader::Absent;
        };
        if *tag != b'D' || !(MAX_BUFFERED_VALUE_BYTES + 1..=MAX_STREAMED_VALUE_BYTES).contains(&value) {
            return LongRowHeader::Absent;
        }
        match header.get(LENGTH_BYTES..around_value) {
            None => LongRowHeader::Incomplete,
            Some([0, 1, value_length @ ..]) if read_length(value_length) == Some(value) => {
                self.start += ROW_HEADER_BYTES;
                LongRowHeader::Present(value)
            }
            Some(_) => LongRowHeader::Absent,
        }
    }

    /// Takes what has arrived, up to this number of bytes.
    pub(crate) fn take_up_to(&mut self, max_bytes: usize) -> Vec<u8> {
        let taken: Vec<u8> = self.unread().iter().copied().take(max_bytes).collect();
        self.start += taken.len();
        self.release_empty_buffer();
        taken
    }

    /// Frees a large buffer once it is empty.
    pub(crate) fn release_empty_buffer(&mut self) {
        if self.start == self.buffer.len() {
            self.start = 0;
            self.buffer.clear();
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        }
    }

    /// The next message: its tag and body. An unknown tag is an error at once, whatever follows it.
    fn message(&mut self, tags: &[u8], max_length: usize) -> Result<Option<(u8, &[u8])>, DecodeError> {
        let Some(&tag) = self.buffer.get(self.start) else { return Ok(None) };
        if !tags.contains(&tag) {
            return Err(DecodeError::UnknownMessage);
        }
        let start = self.start + 1;
        let Some(length) = self.declared_length(start, LENGTH_BYTES..=max_length)? else { return Ok(None) };
        Ok(self.take(start + LENGTH_BYTES, start + length).map(|body| (tag, body)))
    }

    /// The declared length of a message. It is checked before anything is buffered for the message.
    fn declared_length(
        &self,
        position: usize,
        allowed: RangeInclusive<usize>,
    ) -> Result<Option<usize>, DecodeError> {
        let Some(length) = self.buffer.get(position..).and_then(read_length) else { return Ok(None) };
        if length < *allowed.start() {
            return Err(DecodeError::LengthTooSmall);
        }
        if length > *allowed.end() {
            return Err(DecodeError::TooLong);
        }
        Ok(Some(length))
    }

    /// Takes the bytes up to `end`, and returns those from `from` on; none if they have not all arrived.
    fn take(&mut self, from: usize, end: usize) -> Option<&[u8]> {
        if self.buffer.len() < end {
            return None;
        }
        self.start = end;
        Some(&self.buffer[from..end])
    }
}

/// The length in the first bytes; none if they have not all arrived.
fn read_length(bytes: &[u8]) -> Option<usize> {
    read_u32(bytes).and_then(|length| usize::try_from(length).ok())
}
