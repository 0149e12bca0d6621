//! A database's answer, as far as it has come, and what it comes to.

use super::report::LoadReportFormat;
use super::{copies, sqlstate};
use crate::reply::{Reply, Value};
use birchreach::{AttemptOutcome, LoadReport, Micros, Role, ServerStatus};

/// An answer holds these, in this order and once each, or an error at any point before its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReplyStage {
    #[default]
    Nothing,
    Description,
    Row,
    /// The whole answer, or an error: only ReadyForQuery is missing.
    Complete,
}

/// An answer, as far as it has come.
#[derive(Default)]
pub(super) struct PartialReply {
    pub stage: ReplyStage,
    pub bytes: usize,
    /// Bytes of a long value that are still to come.
    pub value_bytes_remaining: usize,
    pub value: Option<Value>,
    pub error: Option<String>,
    pub role: Option<Role>,
    pub position: Option<Micros>,
    /// The load report that came along.
    pub load_report: Option<LoadReport>,
}

impl PartialReply {
    /// Puts together what has come. The note is kept with whatever the query came to: a miss tells the role too. `probe`: it is a
    /// report that was asked for; `copy`: a copy, which must have this position.
    pub fn into_reply(self, probe: bool, copy: Option<Micros>, form: &LoadReportFormat) -> Reply {
        let PartialReply { value, error, role, position, load_report: usage, .. } = self;
        let note = role.map(|role| ServerStatus { role, position });
        let ending = match error.as_deref() {
            Some(sqlstate::READ_ONLY | sqlstate::SNAPSHOT_TOO_OLD) => AttemptOutcome::Ineligible,
            Some(sqlstate::TOO_MANY_CONNECTIONS) => AttemptOutcome::Overloaded,
            Some(_) => AttemptOutcome::Error,
            None => AttemptOutcome::Ok,
        };
        if let Some(position) = copy.filter(|_| ending == AttemptOutcome::Ok) {
            let miss =
                Reply { status: note, load_report: usage, ..Reply::with_outcome(AttemptOutcome::Ineligible) };
            return copies::parse_copy(value, position, miss);
        }
        let asked = value.as_ref().filter(|_| probe && ending == AttemptOutcome::Ok);
        let report = asked.map_or(usage, |v| form.parse(&v.bytes));
        Reply {
            outcome: ending,
            value: value.filter(|_| ending == AttemptOutcome::Ok && !probe),
            status: note,
            load_report: report,
            connection_refused: false,
            copy_position: None,
        }
    }
}
