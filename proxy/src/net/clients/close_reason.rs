//! Why clients' connections are closed, with the words that the log has for it.

use crate::pg::frontend::EndReason;

/// Why a client's connection was closed, or could not be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientCloseReason {
    /// The protocol ended it.
    Protocol(EndReason),
    /// The client closed it.
    ClientClosed,
    /// It broke.
    ClientReset,
    /// It had no request for the idle timeout.
    Idle,
    /// The rest of its startup, or of a message, did not arrive in time.
    IncompleteMessage,
    /// The client does not read what it is sent.
    Unresponsive,
    /// A database stopped in the middle of a value that was being forwarded.
    ResponseTruncated,
    /// It was closed to stay within the limit on clients, or to free a descriptor.
    Shed,
    /// Another process of this proxy takes the clients.
    HandedOver,
    /// The process is stopping.
    Stopping,
    /// The system gave no socket.
    NoSocket,
}

impl From<EndReason> for ClientCloseReason {
    fn from(reason: EndReason) -> ClientCloseReason {
        ClientCloseReason::Protocol(reason)
    }
}

impl ClientCloseReason {
    /// The word for the log.
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
            ClientCloseReason::HandedOver => "handed-over",
            ClientCloseReason::Stopping => "stopping",
            ClientCloseReason::NoSocket => "no-socket",
        }
    }

    /// The client itself ended the connection.
    pub(super) fn is_by_client(self) -> bool {
        matches!(
            self,
            ClientCloseReason::Protocol(EndReason::Terminate)
                | ClientCloseReason::ClientClosed
                | ClientCloseReason::ClientReset
        )
    }
}
