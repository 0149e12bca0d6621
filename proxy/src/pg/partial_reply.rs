//! A database's reply while its parts arrive, and its conversion to a [`Reply`].

use super::copies;
use super::load_report::LoadReportFormat;
use super::sqlstate::SqlState;
use crate::reply::{Reply, Value};
use birchreach::{AttemptOutcome, LoadReport, Micros, Role, ServerStatus};

/// The last part of a reply that has arrived. The parts arrive in this order. An error may arrive in place of any of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplyStage {
    #[default]
    Nothing,
    Description,
    Row,
    /// The end of the result, or an error. Only ReadyForQuery is missing.
    Complete,
}

/// The kind of reply that a query expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpectedReply {
    /// The value of a row, or no row.
    Value,
    /// The copy of a row. A copy with an earlier position than `required_position` is a miss.
    Copy { required_position: Micros },
    /// A load report as text.
    LoadReport,
}

/// The parts of a reply that have arrived.
#[derive(Default)]
pub(super) struct PartialReply {
    pub stage: ReplyStage,
    /// The total size of the messages that have arrived for the reply, not counting a streamed value.
    pub bytes: usize,
    /// The value is streamed: at least its header was forwarded.
    pub value_streamed: bool,
    /// The number of bytes of a streamed value that have not arrived.
    pub value_bytes_remaining: usize,
    /// The value is streamed even if it is short enough to be buffered.
    pub streams_short_value: bool,
    /// The value of the only row. `None`: there is no row, or its value is streamed.
    pub value: Option<Value>,
    pub error: Option<SqlState>,
    /// The role that the server reported with the reply.
    pub role: Option<Role>,
    /// The log position that the server reported with the reply.
    pub position: Option<Micros>,
    /// The load report that came with the reply.
    pub load_report: Option<LoadReport>,
}

impl PartialReply {
    /// Converts the parts to a reply. An error reply also has the server's status if the server sent it.
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

    /// The outcome of the attempt, by the SQLSTATE code of the error.
    fn outcome(&self) -> AttemptOutcome {
        match self.error {
            Some(SqlState::READ_ONLY | SqlState::SNAPSHOT_TOO_OLD) => AttemptOutcome::Ineligible,
            Some(SqlState::TOO_MANY_CONNECTIONS) => AttemptOutcome::Overloaded,
            Some(_) => AttemptOutcome::Error,
            None => AttemptOutcome::Ok,
        }
    }
}
