//! Reading and writing one socket as far as it goes just now.

use crate::outbox::Outbox;
use std::io::{ErrorKind, Read, Write};

/// How a connection ended, as far as the socket tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Closed,
    Reset,
}

/// Reads what has come, a piece at a time, until `take` wants no more. True: nothing more has come; else
/// the socket will not say again that it is readable.
pub fn read(
    stream: &mut impl Read,
    scratch: &mut [u8],
    mut take: impl FnMut(&[u8]) -> bool,
) -> Result<bool, Ended> {
    loop {
        match stream.read(scratch) {
            Ok(0) => return Err(Ended::Closed),
            Ok(n) => {
                if !take(&scratch[..n]) {
                    return Ok(false);
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(true),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(Ended::Reset),
        }
    }
}

/// Writes what waits. True: all of it has gone.
pub fn write(stream: &mut impl Write, out: &mut Outbox) -> Result<bool, Ended> {
    let written = write_some(stream, out.pending())?;
    out.advance(written);
    Ok(out.pending().is_empty())
}

/// Writes as much of it as goes just now.
pub fn write_some(stream: &mut impl Write, bytes: &[u8]) -> Result<usize, Ended> {
    let mut at = 0;
    while at < bytes.len() {
        match stream.write(&bytes[at..]) {
            Ok(0) => return Err(Ended::Reset),
            Ok(n) => at += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(Ended::Reset),
        }
    }
    Ok(at)
}
