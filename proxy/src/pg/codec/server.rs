//! The messages of databases, as typed values.

use super::{DecodeError, MAX_BUFFERED_VALUE_BYTES, read_u32, split_c_string, to_string_lossy};
use crate::pg::sqlstate::SqlState;

/// A message of a database, as far as the proxy uses it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ServerMessage {
    /// The authentication that the database requests; 0 is none.
    Authentication(u32),
    ParameterStatus {
        name: String,
        value: String,
    },
    ReadyForQuery,
    /// Of one column, in binary form or as text.
    RowDescription {
        binary: bool,
    },
    /// The value of a row of one column.
    DataRow(Vec<u8>),
    CommandComplete,
    Error {
        code: SqlState,
    },
    /// Notices, key data and the like.
    Skipped,
}

impl ServerMessage {
    /// Decodes the body of a message with this tag. A message that becomes part of an answer must have no unused bytes, so that no
    /// incomplete value is forwarded.
    pub(super) fn decode(tag: u8, body: &[u8]) -> Result<ServerMessage, DecodeError> {
        let invalid = DecodeError::InvalidContents;
        Ok(match tag {
            b'R' => ServerMessage::Authentication(read_u32(body).ok_or(invalid)?),
            // A status that cannot be read does not invalidate the answer that it belongs to.
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

/// The name and value of a parameter status.
fn parameter_status(body: &[u8]) -> Option<ServerMessage> {
    let (name, rest) = split_c_string(body)?;
    let (value, _) = split_c_string(rest)?;
    Some(ServerMessage::ParameterStatus { name: to_string_lossy(name), value: to_string_lossy(value) })
}

/// Whether the one column that is described has values in binary form.
fn column_is_binary(body: &[u8]) -> Option<bool> {
    // After the name: table, column, type, length, modifier, and then the format.
    let (_name, rest) = split_c_string(body.strip_prefix(&[0, 1])?)?;
    let fields = <[u8; 18]>::try_from(rest).ok()?;
    match fields[16..] {
        [0, format @ (0 | 1)] => Some(format == 1),
        _ => None,
    }
}

/// The value of a row's one column, which fills the message to its end.
fn column_value(body: &[u8]) -> Option<&[u8]> {
    let (length, value) = body.strip_prefix(&[0, 1])?.split_at_checked(4)?;
    let fits = read_u32(length).and_then(|length| usize::try_from(length).ok()) == Some(value.len());
    (fits && value.len() <= MAX_BUFFERED_VALUE_BYTES).then_some(value)
}

/// The code among an error's fields.
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
