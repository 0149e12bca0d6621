//! The protocol between two processes of one proxy while one replaces the other. Messages are lines of text. The protocol is a
//! state machine: the caller reads and writes the bytes.

#[cfg(test)]
mod tests;

use crate::outbox::Outbox;
use std::error::Error;
use std::fmt::{self, Display};

/// The most bytes that may arrive before the end of a line.
const MAX_LINE_BYTES: usize = 64;

/// A message to the other process. The words on the wire must not change, because the other process may run an earlier version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandoverMessage {
    /// `serving`: the newer process accepts clients.
    Serving,
    /// `leaving N`: the older process is stopping and still has `N` descriptors open.
    Stopping(usize),
    /// `yields T`: the older process accepts no work from the time `T` on, in Unix microseconds of the system's clock, which both
    /// processes read.
    StopsAcceptingAt(i64),
}

/// A received line is not a message, or is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidMessage;

impl Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("received a line that is not a handover message")
    }
}

impl Error for InvalidMessage {}

/// The state of the protocol on one connection.
#[derive(Default)]
pub(crate) struct HandoverProtocol {
    input: Vec<u8>,
    /// Encoded messages that wait to be written.
    pub outbox: Outbox,
}

impl HandoverProtocol {
    /// Adds bytes that were read from the other process.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns the next message, or `None` until its line is complete.
    pub(crate) fn next_message(&mut self) -> Result<Option<HandoverMessage>, InvalidMessage> {
        let Some(end) = self.input.iter().position(|byte| *byte == b'\n') else {
            return if self.input.len() > MAX_LINE_BYTES { Err(InvalidMessage) } else { Ok(None) };
        };
        let line: Vec<u8> = self.input.drain(..=end).collect();
        let line = std::str::from_utf8(&line).map_err(|_| InvalidMessage)?;
        parse(line.trim_end()).map(Some)
    }

    /// Appends a message to the outbox.
    pub(crate) fn send(&mut self, message: HandoverMessage) {
        let line = match message {
            HandoverMessage::Serving => "serving\n".to_string(),
            HandoverMessage::Stopping(descriptors) => format!("leaving {descriptors}\n"),
            HandoverMessage::StopsAcceptingAt(unix_micros) => format!("yields {unix_micros}\n"),
        };
        self.outbox.append(line.as_bytes());
    }
}

/// Parses a line without its line break.
fn parse(line: &str) -> Result<HandoverMessage, InvalidMessage> {
    match line.split_once(' ') {
        None if line == "serving" => Ok(HandoverMessage::Serving),
        Some(("leaving", descriptors)) => {
            descriptors.parse().map(HandoverMessage::Stopping).map_err(|_| InvalidMessage)
        }
        Some(("yields", unix_micros)) => {
            unix_micros.parse().map(HandoverMessage::StopsAcceptingAt).map_err(|_| InvalidMessage)
        }
        _ => Err(InvalidMessage),
    }
}
