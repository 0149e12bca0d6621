//! Why the connection to discovery was closed, as the log says it.

use crate::discovery::PollError;
use std::fmt::{self, Display};

/// Why the connection was closed.
pub(super) enum DiscoveryCloseReason {
    /// The configuration has another address.
    Moved,
    /// A poll failed, or the other side closed the connection after a response.
    Failed(PollError),
}

impl Display for DiscoveryCloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryCloseReason::Moved => f.write_str("moved"),
            DiscoveryCloseReason::Failed(error) => error.fmt(f),
        }
    }
}
