//! The operators' protocol: one line in, one reply out, and the connection is over. A machine that is fed
//! bytes and knows no socket.

use crate::outbox::Outbox;

/// The longest line that is read.
const LINE: usize = 256;

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Does this process take clients?
    Status,
    /// Its figures.
    Stats,
    /// Which proxies are there, and how this one stands with them.
    Fleet,
    /// Which keys are hot, and what is done about them.
    Hot,
    /// What reads of a group that splits have come to beside its children's.
    Split,
    /// The figures of subsystems, in the text form of Prometheus.
    Metrics,
    /// Take the proxy out of the balancers' rotation, or back in.
    Maintenance(bool),
}

/// What an operator is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminReply {
    Yes(&'static str),
    No(&'static str),
    /// No such call, or the subsystem that it is about is off.
    UnknownCall,
    /// Lines of figures; a line that ends them follows.
    Figures(String),
    /// A text that ends itself.
    Text(String),
}

/// A caller's connection.
#[derive(Default)]
pub struct Caller {
    line: Vec<u8>,
    done: bool,
    pub out: Outbox,
}

impl Caller {
    /// Takes bytes; a call comes out once its line is whole. What is no call is answered here.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Call> {
        if self.done {
            // What comes behind the line is passed over.
            return None;
        }
        let end = bytes.iter().position(|b| *b == b'\n');
        let more = &bytes[..end.unwrap_or(bytes.len())];
        if self.line.len() + more.len() > LINE {
            self.answer(&AdminReply::No("the line is too long"));
            return None;
        }
        self.line.extend_from_slice(more);
        end?;
        self.whole()
    }

    /// The caller writes no more, which ends its line too.
    pub fn ended(&mut self) -> Option<Call> {
        if self.done || self.line.is_empty() { None } else { self.whole() }
    }

    fn whole(&mut self) -> Option<Call> {
        match self.line.trim_ascii() {
            b"status" => return Some(Call::Status),
            b"stats" => return Some(Call::Stats),
            b"fleet" => return Some(Call::Fleet),
            b"hot" => return Some(Call::Hot),
            b"split" => return Some(Call::Split),
            b"metrics" => return Some(Call::Metrics),
            b"maintenance on" => return Some(Call::Maintenance(true)),
            b"maintenance off" => return Some(Call::Maintenance(false)),
            b"" => self.answer(&AdminReply::No("an empty line; calls are: status, stats")),
            _ => self.answer(&AdminReply::UnknownCall),
        }
        None
    }

    /// Answers the call; nothing more is read.
    pub fn answer(&mut self, reply: &AdminReply) {
        match reply {
            AdminReply::Yes(text) => self.reply(&format!("YES {text}\n")),
            AdminReply::No(reason) => self.reply(&format!("NO {reason}\n")),
            AdminReply::UnknownCall => self.reply("NO no such call; calls are: status, stats\n"),
            AdminReply::Figures(lines) => self.reply(&format!("{lines}END\n")),
            AdminReply::Text(text) => self.reply(text),
        }
    }

    fn reply(&mut self, text: &str) {
        self.out.raw(text.as_bytes());
        self.done = true;
    }

    /// The reply is given.
    pub fn done(&self) -> bool {
        self.done
    }
}
