//! The protocol between two processes of one proxy while one replaces the other: lines of text, as a state machine that is fed bytes.

#[cfg(test)]
mod tests;

use crate::outbox::Outbox;
use std::error::Error;
use std::fmt::{self, Display};

/// The longest line.
const MAX_LINE_BYTES: usize = 64;

/// What one process tells the other. The words on the wire are older than these names and stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverMessage {
    /// `serving`: the newer process takes clients.
    Serving,
    /// `leaving N`: the older process is stopping, and still holds so many descriptors.
    Stopping(usize),
    /// `yields T`: the older process takes no new work from this time on, in Unix microseconds of the system's clock, which both
    /// processes read.
    StopsAcceptingAt(i64),
}

/// A line that is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidMessage;

impl Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a message between processes of one proxy")
    }
}

impl Error for InvalidMessage {}

/// The protocol's state on one connection.
#[derive(Default)]
pub struct HandoverProtocol {
    input: Vec<u8>,
    /// Messages to the other process.
    pub outbox: Outbox,
}

impl HandoverProtocol {
    /// Takes bytes of the other process.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// The next message, once its line is complete.
    pub fn next_message(&mut self) -> Result<Option<HandoverMessage>, InvalidMessage> {
        let Some(end) = self.input.iter().position(|byte| *byte == b'\n') else {
            return if self.input.len() > MAX_LINE_BYTES { Err(InvalidMessage) } else { Ok(None) };
        };
        let line: Vec<u8> = self.input.drain(..=end).collect();
        let line = std::str::from_utf8(&line).map_err(|_| InvalidMessage)?;
        parse(line.trim_end()).map(Some)
    }

    /// Puts a message into the outbox.
    pub fn send(&mut self, message: HandoverMessage) {
        let line = match message {
            HandoverMessage::Serving => "serving\n".to_string(),
            HandoverMessage::Stopping(descriptors) => format!("leaving {descriptors}\n"),
            HandoverMessage::StopsAcceptingAt(unix_micros) => format!("yields {unix_micros}\n"),
        };
        self.outbox.append(line.as_bytes());
    }
}

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
