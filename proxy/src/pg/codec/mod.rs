//! Messages: cut out of a stream of bytes, decoded into typed values once, encoded once.

mod client;
mod encode;
mod inbox;
mod server;

pub use client::{FromClient, Startup};
pub use inbox::{Inbox, LongRow};
pub use server::FromServer;

/// The longest message of a client: a value of 64 KiB in hex, and the statement round it.
pub const MAX_QUERY: usize = (128 << 10) + 4096;
/// The longest value that a client may write.
pub const MAX_VALUE: usize = 64 << 10;
/// The longest value of a database that is checked whole before any of it goes on, and the longest of all.
pub(super) const MAX_WHOLE: usize = 64 << 10;
pub(super) const MAX_ANSWER: usize = 8 << 20;
/// The longest message of a database that is taken whole: a value and what goes round it.
pub const MAX_REPLY: usize = MAX_WHOLE + 4096;
/// What stands before the value of a row of one column: tag, length, number of columns, length of the value.
pub(super) const ROW_HEAD: usize = 11;

/// What no stream of this protocol holds, or more than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    TooLong,
    Bad(&'static str),
}

/// Cuts a string off the front, up to its zero byte.
pub(super) fn cut(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|b| *b == 0)?;
    Some((&body[..end], &body[end + 1..]))
}

pub(super) fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

pub(super) fn be32(b: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(b.get(..4)?.try_into().ok()?))
}
