//! Why bytes are not a valid message.

use std::error::Error;
use std::fmt;

/// A violation of the protocol, or of a limit. Clients receive its text as the error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// The declared length is above the limit.
    TooLong,
    /// The declared length is shorter than the message's header.
    LengthTooSmall,
    /// No message of the protocol has this tag.
    UnknownMessage,
    /// A startup message's list of parameters does not end.
    UnterminatedStartup,
    /// A startup message has a parameter without a value.
    StartupParameterWithoutValue,
    /// A query's text does not end with the message.
    UnterminatedQuery,
    /// The parts of a database's message do not add up to its length.
    InvalidContents,
    /// A database sent a message that is not allowed in the present state.
    UnexpectedMessage,
    /// A database requests a password.
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
            DecodeError::InvalidContents => "a message whose parts do not fit it",
            DecodeError::UnexpectedMessage => "a message out of place",
            DecodeError::PasswordRequested => "a password is wanted",
        })
    }
}

impl Error for DecodeError {}
