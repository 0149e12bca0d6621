//! HAProxy's agent-check protocol. The balancer connects, sends at most one line and reads one line; then the
//! connection is closed.
//!
//! A query for an unknown class or group is answered with `down`. Otherwise a mistake in the balancer's configuration
//! would look like a healthy proxy.

use crate::labels::Reason;
use crate::query::{HealthQuery, QueryError};
use crate::verdict::{Capability, Verdict};

/// A longer line is rejected with [`QueryError::LineTooLong`].
const MAX_LINE_BYTES: usize = 256;

/// The query that a line contains, or the reason why the line is not a valid query.
pub type ParsedQuery = Result<HealthQuery, QueryError>;

/// The input side of one agent-check connection.
#[derive(Default)]
pub struct AgentCheckConnection {
    /// The received part of the line.
    line: Vec<u8>,
    /// Set once the query was returned. Further input is ignored.
    finished: bool,
}

impl AgentCheckConnection {
    /// Processes received bytes. Returns the query as soon as its line is complete, and `None` before and after that.
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

    /// Ends the input, because the balancer closed its side or the query timeout expired. Parses the received bytes as
    /// the query, even without a line end. Returns `None` if the query was returned before.
    pub fn input_ended(&mut self) -> Option<ParsedQuery> {
        if std::mem::replace(&mut self.finished, true) {
            return None;
        }
        Some(HealthQuery::parse(&self.line))
    }
}

/// Formats the reply to a query. If `max_connections` is set, an `up` reply limits the balancer to that many
/// connections to this proxy.
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
