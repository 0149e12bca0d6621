//! Why connections to databases are closed, with the words that the log has for it.

/// Why a connection to a database was closed, or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DatabaseCloseReason {
    /// The attempt that it carried is no longer wanted.
    Cancelled,
    /// Its task timed out.
    Timeout,
    /// It was not established in time.
    ConnectTimeout,
    /// A response that had begun did not continue in time.
    ResponseStalled,
    /// It was idle for long.
    Idle,
    /// It was closed so that another one could be opened within the limit.
    Evicted,
    /// Its server is at another address now, or was removed.
    Moved,
    /// No process listens there.
    Refused,
    /// The system gave no socket.
    NoSocket,
    /// The database closed it.
    Closed,
    /// It broke.
    Reset,
    /// The database sent an error in place of a startup.
    Rejected,
    /// The database sent what the protocol does not allow.
    ProtocolError,
    /// The database sent more than the response to its query.
    UnexpectedData,
}

impl DatabaseCloseReason {
    /// The word for the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            DatabaseCloseReason::Cancelled => "cancelled",
            DatabaseCloseReason::Timeout => "timeout",
            DatabaseCloseReason::ConnectTimeout => "connect-timeout",
            DatabaseCloseReason::ResponseStalled => "response-stalled",
            DatabaseCloseReason::Idle => "idle",
            DatabaseCloseReason::Evicted => "evicted",
            DatabaseCloseReason::Moved => "moved",
            DatabaseCloseReason::Refused => "refused",
            DatabaseCloseReason::NoSocket => "no-socket",
            DatabaseCloseReason::Closed => "closed",
            DatabaseCloseReason::Reset => "reset",
            DatabaseCloseReason::Rejected => "rejected",
            DatabaseCloseReason::ProtocolError => "protocol-error",
            DatabaseCloseReason::UnexpectedData => "unexpected-data",
        }
    }
}
