//! What two processes of one proxy tell each other while one replaces the other: lines, as a machine that is fed
//! bytes.

use crate::outbox::Outbox;

/// The longest line.
const LINE: usize = 64;

/// What the other process says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverMessage {
    /// The newer one takes clients.
    Serving,
    /// The older one was told to stop, and still holds so many descriptors.
    Stopping(usize),
    /// The older one takes no new work from this time on: microseconds of the system's clock, which both read.
    StopsAcceptingAt(i64),
}

/// What it says makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidMessage;

#[derive(Default)]
pub struct HandoverProtocol {
    input: Vec<u8>,
    pub out: Outbox,
}

impl HandoverProtocol {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// The next word, once its line is whole.
    pub fn next_message(&mut self) -> Result<Option<HandoverMessage>, InvalidMessage> {
        let Some(end) = self.input.iter().position(|b| *b == b'\n') else {
            return if self.input.len() > LINE { Err(InvalidMessage) } else { Ok(None) };
        };
        let line: Vec<u8> = self.input.drain(..=end).collect();
        let line = std::str::from_utf8(&line).map_err(|_| InvalidMessage)?.trim_end();
        match line.split_once(' ') {
            None if line == "serving" => Ok(Some(HandoverMessage::Serving)),
            Some(("yields", at)) => {
                at.parse().map(|at| Some(HandoverMessage::StopsAcceptingAt(at))).map_err(|_| InvalidMessage)
            }
            Some(("leaving", held)) => {
                held.parse().map(|n| Some(HandoverMessage::Stopping(n))).map_err(|_| InvalidMessage)
            }
            _ => Err(InvalidMessage),
        }
    }

    pub fn send(&mut self, word: HandoverMessage) {
        self.out.raw(
            match word {
                HandoverMessage::Serving => "serving\n".to_string(),
                HandoverMessage::Stopping(held) => format!("leaving {held}\n"),
                HandoverMessage::StopsAcceptingAt(at) => format!("yields {at}\n"),
            }
            .as_bytes(),
        );
    }
}

#[cfg(test)]
mod tests;
