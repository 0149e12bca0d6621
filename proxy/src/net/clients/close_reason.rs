//! The reasons for which clients' connections are closed, and their words in the log.

use crate::pg::frontend::EndReason;

/// Why a client's connection was closed or could not be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientCloseReason {
    /// The connection ended according to the protocol, or violated it.
    Protocol(EndReason),
    /// The client closed the connection.
    ClientClosed,
    /// The connection was reset, or a write to it failed.
    ClientReset,
    /// The client made no request within the idle timeout.
    Idle,
    /// The rest of the startup or of a message did not arrive in time.
    IncompleteMessage,
    /// The client stopped reading its answers.
    Unresponsive,
    /// The database did not complete a value that was being forwarded to the client.
    ResponseTruncated,
    /// The connection was closed to stay within the limit on clients, or to free a descriptor.
    Shed,
    /// The client held memory that others needed, or its input waited for memory too long.
    Memory,
    /// Another process of this proxy has taken over the clients.
    HandedOver,
    /// This process is shutting down.
    Stopping,
    /// The accepted socket could not be registered with the poll.
    NoSocket,
}

impl From<EndReason> for ClientCloseReason {
    fn from(reason: EndReason) -> ClientCloseReason {
        ClientCloseReason::Protocol(reason)
    }
}

impl ClientCloseReason {
    /// Returns the value of the log's `reason=` field.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ClientCloseReason::Protocol(reason) => reason.as_str(),
            ClientCloseReason::ClientClosed => "client-closed",
            ClientCloseReason::ClientReset => "client-reset",
            ClientCloseReason::Idle => "idle",
            ClientCloseReason::IncompleteMessage => "incomplete-message",
            ClientCloseReason::Unresponsive => "unresponsive",
            ClientCloseReason::ResponseTruncated => "response-truncated",
            ClientCloseReason::Shed => "shed",
            ClientCloseReason::Memory => "memory",
            ClientCloseReason::HandedOver => "handed-over",
            ClientCloseReason::Stopping => "stopping",
            ClientCloseReason::NoSocket => "no-socket",
        }
    }

    /// Returns whether the client itself ended the connection.
    pub(super) fn is_by_client(self) -> bool {
        matches!(
            self,
            ClientCloseReason::Protocol(EndReason::Terminate)
                | ClientCloseReason::ClientClosed
                | ClientCloseReason::ClientReset
        )
    }
}
