//! The protocol between two processes of one proxy while one replaces the other. Messages are lines of text. A state machine that
//! is fed bytes.

#[cfg(test)]
mod tests;

use crate::outbox::Outbox;
use std::error::Error;
use std::fmt::{self, Display};

/// The longest line.
const MAX_LINE_BYTES: usize = 64;

/// A message to the other process. The words on the wire must not change, as the other process may be of an earlier version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandoverMessage {
    /// `serving`: the newer process accepts clients.
    Serving,
    /// `leaving N`: the older process is stopping, and still has this number of descriptors open.
    Stopping(usize),
    /// `yields T`: the older process accepts no work from this time on, in Unix microseconds of the system's clock, which both
    /// processes read.
    StopsAcceptingAt(i64),
}

/// A line that is not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidMessage;

impl Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a message between processes of one proxy")
    }
}

impl Error for InvalidMessage {}

/// The protocol's state on one connection.
#[derive(Default)]
pub(crate) struct HandoverProtocol {
    input: Vec<u8>,
    /// Messages to the other process.
    pub outbox: Outbox,
}

impl HandoverProtocol {
    /// Takes bytes that the other process sent.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// The next message, once its line is complete.
    pub(crate) fn next_message(&mut self) -> Result<Option<HandoverMessage>, InvalidMessage> {
        let Some(end) = self.input.iter().position(|byte| *byte == b'\n') else {
            return if self.input.len() > MAX_LINE_BYTES { Err(InvalidMessage) } else { Ok(None) };
        };
        let line: Vec<u8> = self.input.drain(..=end).collect();
        let line = std::str::from_utf8(&line).map_err(|_| InvalidMessage)?;
        parse(line.trim_end()).map(Some)
    }

    /// Puts a message into the outbox.
    pub(crate) fn send(&mut self, message: HandoverMessage) {
        let line = match message {
            HandoverMessage::Serving => "serving\n".to_string(),
            HandoverMessage::Stopping(descriptors) => format!("leaving {descriptors}\n"),
            HandoverMessage::StopsAcceptingAt(unix_micros) => format!("yields {unix_micros}\n"),
        };
        self.outbox.append(line.as_bytes());
    }
}

/// Parses a line without its end.
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
