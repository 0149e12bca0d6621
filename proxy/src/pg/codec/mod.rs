//! Codec of protocol messages: splits the byte stream into messages, decodes them into typed values, and encodes messages.

mod client;
mod encode;
mod error;
mod inbox;
mod reply_end;
mod server;

pub(crate) use client::{ClientMessage, Startup};
pub(crate) use encode::Severity;
pub(crate) use error::DecodeError;
pub(crate) use inbox::{Inbox, LongRowHeader};
pub(crate) use reply_end::has_complete_reply_end;
pub(crate) use server::ServerMessage;

/// The longest message of a client: a value of 64 KiB in hexadecimal digits, and the rest of the statement.
pub(crate) const MAX_QUERY_BYTES: usize = (128 << 10) + 4096;
/// The longest value that a client may write, before hexadecimal encoding.
pub(crate) const MAX_CLIENT_VALUE_BYTES: usize = 64 << 10;
/// The longest value from a database that is buffered, and thus checked in full before any of it is forwarded.
pub(crate) const MAX_BUFFERED_VALUE_BYTES: usize = 64 << 10;
/// The longest value that is accepted from a database. A value too long to be buffered is streamed.
pub(super) const MAX_STREAMED_VALUE_BYTES: usize = 8 << 20;
/// The longest message of a database that is buffered: a value and the rest of the message.
pub(crate) const MAX_SERVER_MESSAGE_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + 4096;
/// The header of a row of one column: tag, length, number of columns, length of the value.
pub(super) const ROW_HEADER_BYTES: usize = 11;

/// Splits a zero-terminated string off the front. Returns the string without its terminator, and the rest. `None`: there is no
/// terminator.
pub(super) fn split_c_string(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|byte| *byte == 0)?;
    Some((&body[..end], &body[end + 1..]))
}

/// Converts bytes to a string. Invalid UTF-8 is replaced with the replacement character.
pub(super) fn to_string_lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Reads a big-endian number from the first four bytes. `None`: there are fewer bytes.
pub(super) fn read_u32(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk::<4>().map(|first| u32::from_be_bytes(*first))
}
