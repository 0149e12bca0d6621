//! Messages: cut out of a stream of bytes, decoded into typed values once, encoded once.

mod client;
mod encode;
mod inbox;
mod server;

pub use client::{ClientMessage, Startup};
pub use inbox::{Inbox, LongRowHeader};
pub use server::ServerMessage;

/// The longest message of a client: a value of 64 KiB in hex, and the statement round it.
pub const MAX_QUERY_BYTES: usize = (128 << 10) + 4096;
/// The longest value that a client may write.
pub const MAX_CLIENT_VALUE_BYTES: usize = 64 << 10;
/// The longest value of a database that is checked whole before any of it goes on, and the longest of all.
pub(super) const MAX_BUFFERED_VALUE_BYTES: usize = 64 << 10;
pub(super) const MAX_STREAMED_VALUE_BYTES: usize = 8 << 20;
/// The longest message of a database that is taken whole: a value and what goes round it.
pub const MAX_SERVER_MESSAGE_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + 4096;
/// What stands before the value of a row of one column: tag, length, number of columns, length of the value.
pub(super) const ROW_HEADER_BYTES: usize = 11;

/// What no stream of this protocol holds, or more than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    TooLong,
    Malformed(&'static str),
}

/// Cuts a string off the front, up to its zero byte.
pub(super) fn split_c_string(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|b| *b == 0)?;
    Some((&body[..end], &body[end + 1..]))
}

pub(super) fn to_string_lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

pub(super) fn read_u32(b: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(b.get(..4)?.try_into().ok()?))
}
