//! Agent-check, HAProxy's line protocol: the balancer connects, sends at most one line, reads one line, and the
//! connection ends.
//!
//! A query that names something unknown is answered with `down`, so that a mistake in the balancer's configuration
//! doesn't read as healthy.

use crate::labels::Reason;
use crate::query::{HealthQuery, QueryError};
use crate::verdict::{Capability, Verdict};

/// The longest line that is read.
const MAX_LINE_BYTES: usize = 256;

/// What a line asks for, or why it is no query.
pub type ParsedQuery = Result<HealthQuery, QueryError>;

/// A balancer's connection.
#[derive(Default)]
pub struct AgentCheckConnection {
    /// The line as far as it was received.
    line: Vec<u8>,
    /// The query was returned; further input is ignored.
    finished: bool,
}

impl AgentCheckConnection {
    /// Takes input. Returns the query once its line is complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<ParsedQuery> {
        if self.finished {
            return None;
        }
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let length = line_end.unwrap_or(bytes.len()).min(MAX_LINE_BYTES + 1);
        self.line.extend_from_slice(&bytes[..length]);
        if self.line.len() > MAX_LINE_BYTES {
            self.finished = true;
            return Some(Err(QueryError::LineTooLong));
        }
        line_end.and_then(|_| self.input_ended())
    }

    /// No more input comes, or none came in time: what was sent is the query, even without the end of its line.
    pub fn input_ended(&mut self) -> Option<ParsedQuery> {
        if std::mem::replace(&mut self.finished, true) {
            return None;
        }
        Some(HealthQuery::parse(&self.line))
    }
}

/// The reply to a query. `max_connections`: how many connections the balancer may open here, if the reply is to say so.
pub fn reply(query: &ParsedQuery, verdict: &Verdict, max_connections: Option<usize>) -> String {
    let capability = match query {
        Err(error) => return format!("ready down #{error}\n"),
        Ok(query) => verdict.capability(query),
    };
    match capability {
        None => "ready down #no-such-capability\n".into(),
        Some(Capability { available: true, weight_percent, .. }) => {
            let maxconn = max_connections.map_or(String::new(), |number| format!(" maxconn:{number}"));
            format!("ready up {weight_percent}%{maxconn}\n")
        }
        Some(Capability { reason: Reason::Draining | Reason::Replaced, .. }) => "drain\n".into(),
        Some(Capability { reason: Reason::Maintenance, .. }) => "maint\n".into(),
        Some(Capability { reason, .. }) => format!("ready down #{reason}\n"),
    }
}
