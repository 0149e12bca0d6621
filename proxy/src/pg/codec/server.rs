//! What a database sends, as typed values.

use super::{DecodeError, MAX_BUFFERED_VALUE_BYTES, read_u32, split_c_string, to_string_lossy};

/// A database's message, as far as it matters here.
#[derive(Debug, PartialEq, Eq)]
pub enum ServerMessage {
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
    /// A row of one column that holds a value.
    DataRow(Vec<u8>),
    CommandComplete,
    Error {
        code: String,
    },
    /// Notices, key data and the like.
    Skipped,
}

impl ServerMessage {
    /// Every byte of what an answer is made of must be accounted for: nothing of it goes on by halves.
    pub(super) fn decode(tag: u8, body: &[u8]) -> Result<ServerMessage, DecodeError> {
        let spoilt = DecodeError::Malformed("a message whose parts do not fit it");
        Ok(match tag {
            b'R' => ServerMessage::Authentication(read_u32(body).ok_or(spoilt)?),
            // What a database says of itself beside the answer spoils no answer: unread, it tells nothing.
            b'S' => match split_c_string(body).and_then(|(name, rest)| Some((name, split_c_string(rest)?.0)))
            {
                Some((name, value)) => ServerMessage::ParameterStatus {
                    name: to_string_lossy(name),
                    value: to_string_lossy(value),
                },
                None => ServerMessage::Skipped,
            },
            b'Z' => match body {
                b"I" | b"T" | b"E" => ServerMessage::ReadyForQuery,
                _ => return Err(spoilt),
            },
            b'T' => ServerMessage::RowDescription { binary: description(body).ok_or(spoilt)? },
            b'D' => ServerMessage::DataRow(value(body).ok_or(spoilt)?.to_vec()),
            b'C' => match split_c_string(body) {
                Some((_, [])) => ServerMessage::CommandComplete,
                _ => return Err(spoilt),
            },
            b'E' => ServerMessage::Error { code: code(body).ok_or(spoilt)? },
            b'N' | b'A' | b'K' | b'v' => ServerMessage::Skipped,
            _ => return Err(DecodeError::Malformed("a message out of place")),
        })
    }
}

/// The form of the one column that is described: whether it is binary.
fn description(body: &[u8]) -> Option<bool> {
    // Behind the name: table, column, type, length, modifier, and then the form.
    let (_, field) = split_c_string(body.strip_prefix(&[0, 1])?)?;
    let form = <[u8; 18]>::try_from(field).ok()?;
    match form[16..] {
        [0, form @ (0 | 1)] => Some(form == 1),
        _ => None,
    }
}

/// The value of a row's one column, which fills the message to its end.
fn value(body: &[u8]) -> Option<&[u8]> {
    let (length, value) = body.strip_prefix(&[0, 1])?.split_at_checked(4)?;
    let fits = read_u32(length).and_then(|l| usize::try_from(l).ok()) == Some(value.len());
    (fits && value.len() <= MAX_BUFFERED_VALUE_BYTES).then_some(value)
}

/// The code among an error's fields.
fn code(body: &[u8]) -> Option<String> {
    let (mut code, mut rest) = (None, body);
    loop {
        match rest.split_first()? {
            (0, []) => return code,
            (0, _) => return None,
            (tag, after) => {
                let (field, next) = split_c_string(after)?;
                if *tag == b'C' {
                    let plain = field.len() == 5 && field.iter().all(u8::is_ascii_alphanumeric);
                    code = Some(plain.then(|| to_string_lossy(field))?);
                }
                rest = next;
            }
        }
    }
}
