//! What a database's reply came to, in values of no protocol. It lies below all that speaks of replies: the machines that
//! make them, the core, and whoever observes; it knows none of them.

use birchreach::{AttemptOutcome, LoadReport, Micros, ServerStatus};

/// A value as a database made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    pub bytes: Vec<u8>,
    /// In the databases' binary form, not as text.
    pub binary: bool,
}

/// What a database's reply came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub outcome: AttemptOutcome,
    pub value: Option<Value>,
    pub status: Option<ServerStatus>,
    pub load_report: Option<LoadReport>,
    /// No process listened there.
    pub connection_refused: bool,
    /// The position of the copy that it answered from.
    pub copy_position: Option<Micros>,
}

impl Reply {
    /// An ending of which the database said nothing.
    pub fn with_outcome(ending: AttemptOutcome) -> Reply {
        Reply {
            outcome: ending,
            value: None,
            status: None,
            load_report: None,
            connection_refused: false,
            copy_position: None,
        }
    }

    /// No process listens there.
    pub fn connection_refused() -> Reply {
        Reply { connection_refused: true, ..Reply::with_outcome(AttemptOutcome::ConnectFailed) }
    }
}
