//! What two processes of one proxy tell each other while one replaces the other: lines, as a machine that is fed
//! bytes.

use crate::outbox::Outbox;

/// The longest line.
const LINE: usize = 64;

/// What the other process says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// The newer one takes clients.
    Serving,
    /// The older one was told to stop, and still holds so many descriptors.
    Leaving(usize),
    /// The older one takes no new work from this time on: microseconds of the system's clock, which both read.
    Yields(i64),
}

/// What it says makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Nonsense;

#[derive(Default)]
pub struct Peer {
    input: Vec<u8>,
    pub out: Outbox,
}

impl Peer {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// The next word, once its line is whole.
    pub fn next(&mut self) -> Result<Option<Word>, Nonsense> {
        let Some(end) = self.input.iter().position(|b| *b == b'\n') else {
            return if self.input.len() > LINE { Err(Nonsense) } else { Ok(None) };
        };
        let line: Vec<u8> = self.input.drain(..=end).collect();
        let line = std::str::from_utf8(&line).map_err(|_| Nonsense)?.trim_end();
        match line.split_once(' ') {
            None if line == "serving" => Ok(Some(Word::Serving)),
            Some(("yields", at)) => at.parse().map(|at| Some(Word::Yields(at))).map_err(|_| Nonsense),
            Some(("leaving", held)) => held.parse().map(|n| Some(Word::Leaving(n))).map_err(|_| Nonsense),
            _ => Err(Nonsense),
        }
    }

    pub fn say(&mut self, word: Word) {
        self.out.raw(
            match word {
                Word::Serving => "serving\n".to_string(),
                Word::Leaving(held) => format!("leaving {held}\n"),
                Word::Yields(at) => format!("yields {at}\n"),
            }
            .as_bytes(),
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_come_as_they_were_said_and_nonsense_is_told() {
        let mut said = Peer::default();
        said.say(Word::Serving);
        said.say(Word::Leaving(17));
        said.say(Word::Yields(1_767_225_600_123_456));
        let mut heard = Peer::default();
        let mut words = Vec::new();
        for byte in said.out.pending() {
            heard.feed(&[*byte]);
            words.extend(heard.next().unwrap());
        }
        assert_eq!(words, [Word::Serving, Word::Leaving(17), Word::Yields(1_767_225_600_123_456)]);
        for bad in ["leaving\n", "leaving -1\n", "yields soon\n", "\n", &"x".repeat(65)] {
            let mut peer = Peer::default();
            peer.feed(bad.as_bytes());
            assert_eq!(peer.next(), Err(Nonsense), "{bad}");
        }
    }
}
