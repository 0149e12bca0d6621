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
    pub ending: AttemptOutcome,
    pub value: Option<Value>,
    pub note: Option<ServerStatus>,
    pub report: Option<LoadReport>,
    /// No process listened there.
    pub refused: bool,
    /// The position of the copy that it answered from.
    pub copied: Option<Micros>,
}

impl Reply {
    /// An ending of which the database said nothing.
    pub fn bare(ending: AttemptOutcome) -> Reply {
        Reply { ending, value: None, note: None, report: None, refused: false, copied: None }
    }

    /// No process listens there.
    pub fn refused() -> Reply {
        Reply { refused: true, ..Reply::bare(AttemptOutcome::ConnectFailed) }
    }
}
