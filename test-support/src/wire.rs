//! The part of the PostgreSQL protocol that test databases and clients need: message types, the encoding of messages,
//! and the messages that every test database sends.

/// Message types of the PostgreSQL protocol.
pub(crate) const AUTHENTICATION: u8 = b'R';
pub(crate) const COMMAND_COMPLETE: u8 = b'C';
pub(crate) const DATA_ROW: u8 = b'D';
pub(crate) const ERROR_RESPONSE: u8 = b'E';
pub(crate) const PARAMETER_STATUS: u8 = b'S';
pub(crate) const QUERY: u8 = b'Q';
pub(crate) const READY_FOR_QUERY: u8 = b'Z';
pub(crate) const ROW_DESCRIPTION: u8 = b'T';
pub(crate) const TERMINATE: u8 = b'X';

/// The body of AuthenticationOk, which requests no password.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// The body of ReadyForQuery outside a transaction.
const IDLE: &[u8] = b"I";

/// Encodes a message with its type byte and length.
pub(crate) fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

/// PostgreSQL's protocol version 3.0, as encoded in the startup message.
const PROTOCOL_VERSION: u32 = 196_608;

/// The startup message of a client. It has no type byte.
pub(crate) fn startup_message() -> Vec<u8> {
    let body = [&PROTOCOL_VERSION.to_be_bytes()[..], b"user\0api\0database\0ledger\0\0"].concat();
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

/// The answer to a startup message.
pub(crate) fn authentication_ok() -> Vec<u8> {
    message(AUTHENTICATION, &AUTHENTICATION_OK)
}

/// Encodes ReadyForQuery for a session outside a transaction.
pub(crate) fn ready_for_query() -> Vec<u8> {
    message(READY_FOR_QUERY, IDLE)
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
    [message(ROW_DESCRIPTION, &column), message(DATA_ROW, &data), message(COMMAND_COMPLETE, b"SELECT 1\0")]
        .concat()
}

/// Encodes an ErrorResponse of severity ERROR with this SQLSTATE and message text.
pub(crate) fn error_response(sqlstate: &str, text: &str) -> Vec<u8> {
    message(ERROR_RESPONSE, format!("SERROR\0C{sqlstate}\0M{text}\0\0").as_bytes())
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
    [message(PARAMETER_STATUS, role.as_bytes()), message(PARAMETER_STATUS, position.as_bytes())].concat()
}

/// Decodes hexadecimal digits. Skips pairs that are not hexadecimal digits.
pub(crate) fn decode_hex(hex: &str) -> Vec<u8> {
    let pair = |at: usize| u8::from_str_radix(hex.get(at..at + 2)?, 16).ok();
    (0..hex.len()).step_by(2).filter_map(pair).collect()
}
