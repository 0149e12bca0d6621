//! Messages from clients, as typed values.

use super::{DecodeError, split_c_string, to_string_lossy};

/// The first message of a connection, which has no tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Startup {
    /// A request for encryption, by `SSLRequest` or `GSSENCRequest`. Another startup message follows the answer.
    EncryptionRequest,
    CancelRequest,
    /// Protocol version 3. `options` holds the names of the requested protocol options.
    Version3 {
        minor: u16,
        options: Vec<String>,
    },
    UnsupportedVersion,
}

/// The major version number that marks a startup message as a special request. The minor number is the kind of request.
const REQUEST_CODE_MAJOR: u16 = 1234;
const CANCEL_REQUEST_MINOR: u16 = 5678;
const SSL_REQUEST_MINOR: u16 = 5679;
const GSSENC_REQUEST_MINOR: u16 = 5680;

/// Startup parameters whose names have this prefix are protocol options.
const PROTOCOL_OPTION_PREFIX: &[u8] = b"_pq_.";

impl Startup {
    /// Decodes a startup message, without its length field.
    pub(super) fn decode(body: &[u8]) -> Result<Startup, DecodeError> {
        let [major_high, major_low, minor_high, minor_low, parameters @ ..] = body else {
            return Err(DecodeError::LengthTooSmall);
        };
        let major = u16::from_be_bytes([*major_high, *major_low]);
        let minor = u16::from_be_bytes([*minor_high, *minor_low]);
        match (major, minor) {
            (REQUEST_CODE_MAJOR, SSL_REQUEST_MINOR | GSSENC_REQUEST_MINOR) => Ok(Startup::EncryptionRequest),
            (REQUEST_CODE_MAJOR, CANCEL_REQUEST_MINOR) => Ok(Startup::CancelRequest),
            (3, _) => Ok(Startup::Version3 { minor, options: protocol_options(parameters)? }),
            _ => Ok(Startup::UnsupportedVersion),
        }
    }
}

/// Returns the names of the protocol options among the parameters of a startup message.
fn protocol_options(mut parameters: &[u8]) -> Result<Vec<String>, DecodeError> {
    let mut options = Vec::new();
    loop {
        let (name, rest) = split_c_string(parameters).ok_or(DecodeError::UnterminatedStartup)?;
        if name.is_empty() {
            return Ok(options);
        }
        if name.starts_with(PROTOCOL_OPTION_PREFIX) {
            options.push(to_string_lossy(name));
        }
        let (_value, rest) = split_c_string(rest).ok_or(DecodeError::StartupParameterWithoutValue)?;
        parameters = rest;
    }
}

/// A message from a client after the startup message.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClientMessage {
    Query(Vec<u8>),
    /// A message of the extended query protocol that is answered up to the next Sync: Parse, Bind, Describe, Execute or Close.
    Extended,
    FunctionCall,
    Sync,
    /// A Flush, or a message of a COPY that was never started. Both are ignored.
    Flush,
    Terminate,
}

impl ClientMessage {
    /// Decodes the body of the message with this tag.
    pub(super) fn decode(tag: u8, body: &[u8]) -> Result<ClientMessage, DecodeError> {
        Ok(match tag {
            b'Q' => match split_c_string(body) {
                Some((query, [])) => ClientMessage::Query(query.to_vec()),
                _ => return Err(DecodeError::UnterminatedQuery),
            },
            b'P' | b'B' | b'D' | b'E' | b'C' => ClientMessage::Extended,
            b'F' => ClientMessage::FunctionCall,
            b'S' => ClientMessage::Sync,
            // PostgreSQL also ignores COPY messages outside a COPY.
            b'H' | b'd' | b'c' | b'f' => ClientMessage::Flush,
            b'X' => ClientMessage::Terminate,
            _ => return Err(DecodeError::UnknownMessage),
        })
    }
}
