//! Messages on their way out.

use super::ROW_HEADER_BYTES;
use crate::outbox::Outbox;

impl Outbox {
    fn message(&mut self, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
        self.raw(&[tag]);
        self.untagged(body);
    }

    fn untagged(&mut self, body: impl FnOnce(&mut Vec<u8>)) {
        let buf = self.end();
        let start = buf.len();
        buf.extend_from_slice(&[0; 4]);
        body(buf);
        let length = (buf.len() - start) as u32;
        buf[start..start + 4].copy_from_slice(&length.to_be_bytes());
    }

    pub fn authentication_ok(&mut self) {
        self.message(b'R', |b| b.extend_from_slice(&[0; 4]));
    }

    /// The newest minor version spoken, and the options that are not known.
    pub fn negotiate_version(&mut self, unknown: &[String]) {
        self.message(b'v', |b| {
            b.extend_from_slice(&[0; 4]);
            b.extend_from_slice(&(unknown.len() as u32).to_be_bytes());
            unknown.iter().for_each(|name| text(b, name));
        });
    }

    pub fn parameter_status(&mut self, name: &str, value: &str) {
        self.message(b'S', |b| {
            text(b, name);
            text(b, value);
        });
    }

    pub fn ready_for_query(&mut self) {
        self.message(b'Z', |b| b.push(b'I'));
    }

    pub fn empty_query_response(&mut self) {
        self.message(b'I', |_| {});
    }

    /// The description of one column, and the head of the one row, whose value follows.
    pub fn row_head(&mut self, column: &str, binary: bool, value: usize) {
        const BYTEA: u32 = 17;
        self.message(b'T', |b| {
            b.extend_from_slice(&1u16.to_be_bytes());
            text(b, column);
            b.extend_from_slice(&[0; 6]); // of no table
            b.extend_from_slice(&BYTEA.to_be_bytes());
            b.extend_from_slice(&(-1i16).to_be_bytes()); // of any length
            b.extend_from_slice(&(-1i32).to_be_bytes());
            b.extend_from_slice(&u16::from(binary).to_be_bytes());
        });
        self.raw(b"D");
        self.raw(&((value + ROW_HEADER_BYTES - 1) as u32).to_be_bytes());
        self.raw(&1u16.to_be_bytes());
        self.raw(&(value as u32).to_be_bytes());
    }

    pub fn command_complete(&mut self, tag: &str) {
        self.message(b'C', |b| text(b, tag));
    }

    pub fn error(&mut self, severity: &str, code: &str, message: &str, detail: Option<&str>) {
        self.message(b'E', |b| {
            let fields =
                [(b'S', Some(severity)), (b'V', Some(severity)), (b'C', Some(code)), (b'M', Some(message))];
            for (tag, value) in fields.into_iter().chain([(b'D', detail)]) {
                if let Some(value) = value {
                    b.push(tag);
                    text(b, value);
                }
            }
            b.push(0);
        });
    }

    pub fn startup(&mut self, user: &str, database: &str) {
        self.untagged(|b| {
            b.extend_from_slice(&(3u32 << 16).to_be_bytes());
            [("user", user), ("database", database)].iter().for_each(|(name, value)| {
                text(b, name);
                text(b, value);
            });
            b.push(0);
        });
    }

    /// A simple query, in the parts that it is made of.
    pub fn query(&mut self, parts: &[&[u8]]) {
        self.message(b'Q', |b| {
            parts.iter().for_each(|part| b.extend_from_slice(part));
            b.push(0);
        });
    }
}

fn text(buf: &mut Vec<u8>, s: &str) {
    buf.extend(s.bytes().filter(|b| *b != 0));
    buf.push(0);
}
