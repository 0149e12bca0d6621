//! The reply of a database to an attempt or a health check, independent of the protocol. The protocol's state machines create it,
//! and the core and its observers use it.

use birchreach::{AttemptOutcome, LoadReport, Micros, ServerStatus};

/// A value, as the database sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Value {
    /// The value in the format that `binary` states, without a length field.
    pub bytes: Vec<u8>,
    /// Whether the bytes are in PostgreSQL's binary format. Otherwise they are in the text format.
    pub binary: bool,
}

/// The result of an attempt or a health check.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reply {
    /// How the attempt or the health check ended.
    pub outcome: AttemptOutcome,
    /// The value of the row. `None`: there was no row, or the value was streamed.
    pub value: Option<Value>,
    /// The role and the log position that the database reported. `None`: it reported no role.
    pub status: Option<ServerStatus>,
    /// The load report in the reply. `None`: the reply had no valid load report.
    pub load_report: Option<LoadReport>,
    /// Whether the connection was refused, which means that no process listens on the address.
    pub connection_refused: bool,
    /// The position of the copy that answered the read. `None`: no copy answered it.
    pub copy_position: Option<Micros>,
}

impl Reply {
    /// Creates a result that has only an outcome.
    pub(crate) fn with_outcome(outcome: AttemptOutcome) -> Reply {
        Reply {
            outcome,
            value: None,
            status: None,
            load_report: None,
            connection_refused: false,
            copy_position: None,
        }
    }

    /// Creates the result of an attempt whose connection was refused.
    pub(crate) fn connection_refused() -> Reply {
        Reply { connection_refused: true, ..Reply::with_outcome(AttemptOutcome::ConnectFailed) }
    }
}
