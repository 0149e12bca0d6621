//! Buffer of received bytes, from which messages are decoded one at a time.

use super::{
    ClientMessage, DecodeError, MAX_QUERY_BYTES, MAX_SERVER_MESSAGE_BYTES, MAX_STREAMED_VALUE_BYTES,
    ROW_HEADER_BYTES, ServerMessage, Startup, read_u32,
};
use crate::outbox::{BUFFER_STEP_BYTES, IDLE_BUFFER_BYTES, reserve_in_steps};
use std::ops::RangeInclusive;

/// The longest startup message. PostgreSQL has the same limit.
const MAX_STARTUP_BYTES: usize = 10_000;
/// The shortest startup message: the length field and the protocol version.
const MIN_STARTUP_BYTES: usize = 8;
/// The length field of a message. The length includes this field.
const LENGTH_BYTES: usize = 4;
/// The tag and the length field of a message.
const MESSAGE_HEADER_BYTES: usize = 5;
/// Tags of the messages that a client may send after the startup message.
const CLIENT_TAGS: &[u8] = b"QPBDECFSHdcfX";
/// Tags of the messages that a database may send.
const SERVER_TAGS: &[u8] = b"RSZTDCIENAKv";
/// The tag of a row.
const ROW_TAG: u8 = b'D';

/// Whether the next message is a row whose value is too long to be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LongRowHeader {
    Absent,
    /// The next message may be such a row, but its header has not arrived in full.
    Incomplete,
    /// The length of the row's only value, in bytes.
    Present(usize),
}

/// A decoded message from a database, and its size.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ReceivedServerMessage {
    pub message: ServerMessage,
    /// Size of the message, including its tag and length field.
    pub bytes: usize,
}

/// Bytes that were received and are not decoded yet.
#[derive(Default)]
pub(crate) struct Inbox {
    buffer: Vec<u8>,
    /// Bytes before this index are already decoded.
    start: usize,
}

impl Inbox {
    /// Appends received bytes.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        reserve_in_steps(&mut self.buffer, bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Gives memory back after a long message was decoded, while another one is not awaited.
    pub(crate) fn release_decoded_bytes(&mut self) {
        if self.start >= BUFFER_STEP_BYTES {
            self.buffer.drain(..self.start);
            self.start = 0;
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        }
    }

