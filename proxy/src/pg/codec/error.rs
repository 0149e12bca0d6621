//! Errors of decoding protocol messages.

use std::error::Error;
use std::fmt;

/// A violation of the protocol or of a size limit by a client or a database. A client that causes an error receives the `Display`
/// text as the error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// The declared length, or the size of a reply, is above the limit.
    TooLong,
    /// The declared length is shorter than the message's header.
    LengthTooSmall,
    /// The protocol has no message with this tag from this sender.
    UnknownMessage,
    /// The parameter list of a startup message is not terminated.
    UnterminatedStartup,
    /// A startup message has a parameter without a value.
    StartupParameterWithoutValue,
    /// The text of a query is not terminated, or not at the end of the message.
    UnterminatedQuery,
    /// A database sent a message whose fields are malformed or do not add up to the message's length.
    InvalidContents,
    /// A database sent a message that is not allowed in the connection's present state.
    UnexpectedMessage,
    /// A database requests authentication with a password or by another method, which the proxy does not support.
    PasswordRequested,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DecodeError::TooLong => "the message is too long",
            DecodeError::LengthTooSmall => "a length too small",
            DecodeError::UnknownMessage => "an unknown message",
            DecodeError::UnterminatedStartup => "a startup message without its end",
            DecodeError::StartupParameterWithoutValue => "a startup parameter without a value",
            DecodeError::UnterminatedQuery => "a query without its end",
            DecodeError::InvalidContents => "malformed message contents",
            DecodeError::UnexpectedMessage => "message not allowed in this state",
            DecodeError::PasswordRequested => "database requests authentication",
        })
    }
}

impl Error for DecodeError {}
