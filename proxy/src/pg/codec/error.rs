//! Why bytes are no message.

use std::error::Error;
use std::fmt;

/// What the protocol does not allow, or more than is accepted. Clients are told it in these words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The message claims to be longer than any that is accepted.
    TooLong,
    /// The message claims to be shorter than its own head.
    LengthTooSmall,
    /// No message of the protocol has this tag.
    UnknownMessage,
    /// A startup message's list of parameters does not end.
    UnterminatedStartup,
    /// A startup message names a parameter and gives no value.
    StartupParameterWithoutValue,
    /// A query's text does not end with the message.
    UnterminatedQuery,
    /// A message of a database has parts that do not fill it exactly.
    InvalidContents,
    /// A database sent a message that does not belong where it stands.
    OutOfPlace,
    /// A database wants a password.
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
            DecodeError::OutOfPlace => "a message out of place",
            DecodeError::PasswordRequested => "a password is wanted",
        })
    }
}

impl Error for DecodeError {}