    /// Returns the bytes that are not decoded yet.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Returns the number of bytes that are not decoded yet.
    pub(crate) fn len(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Returns the number of bytes that the buffer holds, including decoded ones and free capacity.
    pub(crate) fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Decodes the next message of a client after the startup message. `None`: the message has not arrived in full.
    pub(crate) fn client_message(&mut self) -> Result<Option<ClientMessage>, DecodeError> {
        let message = self.message(CLIENT_TAGS, MAX_QUERY_BYTES)?;
        message.map(|(tag, body)| ClientMessage::decode(tag, body)).transpose()
    }

    /// Decodes the next message of a database. `None`: the message has not arrived in full.
    pub(crate) fn server_message(&mut self) -> Result<Option<ReceivedServerMessage>, DecodeError> {
        let Some((tag, body)) = self.message(SERVER_TAGS, MAX_SERVER_MESSAGE_BYTES)? else { return Ok(None) };
        let bytes = body.len() + MESSAGE_HEADER_BYTES;
        Ok(Some(ReceivedServerMessage { message: ServerMessage::decode(tag, body)?, bytes }))
    }

    /// Decodes the startup message, which has no tag. `None`: the message has not arrived in full.
    pub(crate) fn startup(&mut self) -> Result<Option<Startup>, DecodeError> {
        let start = self.start;
        let lengths = MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES;
        let Some(length) = self.declared_length(start, lengths)? else { return Ok(None) };
        self.take(start + LENGTH_BYTES, start + length).map(Startup::decode).transpose()
    }

    /// Returns the received part of the next message's body, for a message that has not arrived in full. `None`: the header is
    /// incomplete.
    pub(crate) fn incomplete_body(&self) -> Option<&[u8]> {
        self.buffer.get(self.start + MESSAGE_HEADER_BYTES..)
    }

    /// Returns how many bytes of the next client message have not arrived; zero if its length is not known.
    pub(crate) fn missing_message_bytes(&self) -> usize {
        let length_field = self.start + 1;
        self.missing_bytes(length_field, MAX_QUERY_BYTES)
    }

    /// Returns how many bytes of the startup message have not arrived; zero if its length is not known.
    pub(crate) fn missing_startup_bytes(&self) -> usize {
        self.missing_bytes(self.start, MAX_STARTUP_BYTES)
    }

    /// Returns how many bytes of the next message have not arrived, if it is a row whose length is known; zero otherwise.
    pub(crate) fn missing_row_bytes(&self) -> usize {
        if self.unread().first() != Some(&ROW_TAG) {
            return 0;
        }
        self.missing_bytes(self.start + 1, MAX_SERVER_MESSAGE_BYTES)
    }

    /// Returns how many bytes of the message whose length field is at this position have not arrived; zero if the length is not
    /// known or not valid.
    fn missing_bytes(&self, length_field: usize, max_length: usize) -> usize {
        let length = self.declared_length(length_field, LENGTH_BYTES..=max_length);
        let Ok(Some(length)) = length else { return 0 };
        (length_field + length).saturating_sub(self.buffer.len())
    }

    /// Removes the header of a row whose value is longer than `max_buffered` bytes, if such a row comes next, and returns the length of its only value. `take_up_to` then
    /// returns the bytes of the value as they arrive.
    pub(crate) fn take_long_row_header(&mut self, max_buffered: usize) -> LongRowHeader {
        let [tag, header @ ..] = &self.buffer[self.start..] else { return LongRowHeader::Absent };
        let header_length = ROW_HEADER_BYTES - 1;
        let Some(value) = read_length(header).and_then(|length| length.checked_sub(header_length)) else {
            return LongRowHeader::Absent;
        };
        if *tag != ROW_TAG || !(max_buffered + 1..=MAX_STREAMED_VALUE_BYTES).contains(&value) {
            return LongRowHeader::Absent;
        }
        match header.get(LENGTH_BYTES..header_length) {
            None => LongRowHeader::Incomplete,
            Some([0, 1, value_length @ ..]) if read_length(value_length) == Some(value) => {
                self.start += ROW_HEADER_BYTES;
                LongRowHeader::Present(value)
            }
            Some(_) => LongRowHeader::Absent,
        }
    }

    /// Removes and returns the undecoded bytes, at most `max_bytes`.
    pub(crate) fn take_up_to(&mut self, max_bytes: usize) -> Vec<u8> {
        let taken: Vec<u8> = self.unread().iter().copied().take(max_bytes).collect();
        self.start += taken.len();
        self.release_empty_buffer();
        taken
    }

    /// Shrinks the buffer to [`IDLE_BUFFER_BYTES`] if all bytes are decoded.
    pub(crate) fn release_empty_buffer(&mut self) {
        if self.start == self.buffer.len() {
            self.start = 0;
            self.buffer.clear();
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        }
    }

    /// Removes the next message and returns its tag and body. `None`: the message has not arrived in full. An unknown tag is an
    /// error as soon as it arrives.
    fn message(&mut self, tags: &[u8], max_length: usize) -> Result<Option<(u8, &[u8])>, DecodeError> {
        let Some(&tag) = self.buffer.get(self.start) else { return Ok(None) };
        if !tags.contains(&tag) {
            return Err(DecodeError::UnknownMessage);
        }
        let start = self.start + 1;
        let Some(length) = self.declared_length(start, LENGTH_BYTES..=max_length)? else { return Ok(None) };
        Ok(self.take(start + LENGTH_BYTES, start + length).map(|body| (tag, body)))
    }

    /// Reads the length field at `position` and checks it, so that a message of invalid length is rejected before its body is
    /// buffered. `None`: the field has not arrived in full.
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

    /// Removes the bytes up to `end` and returns those from `from` on. `None`: not all of them have arrived.
    fn take(&mut self, from: usize, end: usize) -> Option<&[u8]> {
        if self.buffer.len() < end {
            return None;
        }
        self.start = end;
        Some(&self.buffer[from..end])
    }
}

/// Reads a length field at the front of `bytes`. `None`: the field has not arrived in full.
fn read_length(bytes: &[u8]) -> Option<usize> {
    read_u32(bytes).and_then(|length| usize::try_from(length).ok())
}
