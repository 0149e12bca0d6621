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

/// Returns the number of bytes that the system has received and that have not been read. Zero if the system does not tell.
pub(super) fn unread_bytes(stream: &impl AsRawFd) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open, and the call writes an int to a valid address.
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), libc::FIONREAD, &raw mut bytes) };
    if result == 0 { usize::try_from(bytes).unwrap_or(0) } else { 0 }
}

/// Whether the peer may still send something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerState {
    Open,
    /// The peer has closed its sending side. What it sent before may be unread.
    Closed,
    /// The connection was reset or failed. What arrived before may be unread.
    Failed,
}

/// Returns whether the peer may still send something, without reading.
pub(super) fn peer_state(stream: &impl AsRawFd) -> PeerState {
    let mut poll = libc::pollfd { fd: stream.as_raw_fd(), events: libc::POLLRDHUP, revents: 0 };
    // SAFETY: the call gets one valid entry, whose descriptor is open, and does not wait.
    let reported = unsafe { libc::poll(&raw mut poll, 1, 0) };
    if reported <= 0 {
        PeerState::Open
    } else if poll.revents & libc::POLLERR != 0 {
        PeerState::Failed
    } else {
        PeerState::Closed
    }
}

/// Makes the system keep at least this many received bytes, as far as its limits allow. The buffer can still grow. Without effect if the
/// system refuses.
pub(super) fn enlarge_receive_buffer(stream: &impl AsRawFd, bytes: usize) {
    // The system makes the buffer large enough for the bytes that the reader waits for, and keeps the size after that.
    let minimum_sizes = [libc::c_int::try_from(bytes).unwrap_or(libc::c_int::MAX), 1];
    for size in minimum_sizes {
        // SAFETY: the descriptor is open, and the option's value is an int at a valid address.
        unsafe {
            libc::setsockopt(
                stream.as_raw_fd(),
                libc::SOL_SOCKET,
                libc::SO_RCVLOWAT,
                (&raw const size).cast(),
                size_of::<libc::c_int>() as libc::socklen_t,
            );
        }
    }
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
