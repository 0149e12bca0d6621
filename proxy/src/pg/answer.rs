//! A database's answer, as far as it has come, and what it comes to.

use super::report::ReportForm;
use super::{copies, sqlstate};
use crate::reply::{Reply, Value};
use birchreach::{AttemptOutcome, LoadReport, Micros, Role, ServerStatus};

/// An answer holds these, in this order and once each, or an error at any point before its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Part {
    #[default]
    Nothing,
    Description,
    Row,
    /// The whole answer, or an error: only ReadyForQuery is missing.
    Whole,
}

/// An answer, as far as it has come.
#[derive(Default)]
pub(super) struct Partial {
    pub part: Part,
    pub bytes: usize,
    /// Bytes of a long value that are still to come.
    pub coming: usize,
    pub value: Option<Value>,
    pub error: Option<String>,
    pub role: Option<Role>,
    pub position: Option<Micros>,
    /// The load report that came along.
    pub usage: Option<LoadReport>,
}

impl Partial {
    /// Puts together what has come. The note is kept with whatever the query came to: a miss tells the role too. `probe`: it is a
    /// report that was asked for; `copy`: a copy, which must have this position.
    pub fn reply(self, probe: bool, copy: Option<Micros>, form: &ReportForm) -> Reply {
        let Partial { value, error, role, position, usage, .. } = self;
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
            return copies::answer(value, position, miss);
        }
        let asked = value.as_ref().filter(|_| probe && ending == AttemptOutcome::Ok);
        let report = asked.map_or(usage, |v| form.read(&v.bytes));
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
