//! The reasons for which the connection to discovery is closed, and their words in the log.

use crate::discovery::PollError;
use std::fmt::{self, Display};

/// Why the connection to discovery was closed.
pub(super) enum DiscoveryCloseReason {
    /// The address of discovery in the configuration has changed.
    Moved,
    /// A poll failed, or discovery closed the connection after a response.
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
