//! Protocol state machine of an admin connection. The operator sends one line with a call, receives one reply, and the connection
//! is closed. The state machine takes bytes as input and performs no I/O.

use crate::outbox::Outbox;

/// The longest line that is accepted, not counting the line feed.
const MAX_LINE_BYTES: usize = 256;

/// A valid call from an operator. The event loop carries it out and passes the reply to [`AdminProtocol::answer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminCall {
    /// Report whether this process accepts clients.
    Status,
    /// Report the counters and gauges of this process.
    Stats,
    /// Report the memory of this process, by what holds it.
    Memory,
    /// Report the members of the fleet, and this process's view of the fleet.
    Fleet,
    /// Report the hot keys and their copies.
    Hot,
    /// Report the comparison of a group that is being split with its child groups.
    Split,
    /// Report the metrics of subsystems in the Prometheus text format.
    Metrics,
    /// `true`: take the proxy out of the load balancers' rotation. `false`: put it back.
    Maintenance(bool),
}

/// The reply to a line from an operator. The variant determines the format in which the reply is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminReply {
    /// The answer is yes, or the call was carried out.
    Yes(&'static str),
    /// The answer is no, or the call was refused. The text is the reason.
    No(&'static str),
    /// There is no such call, or the call's subsystem is disabled.
    UnknownCall,
    /// Lines of a report, each with a line feed. The protocol appends the line `END`.
    Lines(String),
    /// A text that is sent unchanged, because its format has an end line of its own.
    Text(String),
}

/// The state of the protocol on one connection.
#[derive(Default)]
pub(crate) struct AdminProtocol {
    line: Vec<u8>,
    answered: bool,
    /// Output that has not been written to the socket. It holds at most one reply.
    pub outbox: Outbox,
}

impl AdminProtocol {
    /// Takes received bytes and returns the call once the line is complete. An invalid line is answered here.
    pub(crate) fn feed(&mut self, bytes: &[u8]) -> Option<AdminCall> {
        if self.answered {
            // Input after the line is ignored.
            return None;
        }
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let line_part = &bytes[..end.unwrap_or(bytes.len())];
        if self.line.len() + line_part.len() > MAX_LINE_BYTES {
            self.answer(&AdminReply::No("the line is too long"));
            return None;
        }
        self.line.extend_from_slice(line_part);
        end?;
        self.parse_line()
    }

    /// Handles the end of the input, which also completes the line.
    pub(crate) fn input_ended(&mut self) -> Option<AdminCall> {
        if self.answered || self.line.is_empty() { None } else { self.parse_line() }
    }

    /// Parses the line and returns the call. An invalid line is answered here.
    fn parse_line(&mut self) -> Option<AdminCall> {
        match self.line.trim_ascii() {
            b"status" => return Some(AdminCall::Status),
            b"stats" => return Some(AdminCall::Stats),
            b"memory" => return Some(AdminCall::Memory),
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

    /// Writes the reply to the outbox. Further input is ignored.
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

    fn write(&mut self, text: &str) {
        self.outbox.append(text.as_bytes());
    }

    /// Whether the reply has been written to the outbox.
    pub(crate) fn is_answered(&self) -> bool {
        self.answered
    }
}
