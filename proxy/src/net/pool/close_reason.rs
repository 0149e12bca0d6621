//! The reasons for which connections to databases are closed, and their words in the log.

/// Why a connection to a database was closed or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DatabaseCloseReason {
    /// The attempt on the connection was cancelled.
    Cancelled,
    /// The connection's task timed out.
    Timeout,
    /// The connection was not established within the connect timeout.
    ConnectTimeout,
    /// The database sent no more of a streamed value within the stall timeout.
    ResponseStalled,
    /// The connection was idle for the idle timeout.
    Idle,
    /// The idle connection was closed so that another one could be opened within the limit.
    Evicted,
    /// The server has moved to another address or was removed.
    Moved,
    /// No process listens at the server's address.
    Refused,
    /// The system could not provide or register a socket.
    NoSocket,
    /// The database closed the connection.
    Closed,
    /// The connection was reset or failed.
    Reset,
    /// The database answered the startup with an error.
    Rejected,
    /// The database violated the protocol.
    ProtocolError,
    /// The database sent a long message other than a row while memory was exhausted.
    Memory,
    /// The database sent data beyond the response to its query.
    UnexpectedData,
}

impl DatabaseCloseReason {
    /// Returns the value of the log's `reason=` field.
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
            DatabaseCloseReason::Memory => "memory",
            DatabaseCloseReason::UnexpectedData => "unexpected-data",
        }
    }
}
