//! Messages from databases, as typed values.

use super::{DecodeError, MAX_BUFFERED_VALUE_BYTES, read_u32, split_c_string, to_string_lossy};
use crate::pg::sqlstate::SqlState;

/// A message from a database, with the fields that the proxy uses.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ServerMessage {
    /// The code of the authentication request. 0 (AuthenticationOk): none is needed, or it has succeeded.
    Authentication(u32),
    ParameterStatus {
        name: String,
        value: String,
    },
    ReadyForQuery,
    /// The description of one column. `binary`: values are in binary format, otherwise in text format.
    RowDescription {
        binary: bool,
    },
    /// The value of a row that has one column.
    DataRow(Vec<u8>),
    CommandComplete,
    Error {
        code: SqlState,
    },
    /// A message that the proxy ignores, such as a notice or cancellation key data.
    Skipped,
}

impl ServerMessage {
    /// Decodes the body of the message with this tag. Messages that become part of a response must not have unused bytes, so that
    /// an incomplete value is never forwarded.
    pub(super) fn decode(tag: u8, body: &[u8]) -> Result<ServerMessage, DecodeError> {
        let invalid = DecodeError::InvalidContents;
        Ok(match tag {
            b'R' => ServerMessage::Authentication(read_u32(body).ok_or(invalid)?),
            // A malformed ParameterStatus does not invalidate the reply that it belongs to.
            b'S' => parameter_status(body).unwrap_or(ServerMessage::Skipped),
            b'Z' => match body {
                b"I" | b"T" | b"E" => ServerMessage::ReadyForQuery,
                _ => return Err(invalid),
            },
            b'T' => ServerMessage::RowDescription { binary: column_is_binary(body).ok_or(invalid)? },
            b'D' => ServerMessage::DataRow(column_value(body).ok_or(invalid)?.to_vec()),
            b'C' => match split_c_string(body) {
                Some((_, [])) => ServerMessage::CommandComplete,
                _ => return Err(invalid),
            },
            b'E' => ServerMessage::Error { code: error_code(body).ok_or(invalid)? },
            b'N' | b'A' | b'K' | b'v' => ServerMessage::Skipped,
            _ => return Err(DecodeError::UnexpectedMessage),
        })
    }
}

/// Decodes the name and value of a ParameterStatus. `None`: the message is malformed.
fn parameter_status(body: &[u8]) -> Option<ServerMessage> {
    let (name, rest) = split_c_string(body)?;
    let (value, _) = split_c_string(rest)?;
    Some(ServerMessage::ParameterStatus { name: to_string_lossy(name), value: to_string_lossy(value) })
}

/// Decodes a RowDescription. Returns whether the only column has values in binary format. `None`: the message is malformed or has
/// another number of columns.
fn column_is_binary(body: &[u8]) -> Option<bool> {
    // After the name come the table, column number, type, type size and type modifier, and then the format code.
    let (_name, rest) = split_c_string(body.strip_prefix(&[0, 1])?)?;
    let fields = <[u8; 18]>::try_from(rest).ok()?;
    match fields[16..] {
        [0, format @ (0 | 1)] => Some(format == 1),
        _ => None,
    }
}

/// Returns the value of a DataRow with one column. `None`: the row has another number of columns, or the value does not end with
/// the message or is too long.
fn column_value(body: &[u8]) -> Option<&[u8]> {
    let (length, value) = body.strip_prefix(&[0, 1])?.split_at_checked(4)?;
    let length_matches =
        read_u32(length).and_then(|length| usize::try_from(length).ok()) == Some(value.len());
    (length_matches && value.len() <= MAX_BUFFERED_VALUE_BYTES).then_some(value)
}

/// Returns the SQLSTATE code of an ErrorResponse. `None`: the message is malformed or has no code.
fn error_code(body: &[u8]) -> Option<SqlState> {
    let mut code = None;
    let mut rest = body;
    loop {
        match rest.split_first()? {
            (0, []) => return code,
            (0, _) => return None,
            (tag, after) => {
                let (field, next) = split_c_string(after)?;
                if *tag == b'C' {
                    code = Some(SqlState::parse(field)?);
                }
                rest = next;
            }
        }
    }
}
