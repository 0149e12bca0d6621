//! A database's reply while it arrives, and the result of a complete one.

use super::copies;
use super::load_report::LoadReportFormat;
use super::sqlstate::SqlState;
use crate::reply::{Reply, Value};
use birchreach::{AttemptOutcome, LoadReport, Micros, Role, ServerStatus};

/// The last part of a reply that has arrived. They arrive in this order; an error may replace any of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplyStage {
    #[default]
    Nothing,
    Description,
    Row,
    /// The complete reply, or an error: only ReadyForQuery is missing.
    Complete,
}

/// The kind of reply to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpectedReply {
    /// A value, or an error.
    Value,
    /// The copy of a value, which must have this position at least.
    Copy { required_position: Micros },
    /// A load report.
    LoadReport,
}

/// The parts of a reply that have arrived.
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
    /// The server's role, as it stated it with the reply.
    pub role: Option<Role>,
    /// The server's position, as it stated it with the reply.
    pub position: Option<Micros>,
    /// The load report that came with the reply.
    pub load_report: Option<LoadReport>,
}

impl PartialReply {
    /// The reply from these parts. Errors too have the server's status, if it was sent.
    pub(super) fn into_reply(self, expected: ExpectedReply, format: &LoadReportFormat) -> Reply {
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

    /// The outcome that the error stands for, if there is one.
    fn outcome(&self) -> AttemptOutcome {
        match self.error {
            Some(SqlState::READ_ONLY | SqlState::SNAPSHOT_TOO_OLD) => AttemptOutcome::Ineligible,
            Some(SqlState::TOO_MANY_CONNECTIONS) => AttemptOutcome::Overloaded,
            Some(_) => AttemptOutcome::Error,
            None => AttemptOutcome::Ok,
        }
    }
}
