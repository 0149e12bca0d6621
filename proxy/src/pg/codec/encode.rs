//! Encodes protocol messages into an [`Outbox`].

use super::ROW_HEADER_BYTES;
use crate::outbox::Outbox;
use crate::pg::sqlstate::SqlState;

/// The length field of a message. The length includes this field.
const LENGTH_BYTES: usize = 4;

/// Severity of an error message: whether the connection remains open after the error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    /// The command failed. The connection remains open for further commands.
    Error,
    /// The connection is closed after the error.
    Fatal,
}

impl Severity {
    /// Returns the text of the severity fields in an error message.
    fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

impl Outbox {
    /// Appends a message: the tag, the length and the body.
    fn append_message(&mut self, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
        self.append(&[tag]);
        self.append_untagged(body);
    }

    /// Appends a message without a tag: the length and the body.
    fn append_untagged(&mut self, body: impl FnOnce(&mut Vec<u8>)) {
        let buffer = self.buffer();
        let start = buffer.len();
        buffer.extend_from_slice(&[0; 4]);
        body(buffer);
        let length = (buffer.len() - start) as u32;
        buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    /// Appends AuthenticationOk. Clients are not authenticated.
    pub(crate) fn authentication_ok(&mut self) {
        self.append_message(b'R', |body| body.extend_from_slice(&[0; 4]));
    }

    /// Appends NegotiateProtocolVersion with the newest supported minor version (0) and the names of the unknown options.
    pub(crate) fn negotiate_version(&mut self, unknown: &[String]) {
        self.append_message(b'v', |body| {
            body.extend_from_slice(&[0; 4]);
            body.extend_from_slice(&(unknown.len() as u32).to_be_bytes());
            unknown.iter().for_each(|name| append_string(body, name));
        });
    }

    /// Appends ParameterStatus, which reports a server setting to the client.
    pub(crate) fn parameter_status(&mut self, name: &str, value: &str) {
        self.append_message(b'S', |body| {
            append_string(body, name);
            append_string(body, value);
        });
    }

    /// Appends ReadyForQuery with the status of a session that has no open transaction.
    pub(crate) fn ready_for_query(&mut self) {
        self.append_message(b'Z', |body| body.push(b'I'));
    }

    /// Appends EmptyQueryResponse, which answers a query without a statement.
    pub(crate) fn empty_query_response(&mut self) {
        self.append_message(b'I', |_| {});
    }

    /// Appends the RowDescription of one `bytea` column and the header of one DataRow. The caller then appends the value, whose
    /// length in bytes is `value_length`.
    pub(crate) fn row_header(&mut self, column: &str, binary: bool, value_length: usize) {
        /// The object ID of the type `bytea`.
        const BYTEA: u32 = 17;
        self.append_message(b'T', |body| {
            body.extend_from_slice(&1u16.to_be_bytes());
            append_string(body, column);
            body.extend_from_slice(&[0; 6]); // table and column number: none
            body.extend_from_slice(&BYTEA.to_be_bytes());
            body.extend_from_slice(&(-1i16).to_be_bytes()); // type size: variable
            body.extend_from_slice(&(-1i32).to_be_bytes()); // type modifier: none
            body.extend_from_slice(&u16::from(binary).to_be_bytes());
        });
        self.append(b"D");
        self.append(&((value_length + ROW_HEADER_BYTES - 1) as u32).to_be_bytes());
        self.append(&1u16.to_be_bytes());
        self.append(&(value_length as u32).to_be_bytes());
    }

    /// Appends CommandComplete, which ends a statement's result. `tag` is the command tag, such as `SELECT 1`.
    pub(crate) fn command_complete(&mut self, tag: &str) {
        self.append_message(b'C', |body| append_string(body, tag));
    }

    /// Appends ErrorResponse. `detail` is sent as the detail field.
    pub(crate) fn error(&mut self, severity: Severity, code: SqlState, message: &str, detail: Option<&str>) {
        let severity = severity.as_str().as_bytes();
        self.append_message(b'E', |body| {
            append_field(body, b'S', severity);
            append_field(body, b'V', severity);
            append_field(body, b'C', code.as_bytes());
            append_field(body, b'M', message.as_bytes());
            if let Some(detail) = detail {
                append_field(body, b'D', detail.as_bytes());
            }
            body.push(0);
        });
    }

    /// Appends the startup message to a database, for protocol version 3.0.
    pub(crate) fn startup(&mut self, user: &str, database: &str) {
        self.append_untagged(|body| {
            body.extend_from_slice(&(3u32 << 16).to_be_bytes());
            [("user", user), ("database", database)].iter().for_each(|(name, value)| {
                append_string(body, name);
                append_string(body, value);
            });
            body.push(0);
        });
    }

    /// Appends the header of a simple query whose text and terminator have this length. The caller writes them itself.
    pub(crate) fn query_header(&mut self, text_bytes: usize) {
        let length = (text_bytes + LENGTH_BYTES) as u32;
        self.append(b"Q");
        self.append(&length.to_be_bytes());
    }

    /// Appends a simple query. Its text is the concatenation of `parts`.
    pub(crate) fn query(&mut self, parts: &[&[u8]]) {
        self.append_message(b'Q', |body| {
            parts.iter().for_each(|part| body.extend_from_slice(part));
            body.push(0);
        });
    }
}

/// Appends a field of an error message: the field's tag and text.
fn append_field(buffer: &mut Vec<u8>, tag: u8, value: &[u8]) {
    buffer.push(tag);
    append_c_string(buffer, value);
}

/// Appends a string and its terminating zero byte.
fn append_string(buffer: &mut Vec<u8>, string: &str) {
    append_c_string(buffer, string.as_bytes());
}

/// Appends bytes and a terminating zero byte. Zero bytes within `bytes` are omitted.
fn append_c_string(buffer: &mut Vec<u8>, bytes: &[u8]) {
    buffer.extend(bytes.iter().filter(|byte| **byte != 0));
    buffer.push(0);
}
