//! Encodes messages.

use super::ROW_HEADER_BYTES;
use crate::outbox::Outbox;
use crate::pg::sqlstate::SqlState;

/// What follows an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    /// The command failed; the next one may follow.
    Error,
    /// The connection is closed.
    Fatal,
}

impl Severity {
    /// The severity as an error message has it.
    fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

impl Outbox {
    /// Appends a message: its tag, its length and the body.
    fn message(&mut self, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
        self.append(&[tag]);
        self.untagged(body);
    }

    /// Appends a message without a tag: its length and the body.
    fn untagged(&mut self, body: impl FnOnce(&mut Vec<u8>)) {
        let buffer = self.buffer();
        let start = buffer.len();
        buffer.extend_from_slice(&[0; 4]);
        body(buffer);
        let length = (buffer.len() - start) as u32;
        buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    /// The client needs no authentication.
    pub(crate) fn authentication_ok(&mut self) {
        self.message(b'R', |body| body.extend_from_slice(&[0; 4]));
    }

    /// The newest minor version that is supported, and the unknown options.
    pub(crate) fn negotiate_version(&mut self, unknown: &[String]) {
        self.message(b'v', |body| {
            body.extend_from_slice(&[0; 4]);
            body.extend_from_slice(&(unknown.len() as u32).to_be_bytes());
            unknown.iter().for_each(|name| text(body, name));
        });
    }

    /// A setting that is reported to clients.
    pub(crate) fn parameter_status(&mut self, name: &str, value: &str) {
        self.message(b'S', |body| {
            text(body, name);
            text(body, value);
        });
    }

    /// The next query may be sent; no transaction is open.
    pub(crate) fn ready_for_query(&mut self) {
        self.message(b'Z', |body| body.push(b'I'));
    }

    /// The answer to a query without a statement.
    pub(crate) fn empty_query_response(&mut self) {
        self.message(b'I', |_| {});
    }

    /// The description of one column, and the header of the one row, whose value follows.
    pub(crate) fn row_header(&mut self, column: &str, binary: bool, value_length: usize) {
        /// The object id of the type `bytea`.
        const BYTEA: u32 = 17;
        self.message(b'T', |body| {
            body.extend_from_slice(&1u16.to_be_bytes());
            text(body, column);
            body.extend_from_slice(&[0; 6]); // of no table
            body.extend_from_slice(&BYTEA.to_be_bytes());
            body.extend_from_slice(&(-1i16).to_be_bytes()); // of any length
            body.extend_from_slice(&(-1i32).to_be_bytes());
            body.extend_from_slice(&u16::from(binary).to_be_bytes());
        });
        self.append(b"D");
        self.append(&((value_length + ROW_HEADER_BYTES - 1) as u32).to_be_bytes());
        self.append(&1u16.to_be_bytes());
        self.append(&(value_length as u32).to_be_bytes());
    }

    /// The end of a statement's result, with the command tag.
    pub(crate) fn command_complete(&mut self, tag: &str) {
        self.message(b'C', |body| text(body, tag));
    }

    /// An error, with a detail if there is one.
    pub(crate) fn error(&mut self, severity: Severity, code: SqlState, message: &str, detail: Option<&str>) {
        let severity = severity.as_str().as_bytes();
        self.message(b'E', |body| {
            field(body, b'S', severity);
            field(body, b'V', severity);
            field(body, b'C', code.as_bytes());
            field(body, b'M', message.as_bytes());
            if let Some(detail) = detail {
                field(body, b'D', detail.as_bytes());
            }
            body.push(0);
        });
    }

    /// The first message to a database.
    pub(crate) fn startup(&mut self, user: &str, database: &str) {
        self.untagged(|body| {
            body.extend_from_slice(&(3u32 << 16).to_be_bytes());
            [("user", user), ("database", database)].iter().for_each(|(name, value)| {
                text(body, name);
                text(body, value);
            });
            body.push(0);
        });
    }

    /// A simple query, in the parts that it is made of.
    pub(crate) fn query(&mut self, parts: &[&[u8]]) {
        self.message(b'Q', |body| {
            parts.iter().for_each(|part| body.extend_from_slice(part));
            body.push(0);
        });
    }
}

/// Appends a field of an error: its tag and its text.
fn field(buffer: &mut Vec<u8>, tag: u8, value: &[u8]) {
    buffer.push(tag);
    c_string(buffer, value);
}

/// Appends a text that is terminated by a zero byte.
fn text(buffer: &mut Vec<u8>, text: &str) {
    c_string(buffer, text.as_bytes());
}

/// Appends bytes and the zero byte that terminates them. Zero bytes among them are omitted.
fn c_string(buffer: &mut Vec<u8>, bytes: &[u8]) {
    buffer.extend(bytes.iter().filter(|byte| **byte != 0));
    buffer.push(0);
}
