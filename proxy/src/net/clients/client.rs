//! One client: its socket, machine and request, and how ready it is to make room for another.

use super::super::statement_payload::StatementPayload;
use crate::core::AttemptId;
use crate::pg::frontend::Frontend;
use birchreach::{Micros, RequestId};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// A newcomer's first bytes are on their way for so long: until then it makes room for nobody who came later.
const FIRST_REQUEST_GRACE_MICROS: Micros = 300_000;
pub(super) const NEWCOMER_CLASS: u8 = 3;

pub(super) struct Client {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    /// How many came before it: its key does not tell, for keys are used again.
    pub number: u64,
    pub protocol: Frontend,
    pub open_request: Option<(RequestId, StatementPayload)>,
    /// The attempt whose long value it is being sent, and whether more of that may come.
    pub streaming: Option<(AttemptId, bool)>,
    pub answered_requests: u64,
    /// It has made no request yet: it may be a balancer that only looks whether the process lives.
    pub unclassified: bool,
    /// It has closed its connection: what it sent before is owed no answer.
    pub peer_closed: bool,
    /// There is more to read or write than one turn takes.
    pub turn_incomplete: bool,
    /// To be closed, and how: at once, or after the client had its time to hear why.
    pub closing: Option<(&'static str, CloseMode)>,
    pub last_active_at: Micros,
    /// It was answered after the handover began: its end follows the answer.
    pub close_when_idle: bool,
    /// Since when something that it began is not whole; its first command from its connect on.
    pub incomplete_since: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    Immediate,
    /// It is told why; nothing more is owed then, but closing on unread input would break the connection
    /// before it has read that.
    AfterFlush,
    /// All is written: until this time, and this much input, it may go on sending what nobody keeps.
    Draining {
        until: Micros,
        max_bytes: usize,
    },
}

impl Client {
    /// Nothing was asked on it that is not answered.
    pub fn can_be_shed(&self) -> bool {
        let idle = self.protocol.is_idle() || self.protocol.is_in_startup();
        self.is_draining() || (self.open_request.is_none() && self.closing.is_none() && idle)
    }

    pub fn is_draining(&self) -> bool {
        matches!(self.closing, Some((_, CloseMode::Draining { .. })))
    }

    /// Who makes room first: those that have been told goodbye; those that had time for a request and
    /// brought none, for a flood of them would drive out those who do; those idle longest; and last those
    /// that have just come. Of those idle as long, for many come in one turn, who came first goes first.
    pub fn shed_priority(&self, now: Micros) -> (u8, Micros, u64) {
        let since = self.incomplete_since.unwrap_or(self.last_active_at);
        let class = match self.answered_requests {
            _ if self.is_draining() => 0,
            0 if self.protocol.has_received_command() || now - since >= FIRST_REQUEST_GRACE_MICROS => 1,
            0 => NEWCOMER_CLASS,
            _ => 2,
        };
        (class, since, self.number)
    }
}
