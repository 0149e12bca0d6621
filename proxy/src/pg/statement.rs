//! The two forms of statement that clients send, taken apart strictly: whatever else reached a
//! database would be refused there as a breach of the protocol.

use super::codec::MAX_CLIENT_VALUE_BYTES;
use super::sqlstate;
use crate::core::{RoutingRequest, session_id};
use birchreach::{ClassId, Consistency, GroupId, Micros, RequestClass, SessionPositionSource};
use std::ops::Range;

/// A statement with its comment. The text goes on as it came, but for `d`.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    text: Vec<u8>,
    /// Where the digits of `d` stand.
    deadline_range: Range<usize>,
    id_range: Range<usize>,
    /// Where the key between the quotes stands.
    key_range: Range<usize>,
    pub is_write: bool,
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u32,
    pub group: u32,
    /// The position that the read must see, as a Unix time in milliseconds.
    pub read_after_ms: Option<i64>,
}

/// The longest key and field that are taken.
const MAX_KEY_BYTES: usize = 1024;
const MAX_FIELD_BYTES: usize = 128;

const READ_PREFIX: &[u8] = b"SELECT blob FROM rows WHERE handle = '";
const WRITE_PREFIX: &[u8] = b"INSERT INTO rows (handle, blob) VALUES ('";
/// The longest statement that holds no value.
const MAX_VALUELESS_STATEMENT_BYTES: usize = 4096;

impl Statement {
    /// Can a statement that begins so be taken, long as it is? What will be refused is not waited for.
    pub fn may_become_valid(begun: &[u8]) -> bool {
        begun.len() <= MAX_VALUELESS_STATEMENT_BYTES || begun.starts_with(WRITE_PREFIX)
    }

    /// `None`: not a statement of this form.
    pub fn parse(text: Vec<u8>) -> Option<Statement> {
        let mut p = Parser { text: &text, position: 0 };
        let write = if p.accept(READ_PREFIX) {
            false
        } else if p.accept(WRITE_PREFIX) {
            true
        } else {
            return None;
        };
        let key_at = p.take_run(|b| b.is_ascii_graphic() && b != b'\'' && b != b'\\', MAX_KEY_BYTES)?;
        if write {
            p.expect(b"', '\\x")?;
            let hex = p.take_run(|b| b.is_ascii_hexdigit(), usize::MAX).unwrap_or(p.position..p.position);
            if !hex.len().is_multiple_of(2) || hex.len() > 2 * MAX_CLIENT_VALUE_BYTES {
                return None;
            }
            p.expect(b"') RETURNING blob")?;
        } else {
            p.expect(b"'")?;
        }
        p.expect(b" /* ")?;
        let (mut id, mut class, mut d, mut group, mut after, mut retry, mut repeat_key) =
            (None, None, None, None, None, None, None);
        loop {
            let name = p.take_run(|b| b.is_ascii_lowercase(), MAX_FIELD_BYTES)?;
            p.expect(b"=")?;
            let value = p.take_run(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b), MAX_FIELD_BYTES)?;
            let slot = match &text[name] {
                b"id" => &mut id,
                b"c" => &mut class,
                b"d" => &mut d,
                b"cluster" => &mut group,
                b"after" => &mut after,
                b"r" => &mut retry,
                b"k" => &mut repeat_key,
                _ => return None,
            };
            if slot.replace(value).is_some() {
                return None;
            }
            if !p.accept(b",") {
                break;
            }
        }
        p.expect(b" */")?;
        let number = |at: Range<usize>| -> Option<u64> {
            let digits = &text[at];
            let plain = digits.len() <= 15 && digits.iter().all(u8::is_ascii_digit);
            plain.then(|| digits.iter().fold(0, |n, d| n * 10 + u64::from(d - b'0')))
        };
        let id_at = id?;
        if p.position != text.len() || retry.is_some_and(|at| number(at).is_none()) {
            return None;
        }
        let d_at = d?;
        let (wait_ms, group) =
            (u32::try_from(number(d_at.clone())?).ok()?, u32::try_from(number(group?)?).ok()?);
        let after_ms = match after {
            None => None,
            Some(at) => Some(i64::try_from(number(at)?).ok()?),
        };
        let class = String::from_utf8(text[class?].to_vec()).ok()?;
        Some(Statement {
            deadline_range: d_at,
            id_range: id_at,
            key_range: key_at,
            is_write: write,
            class,
            wait_ms,
            group,
            read_after_ms: after_ms,
            text,
        })
    }

    pub fn id(&self) -> &[u8] {
        &self.text[self.id_range.clone()]
    }

    pub fn key(&self) -> &[u8] {
        &self.text[self.key_range.clone()]
    }

    /// The comment before and behind the digits of `d`, with the blank before it.
    pub fn comment_around_deadline(&self) -> (&[u8], &[u8]) {
        (&self.text[self.key_range.end + 1..self.deadline_range.start], &self.text[self.deadline_range.end..])
    }

    /// The text before and behind the digits of `d`.
    pub fn text_around_deadline(&self) -> (&[u8], &[u8]) {
        (&self.text[..self.deadline_range.start], &self.text[self.deadline_range.end..])
    }
}

/// Answers are due before the client's own clock runs out, and that one started earlier.
const CLIENT_CLOCK_MARGIN_MICROS: Micros = 10_000;

impl Statement {
    /// What it asks for by its class's rules, or the error that it gets. It has waited so long behind others: the client's
    /// time for it runs since it came.
    pub fn routing_request(
        &self,
        id: ClassId,
        class: &RequestClass,
        tokens: SessionPositionSource,
        waited: Micros,
    ) -> Result<RoutingRequest, (&'static str, &'static str)> {
        if self.is_write != (class.consistency == Consistency::Write) {
            return Err((sqlstate::INVALID_VALUE, "the class does not go with this form of statement"));
        }
        let sessions = matches!(class.consistency, Consistency::Write | Consistency::Session);
        let carried =
            class.consistency == Consistency::Session && tokens == SessionPositionSource::FromRequest;
        // Nobody of this class waits longer, whatever is claimed.
        let wait = (Micros::from(self.wait_ms) * 1000).min(class.client_timeout);
        Ok(RoutingRequest {
            class: id,
            group: GroupId(self.group),
            session: sessions.then(|| session_id(self.key())),
            read_after_position: self.read_after_ms.filter(|_| carried).map(|ms| ms * 1000),
            timeout: (wait - CLIENT_CLOCK_MARGIN_MICROS.min(wait / 10) - waited.max(0)).max(0),
        })
    }
}

struct Parser<'a> {
    text: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn accept(&mut self, word: &[u8]) -> bool {
        let here = self.text[self.position..].starts_with(word);
        self.position += if here { word.len() } else { 0 };
        here
    }

    fn expect(&mut self, word: &[u8]) -> Option<()> {
        self.accept(word).then_some(())
    }

    /// One byte or more of a kind.
    fn take_run(&mut self, kind: impl Fn(u8) -> bool, most: usize) -> Option<Range<usize>> {
        let length = self.text[self.position..].iter().take_while(|b| kind(**b)).count();
        let found = self.position..self.position + length;
        self.position = found.end;
        (1..=most).contains(&length).then_some(found)
    }
}
