//! Messages: cut out of a stream of bytes, decoded into typed values once, encoded once.

use crate::outbox::{KEPT, Outbox};

/// The longest message of a client: a value of 64 KiB in hex, and the statement round it.
pub const MAX_QUERY: usize = (128 << 10) + 4096;
/// The longest value that a client may write.
pub const MAX_VALUE: usize = 64 << 10;
/// The longest value of a database that is checked whole before any of it goes on, and the longest of all.
const MAX_WHOLE: usize = 64 << 10;
const MAX_ANSWER: usize = 8 << 20;
/// The longest message of a database that is taken whole: a value and what goes round it.
pub const MAX_REPLY: usize = MAX_WHOLE + 4096;
/// What stands before the value of a row of one column: tag, length, number of columns, length of the value.
const ROW_HEAD: usize = 11;
/// As PostgreSQL itself has it.
const MAX_STARTUP: usize = 10_000;
/// Tags of the messages that a client or a database may send.
const CLIENT_TAGS: &[u8] = b"QPBDECFSHdcfX";
const SERVER_TAGS: &[u8] = b"RSZTDCIENAKv";

/// What no stream of this protocol holds, or more than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    TooLong,
    Bad(&'static str),
}

/// What comes next, as the head of a long row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongRow {
    No,
    /// It may be one, but its head is not whole yet.
    Wait,
    Value(usize),
}

/// Bytes come in, whole messages come out.
#[derive(Default)]
pub struct Inbox {
    buf: Vec<u8>,
    at: usize,
}

impl Inbox {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.at);
        self.at = 0;
        self.buf.extend_from_slice(bytes);
    }

    pub fn rest(&self) -> &[u8] {
        &self.buf[self.at..]
    }

    /// Bytes that wait to be decoded.
    pub fn len(&self) -> usize {
        self.buf.len() - self.at
    }

    fn length(&self, at: usize, least: usize, most: usize) -> Result<Option<usize>, Malformed> {
        let Some(raw) = self.buf.get(at..at + 4) else { return Ok(None) };
        let length = raw.iter().fold(0usize, |n, b| n << 8 | usize::from(*b));
        // Checked before anything is kept for it: a length is a claim, not a fact.
        if length < least {
            return Err(Malformed::Bad("a length too small"));
        }
        if length > most {
            return Err(Malformed::TooLong);
        }
        Ok(Some(length))
    }

    fn take(&mut self, from: usize, end: usize) -> Option<&[u8]> {
        if self.buf.len() < end {
            return None;
        }
        self.at = end;
        Some(&self.buf[from..end])
    }

    /// The next message: its tag and body. A tag that nobody sends is no message, whatever follows.
    fn message(&mut self, tags: &[u8], most: usize) -> Result<Option<(u8, &[u8])>, Malformed> {
        let Some(&tag) = self.buf.get(self.at) else { return Ok(None) };
        if !tags.contains(&tag) {
            return Err(Malformed::Bad("an unknown message"));
        }
        let start = self.at + 1;
        let Some(length) = self.length(start, 4, most)? else { return Ok(None) };
        Ok(self.take(start + 4, start + length).map(|body| (tag, body)))
    }

    pub fn client_message(&mut self) -> Result<Option<FromClient>, Malformed> {
        let message = self.message(CLIENT_TAGS, MAX_QUERY)?;
        message.map(|(tag, body)| FromClient::decode(tag, body)).transpose()
    }

    /// What has come of the body of a message that is not whole yet.
    pub fn begun(&self) -> Option<&[u8]> {
        self.buf.get(self.at + 5..)
    }

    /// Takes the head of a long row, if that comes next, with the length of its one value. The value's bytes follow, and
    /// `pass` hands them out as they come.
    pub fn long_row(&mut self) -> LongRow {
        let (tag, head) = match &self.buf[self.at..] {
            [tag, head @ ..] => (*tag, head),
            [] => return LongRow::No,
        };
        let Some(value) = be32(head).and_then(|l| usize::try_from(l).ok()?.checked_sub(ROW_HEAD - 1)) else {
            return LongRow::No;
        };
        if tag != b'D' || !(MAX_WHOLE + 1..=MAX_ANSWER).contains(&value) {
            return LongRow::No;
        }
        match head.get(4..ROW_HEAD - 1) {
            None => LongRow::Wait,
            Some([0, 1, claim @ ..]) if be32(claim).and_then(|l| usize::try_from(l).ok()) == Some(value) => {
                self.at += ROW_HEAD;
                LongRow::Value(value)
            }
            Some(_) => LongRow::No,
        }
    }

    /// What has come, `most` bytes of it at most.
    pub fn pass(&mut self, most: usize) -> Vec<u8> {
        let piece = self.buf[self.at..].iter().copied().take(most).collect::<Vec<_>>();
        self.at += piece.len();
        self.shrink();
        piece
    }

    /// The next message, and the bytes that it took.
    pub fn server_message(&mut self) -> Result<Option<(FromServer, usize)>, Malformed> {
        let message = self.message(SERVER_TAGS, MAX_REPLY)?;
        message.map(|(tag, body)| Ok((FromServer::decode(tag, body)?, body.len() + 5))).transpose()
    }

    /// The first message of a connection, which has no tag.
    pub fn startup(&mut self) -> Result<Option<Startup>, Malformed> {
        let start = self.at;
        let Some(length) = self.length(start, 8, MAX_STARTUP)? else { return Ok(None) };
        self.take(start + 4, start + length).map(Startup::decode).transpose()
    }

    /// Gives back a large buffer once it is empty.
    pub fn shrink(&mut self) {
        if self.at == self.buf.len() {
            self.at = 0;
            self.buf.clear();
            self.buf.shrink_to(KEPT);
        }
    }
}

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
        self.raw(&((value + ROW_HEAD - 1) as u32).to_be_bytes());
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

