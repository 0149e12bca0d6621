//! A database's reply, as far as it has arrived, and what it amounts to.

use super::copies;
use super::load_report::LoadReportFormat;
use super::sqlstate::SqlState;
use crate::reply::{Reply, Value};
use birchreach::{AttemptOutcome, LoadReport, Micros, Role, ServerStatus};

/// A reply goes through these in order, or comes to an error at any point before its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplyStage {
    #[default]
    Nothing,
    Description,
    Row,
    /// All of the reply, or an error: only ReadyForQuery is missing.
    Complete,
}

/// What a query asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpectedReply {
    /// A value, or an error.
    Value,
    /// The copy of a value, which must have this position at least.
    Copy { required_position: Micros },
    /// A load report.
    LoadReport,
}

/// A reply, as far as it has arrived.
#[derive(Default)]
pub(super) struct PartialReply {
    pub stage: ReplyStage,
    /// The bytes of its messages so far.
    pub bytes: usize,
    /// Bytes of a streamed value that have not arrived.
    pub value_bytes_remaining: usize,
    /// The value of the one row, unless it is streamed.
    pub value: Option<Value>,
    pub error: Option<SqlState>,
    /// The server's role and position, as it stated them beside the reply.
    pub role: Option<Role>,
    pub position: Option<Micros>,
    /// The load report that came beside the reply.
    pub load_report: Option<LoadReport>,
}

impl PartialReply {
    /// Puts together what has arrived. Errors too have the server's status, if it was sent.
    pub fn into_reply(self, expected: ExpectedReply, format: &LoadReportFormat) -> Reply {
        let outcome = self.outcome();
        let succeeded = outcome == AttemptOutcome::Ok;
        let position = self.position;
        let status = self.role.map(|role| ServerStatus { role, position });
        let (value, load_report) = match expected {
            ExpectedReply::Copy { required_position } if succeeded => {
                let miss = Reply {
                    status,
                    load_report: self.load_report,
                    ..Reply::with_outcome(AttemptOutcome::Ineligible)
                };
                return copies::parse_copy(self.value, required_position, miss);
            }
            ExpectedReply::LoadReport => match self.value {
                Some(report) if succeeded => (None, format.parse(&report.bytes)),
                _ => (None, self.load_report),
            },
            ExpectedReply::Value | ExpectedReply::Copy { .. } => {
                (self.value.filter(|_| succeeded), self.load_report)
            }
        };
        Reply { value, status, load_report, ..Reply::with_outcome(outcome) }
    }

    fn outcome(&self) -> AttemptOutcome {
        match self.error {
            Some(SqlState::READ_ONLY | SqlState::SNAPSHOT_TOO_OLD) => AttemptOutcome::Ineligible,
            Some(SqlState::TOO_MANY_CONNECTIONS) => AttemptOutcome::Overloaded,
            Some(_) => AttemptOutcome::Error,
            None => AttemptOutcome::Ok,
        }
    }
}
