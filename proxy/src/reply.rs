//! The reply of a database to an attempt or a health check, independent of the protocol.
//!
//! The protocol's state machines create it; the core and its observers use it.

use birchreach::{AttemptOutcome, LoadReport, Micros, ServerStatus};

/// A value as a database sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Value {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// The bytes are in the databases' binary format, not in the text format.
    pub binary: bool,
}

/// The result of an attempt or a health check.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reply {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The value that was read.
    pub value: Option<Value>,
    /// Role and position that the database stated.
    pub status: Option<ServerStatus>,
    /// Load report in the reply.
    pub load_report: Option<LoadReport>,
    /// The connection was refused: no process listens there.
    pub connection_refused: bool,
    /// Position of the copy from which a read was answered.
    pub copy_position: Option<Micros>,
}

impl Reply {
    /// A result with nothing but an outcome.
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

    /// The result of an attempt whose connection was refused.
    pub(crate) fn connection_refused() -> Reply {
        Reply { connection_refused: true, ..Reply::with_outcome(AttemptOutcome::ConnectFailed) }
    }
}
