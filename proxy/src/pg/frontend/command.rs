//! What the protocol machine of a client connection tells the event loop to do.

use crate::pg::statement::Statement;
use birchreach::Micros;

/// Why the protocol ends a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// The client sent Terminate.
    Terminate,
    /// The connection was opened for a cancel request.
    CancelRequest,
    /// The client requested an unsupported protocol version.
    UnsupportedVersion,
    /// The client sent a message that exceeds the size limit.
    MessageTooLong,
    /// The client violated the protocol.
    Malformed,
}

impl EndReason {
    /// Returns the `reason` value for the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            EndReason::Terminate => "terminate",
            EndReason::CancelRequest => "cancel-request",
            EndReason::UnsupportedVersion => "version",
            EndReason::MessageTooLong => "too-long",
            EndReason::Malformed => "malformed",
        }
    }
}

/// An instruction to the event loop that follows from the messages of a client.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClientCommand {
    /// Run a statement. The time is that of the arrival of the statement's last byte.
    Run(Statement, Micros),
    /// Close the connection immediately. The client expects no answer.
    Close(EndReason),
    /// Close the connection once the client has read the error message in the outbox.
    CloseWithError(EndReason),
}
