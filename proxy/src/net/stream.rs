//! Non-blocking reads and writes of one socket.

use crate::outbox::Outbox;
use crate::pg::backend::Backend;
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::os::fd::AsRawFd;

/// How a connection ended, according to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The peer closed the connection.
    Closed,
    /// The connection was reset, or it failed in another way.
    Reset,
}

/// Reads the available input into `scratch` and passes each piece to `consume`, until no input is left or `consume`
/// returns false. Returns whether all available input was read. If it was not, the caller must read again later,
/// because the poll does not report the socket as readable a second time.
pub(super) fn read(
    stream: &mut impl Read,
    scratch: &mut [u8],
    mut consume: impl FnMut(&[u8]) -> bool,
) -> Result<bool, StreamEnd> {
    loop {
        match stream.read(scratch) {
            Ok(0) => return Err(StreamEnd::Closed),
            Ok(count) => {
                if !consume(&scratch[..count]) {
                    return Ok(false);
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(true),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(StreamEnd::Reset),
        }
    }
}

/// Writes the output as far as the socket accepts it. Returns whether all of the output has been written.
pub(super) fn write(stream: &mut impl Write, outbox: &mut Outbox) -> Result<bool, StreamEnd> {
    let written = write_some(stream, outbox.pending())?;
    outbox.advance(written);
    Ok(outbox.pending().is_empty())
}

/// Writes bytes as far as the socket accepts them. Returns the number of bytes written.
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

/// Returns the number of written bytes that the peer's machine has not acknowledged, or on a Unix socket a number that is zero once the
/// peer has read all of them. Zero if the system does not tell.
pub(super) fn unacknowledged_bytes(stream: &impl AsRawFd) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open, and the call writes an int to a valid address.
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result == 0 { usize::try_from(bytes).unwrap_or(0) } else { 0 }
}

/// Writes the output of a database connection as far as the socket accepts it, with one system call for all parts of a long
/// statement. Returns whether all of the output has been written.
pub(super) fn write_query(stream: &mut impl Write, protocol: &mut Backend) -> Result<bool, StreamEnd> {
    while let Some(parts) = protocol.long_output() {
        match stream.write_vectored(&parts.map(IoSlice::new)) {
            Ok(0) => return Err(StreamEnd::Reset),
            Ok(count) => protocol.advance_long_output(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(StreamEnd::Reset),
        }
    }
    write(stream, &mut protocol.outbox)
}
