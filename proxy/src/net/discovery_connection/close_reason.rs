//! Why the connection to discovery was closed, as the log says it.

use crate::discovery::PollError;
use std::fmt::{self, Display};

/// Why the connection was closed.
pub(super) enum CloseReason {
    /// The configuration has another address.
    Moved,
    /// A poll failed, or the other side closed the connection after a response.
    Failed(PollError),
}

impl Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Moved => f.write_str("moved"),
            CloseReason::Failed(error) => error.fmt(f),
        }
    }
}
