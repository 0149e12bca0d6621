//! The part of the PostgreSQL protocol that test databases need: encoding of messages in general, and of the messages
//! that every test database sends.

/// Encodes a message with its type byte and length.
pub(crate) fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

/// A result of one row with one column, whose value is this text.
pub(crate) fn text_row(value: &str) -> Vec<u8> {
    binary_row(value.as_bytes())
}

/// A result of one row with one column, in the binary format that real databases use.
pub(crate) fn binary_row(value: &[u8]) -> Vec<u8> {
    let length = (value.len() as u32).to_be_bytes();
    let column = [&[0, 1][..], b"blob\0", &[0; 6], &[0, 0, 0, 17], &[255; 6], &[0, 1]].concat();
    let data = [&[0, 1][..], &length, value].concat();
    [message(b'T', &column), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// An ErrorResponse message.
pub(crate) fn error_response(sqlstate: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{sqlstate}\0M{text}\0\0").as_bytes())
}

/// The answer to `SHOW usage`: the database's log position, and whether it reports itself as the primary.
pub(crate) fn usage_row(is_primary: bool, position_ms: i64) -> Vec<u8> {
    let (seconds, millis) = (position_ms / 1000, position_ms % 1000);
    text_row(&format!("x0={seconds}.{millis:03},x1={}", u8::from(is_primary)))
}

/// The ParameterStatus messages that follow each answer: the database's role and its log position.
pub(crate) fn role_and_position(is_primary: bool, position_ms: i64) -> Vec<u8> {
    let role = format!("server_role\0{}\0", if is_primary { "writer" } else { "reader" });
    let position = format!("commit_clock\0{position_ms}\0");
    [message(b'S', role.as_bytes()), message(b'S', position.as_bytes())].concat()
}

/// Decodes hexadecimal digits. Skips pairs that are not hexadecimal digits.
pub(crate) fn decode_hex(hex: &str) -> Vec<u8> {
    let pair = |at: usize| u8::from_str_radix(hex.get(at..at + 2)?, 16).ok();
    (0..hex.len()).step_by(2).filter_map(pair).collect()
}
