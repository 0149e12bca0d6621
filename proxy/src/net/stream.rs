//! Reads and writes one socket as far as possible without waiting.

use crate::outbox::Outbox;
use std::io::{ErrorKind, Read, Write};

/// How a connection ended, as far as the socket reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The other side closed it.
    Closed,
    /// It was reset, or failed in another way.
    Reset,
}

/// Reads what has arrived, a piece at a time, until `take` returns false. Returns whether all of it was read; if not, the poll does
/// not report the socket as readable again.
pub(super) fn read(
    stream: &mut impl Read,
    scratch: &mut [u8],
    mut take: impl FnMut(&[u8]) -> bool,
) -> Result<bool, StreamEnd> {
    loop {
        match stream.read(scratch) {
            Ok(0) => return Err(StreamEnd::Closed),
            Ok(count) => {
                if !take(&scratch[..count]) {
                    return Ok(false);
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(true),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(StreamEnd::Reset),
        }
    }
}

/// Writes the output as far as the socket accepts it. Returns whether all of it is written.
pub(super) fn write(stream: &mut impl Write, outbox: &mut Outbox) -> Result<bool, StreamEnd> {
    let written = write_some(stream, outbox.pending())?;
    outbox.advance(written);
    Ok(outbox.pending().is_empty())
}

/// Writes bytes as far as the socket accepts them. Returns how many are written.
pub(super) fn write_some(stream: &mut impl Write, bytes: &[u8]) -> Result<usize, StreamEnd> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(0) => return Err(StreamEnd::Reset),
            Ok(count) => written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(StreamEnd::Reset),
        }
    }
    Ok(written)
}
