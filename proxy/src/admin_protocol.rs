//! The operators' protocol: one line is a call, it gets one reply, and the connection is closed. A state machine that is fed bytes
//! and uses no socket.

use crate::outbox::Outbox;

/// The longest line that is read.
const MAX_LINE_BYTES: usize = 256;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminCall {
    /// Whether this process accepts clients.
    Status,
    /// Its counters and gauges.
    Stats,
    /// The members of the fleet, and this process's view of it.
    Fleet,
    /// The hot keys and their copies.
    Hot,
    /// The comparison of a group that is split with its children.
    Split,
    /// The metrics of subsystems, in the text format of Prometheus.
    Metrics,
    /// Take the proxy out of the balancers' rotation, or put it back.
    Maintenance(bool),
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminReply {
    /// Yes, or done.
    Yes(&'static str),
    /// No, with the reason.
    No(&'static str),
    /// There is no such call, or its subsystem is off.
    UnknownCall,
    /// Lines of figures, which are followed by an end line.
    Lines(String),
    /// A text that has its own end line.
    Text(String),
}

/// The protocol's state on one connection.
#[derive(Default)]
pub(crate) struct AdminProtocol {
    line: Vec<u8>,
    answered: bool,
    /// The reply.
    pub outbox: Outbox,
}

impl AdminProtocol {
    /// Takes bytes; returns the call once its line is complete. An invalid line is answered here.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Option<AdminCall> {
        if self.answered {
            // What follows the line is ignored.
            return None;
        }
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let part_of_line = &bytes[..end.unwrap_or(bytes.len())];
        if self.line.len() + part_of_line.len() > MAX_LINE_BYTES {
            self.answer(&AdminReply::No("the line is too long"));
            return None;
        }
        self.line.extend_from_slice(part_of_line);
        end?;
        self.parse_line()
    }

    /// The operator has closed its side, which ends the line too.
    pub(crate) fn input_ended(&mut self) -> Option<AdminCall> {
        if self.answered || self.line.is_empty() { None } else { self.parse_line() }
    }

    /// The call in the line. An invalid line is answered here.
    fn parse_line(&mut self) -> Option<AdminCall> {
        match self.line.trim_ascii() {
            b"status" => return Some(AdminCall::Status),
            b"stats" => return Some(AdminCall::Stats),
            b"fleet" => return Some(AdminCall::Fleet),
            b"hot" => return Some(AdminCall::Hot),
            b"split" => return Some(AdminCall::Split),
            b"metrics" => return Some(AdminCall::Metrics),
            b"maintenance on" => return Some(AdminCall::Maintenance(true)),
            b"maintenance off" => return Some(AdminCall::Maintenance(false)),
            b"" => self.answer(&AdminReply::No("an empty line; calls are: status, stats")),
            _ => self.answer(&AdminReply::UnknownCall),
        }
        None
    }

    /// Writes the reply to the outbox; further input is ignored.
    pub(crate) fn answer(&mut self, reply: &AdminReply) {
        match reply {
            AdminReply::Yes(text) => self.write(&format!("YES {text}\n")),
            AdminReply::No(reason) => self.write(&format!("NO {reason}\n")),
            AdminReply::UnknownCall => self.write("NO no such call; calls are: status, stats\n"),
            AdminReply::Lines(lines) => self.write(&format!("{lines}END\n")),
            AdminReply::Text(text) => self.write(text),
        }
        self.answered = true;
    }

    /// Appends to the outbox.
    fn write(&mut self, text: &str) {
        self.outbox.append(text.as_bytes());
    }

    /// Whether the reply is in the outbox.
    pub(crate) fn is_answered(&self) -> bool {
        self.answered
    }
}