/// Cuts a string off the front, up to its zero byte.
fn cut(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = body.iter().position(|b| *b == 0)?;
    Some((&body[..end], &body[end + 1..]))
}

fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// How a client begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Startup {
    /// `SSLRequest` or `GSSENCRequest`.
    Encryption,
    Cancel,
    /// Version 3 of this minor, with the protocol options that it names.
    Version3 {
        minor: u16,
        options: Vec<String>,
    },
    Unsupported {
        major: u16,
    },
}

impl Startup {
    fn decode(body: &[u8]) -> Result<Startup, Malformed> {
        let (version, mut rest) = body.split_at(4);
        let (major, minor) =
            (u16::from_be_bytes([version[0], version[1]]), u16::from_be_bytes([version[2], version[3]]));
        match (major, minor) {
            (1234, 5679 | 5680) => return Ok(Startup::Encryption),
            (1234, 5678) => return Ok(Startup::Cancel),
            (3, _) => {}
            _ => return Ok(Startup::Unsupported { major }),
        }
        let mut options = Vec::new();
        loop {
            let (name, after) = cut(rest).ok_or(Malformed::Bad("a startup message without its end"))?;
            if name.is_empty() {
                return Ok(Startup::Version3 { minor, options });
            }
            if name.starts_with(b"_pq_.") {
                options.push(lossy(name));
            }
            let (_, after) = cut(after).ok_or(Malformed::Bad("a startup parameter without a value"))?;
            rest = after;
        }
    }
}

/// A client's message after the first.
#[derive(Debug, PartialEq, Eq)]
pub enum FromClient {
    Query(Vec<u8>),
    /// A part of the extended protocol, or a function call: all that a Sync ends.
    Extended,
    FunctionCall,
    Sync,
    /// Allowed at any time, and without effect here.
    Flush,
    Terminate,
}

impl FromClient {
    fn decode(tag: u8, body: &[u8]) -> Result<FromClient, Malformed> {
        Ok(match tag {
            b'Q' => match cut(body) {
                Some((query, [])) => FromClient::Query(query.to_vec()),
                _ => return Err(Malformed::Bad("a query without its end")),
            },
            b'P' | b'B' | b'D' | b'E' | b'C' => FromClient::Extended,
            b'F' => FromClient::FunctionCall,
            b'S' => FromClient::Sync,
            // The remains of a copy that never began are dropped, as PostgreSQL drops them.
            b'H' | b'd' | b'c' | b'f' => FromClient::Flush,
            b'X' => FromClient::Terminate,
            _ => return Err(Malformed::Bad("an unknown message")),
        })
    }
}

/// A database's message, as far as it matters here.
#[derive(Debug, PartialEq, Eq)]
pub enum FromServer {
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

impl FromServer {
    /// Every byte of what an answer is made of must be accounted for: nothing of it goes on by halves.
    fn decode(tag: u8, body: &[u8]) -> Result<FromServer, Malformed> {
        let spoilt = Malformed::Bad("a message whose parts do not fit it");
        Ok(match tag {
            b'R' => FromServer::Authentication(be32(body).ok_or(spoilt)?),
            // What a database says of itself beside the answer spoils no answer: unread, it tells nothing.
            b'S' => match cut(body).and_then(|(name, rest)| Some((name, cut(rest)?.0))) {
                Some((name, value)) => FromServer::ParameterStatus { name: lossy(name), value: lossy(value) },
                None => FromServer::Skipped,
            },
            b'Z' => match body {
                b"I" | b"T" | b"E" => FromServer::ReadyForQuery,
                _ => return Err(spoilt),
            },
            b'T' => FromServer::RowDescription { binary: description(body).ok_or(spoilt)? },
            b'D' => FromServer::DataRow(value(body).ok_or(spoilt)?.to_vec()),
            b'C' => match cut(body) {
                Some((_, [])) => FromServer::CommandComplete,
                _ => return Err(spoilt),
            },
            b'E' => FromServer::Error { code: code(body).ok_or(spoilt)? },
            b'N' | b'A' | b'K' | b'v' => FromServer::Skipped,
            _ => return Err(Malformed::Bad("a message out of place")),
        })
    }
}

/// The form of the one column that is described: whether it is binary.
fn description(body: &[u8]) -> Option<bool> {
    // Behind the name: table, column, type, length, modifier, and then the form.
    let (_, field) = cut(body.strip_prefix(&[0, 1])?)?;
    let form = <[u8; 18]>::try_from(field).ok()?;
    match form[16..] {
        [0, form @ (0 | 1)] => Some(form == 1),
        _ => None,
    }
}

/// The value of a row's one column, which fills the message to its end.
fn value(body: &[u8]) -> Option<&[u8]> {
    let (length, value) = body.strip_prefix(&[0, 1])?.split_at_checked(4)?;
    let fits = be32(length).and_then(|l| usize::try_from(l).ok()) == Some(value.len());
    (fits && value.len() <= MAX_WHOLE).then_some(value)
}

/// The code among an error's fields.
fn code(body: &[u8]) -> Option<String> {
    let (mut code, mut rest) = (None, body);
    loop {
        match rest.split_first()? {
            (0, []) => return code,
            (0, _) => return None,
            (tag, after) => {
                let (field, next) = cut(after)?;
                if *tag == b'C' {
                    let plain = field.len() == 5 && field.iter().all(u8::is_ascii_alphanumeric);
                    code = Some(plain.then(|| lossy(field))?);
                }
                rest = next;
            }
        }
    }
}

fn be32(b: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(b.get(..4)?.try_into().ok()?))
}
