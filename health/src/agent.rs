//! Agent-check: HAProxy's line protocol. The balancer connects, says at most one line, hears one line, and the
//! connection is over. A machine fed bytes; it knows no socket and no time.
//!
//! Owns the words. Never claims what the verdict does not, and answers a question that names what there is not with
//! `down`, for a balancer that asks for the wrong thing must not hear that all is well.

use crate::GroupId;
use crate::verdict::{Capability, HealthQuery, Operation, Reason, Verdict};

/// The longest line that is read.
const LINE: usize = 256;

/// A balancer's connection.
#[derive(Default)]
pub struct AgentCheckConnection {
    line: Vec<u8>,
    over: bool,
}

/// What it asks, or why that is no question.
pub type ParsedQuery = Result<HealthQuery, &'static str>;

impl AgentCheckConnection {
    /// Takes bytes; the question comes out once its line is whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<ParsedQuery> {
        if self.over {
            return None;
        }
        let end = bytes.iter().position(|b| *b == b'\n');
        self.line.extend_from_slice(&bytes[..end.unwrap_or(bytes.len()).min(LINE + 1)]);
        if self.line.len() > LINE {
            self.over = true;
            return Some(Err("line-too-long"));
        }
        end.and_then(|_| self.input_ended())
    }

    /// Nothing more comes, or not in time: balancers that send nothing ask for the whole, and those that send a line
    /// without its end mean what they sent.
    pub fn input_ended(&mut self) -> Option<ParsedQuery> {
        if std::mem::replace(&mut self.over, true) {
            return None;
        }
        Some(parse_query(&self.line))
    }
}

/// Words in any order: a class's name, `class=NAME`, `group=N`, `read`, `write`; nothing asks for the whole.
pub fn parse_query(line: &[u8]) -> ParsedQuery {
    let line = std::str::from_utf8(line).map_err(|_| "not-text")?;
    let mut asked = HealthQuery::default();
    let words = line.split(|c: char| c.is_ascii_whitespace() || c == ',' || c == ';');
    for word in words.filter(|w| !w.is_empty()) {
        let twice = match word.split_once('=') {
            Some(("group", n)) => {
                let n = n.parse().map_err(|_| "group-is-no-number")?;
                asked.group.replace(GroupId(n)).is_some()
            }
            Some(("class", name)) => asked.class.replace(name.to_string()).is_some(),
            Some(_) => return Err("unknown-word"),
            None if word == "read" => asked.operation.replace(Operation::Read).is_some(),
            None if word == "write" => asked.operation.replace(Operation::Write).is_some(),
            None => asked.class.replace(word.to_string()).is_some(),
        };
        if twice {
            return Err("word-twice");
        }
    }
    Ok(asked)
}

/// The reply to it. `maxconn`: how many connections the balancer may keep here, if that is told.
pub fn reply(asked: &ParsedQuery, verdict: &Verdict, maxconn: Option<usize>) -> String {
    let told = match asked {
        Err(why) => return format!("ready down #{why}\n"),
        Ok(question) => verdict.capability(question),
    };
    match told {
        None => "ready down #no-such-capability\n".into(),
        Some(Capability { available: true, weight_percent: weight, .. }) => {
            let most = maxconn.map_or(String::new(), |n| format!(" maxconn:{n}"));
            format!("ready up {weight}%{most}\n")
        }
        Some(Capability { reason: Reason::Draining | Reason::Replaced, .. }) => "drain\n".into(),
        Some(Capability { reason: Reason::Maintenance, .. }) => "maint\n".into(),
        Some(Capability { reason, .. }) => format!("ready down #{reason}\n"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn asks(line: &str) -> ParsedQuery {
        let mut whole = AgentCheckConnection::default();
        let told = whole.feed(line.as_bytes());
        // Byte by byte it is the same question.
        let mut split = AgentCheckConnection::default();
        let pieces: Vec<ParsedQuery> = line.bytes().filter_map(|b| split.feed(&[b])).collect();
        assert_eq!(told.iter().collect::<Vec<_>>(), pieces.iter().collect::<Vec<_>>());
        assert_eq!(whole.feed(b"more\n"), None, "a line is all");
        told.unwrap()
    }

    #[test]
    fn lines_are_questions_or_told_why_not() {
        let asked = |class: Option<&str>, group: Option<u32>, kind| {
            Ok(HealthQuery { class: class.map(Into::into), group: group.map(GroupId), operation: kind })
        };
        assert_eq!(asks("\n"), asked(None, None, None));
        assert_eq!(asks("file-entry\r\n"), asked(Some("file-entry"), None, None));
        assert_eq!(asks("group=3\n"), asked(None, Some(3), None));
        assert_eq!(asks(" group=3, class=file-entry \n"), asked(Some("file-entry"), Some(3), None));
        assert_eq!(asks("write;group=0\n"), asked(None, Some(0), Some(Operation::Write)));
        assert_eq!(asks("group=x\n"), Err("group-is-no-number"));
        assert_eq!(asks("group=1 group=2\n"), Err("word-twice"));
        assert_eq!(asks("a b\n"), Err("word-twice"));
        assert_eq!(asks("port=1\n"), Err("unknown-word"));
        let mut endless = AgentCheckConnection::default();
        assert_eq!(endless.feed(&[b'x'; 4096]), Some(Err("line-too-long")));
        let mut odd = AgentCheckConnection::default();
        assert_eq!(odd.feed(b"\xff\xfe\n"), Some(Err("not-text")));
        // Without the end of the line, what came is meant; with nothing, the whole.
        let mut silent = AgentCheckConnection::default();
        assert_eq!(silent.input_ended(), Some(asked(None, None, None)));
        assert_eq!(silent.input_ended(), None);
        let mut half = AgentCheckConnection::default();
        assert_eq!(
            (half.feed(b"file-entry"), half.input_ended()),
            (None, Some(asked(Some("file-entry"), None, None)))
        );
    }
}
