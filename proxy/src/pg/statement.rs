//! The two forms of statement that clients send, taken apart strictly: whatever else reached a
//! database would be refused there as a breach of the protocol.

use super::codec::MAX_VALUE;
use super::sqlstate;
use crate::core::{RoutingRequest, session_id};
use birchreach::{ClassId, Consistency, GroupId, Micros, RequestClass, SessionPositionSource};
use std::ops::Range;

/// A statement with its comment. The text goes on as it came, but for `d`.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    text: Vec<u8>,
    /// Where the digits of `d` stand.
    d_at: Range<usize>,
    id_at: Range<usize>,
    /// Where the key between the quotes stands.
    key_at: Range<usize>,
    pub write: bool,
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u32,
    pub group: u32,
    /// The position that the read must see, as a Unix time in milliseconds.
    pub after_ms: Option<i64>,
}

/// The longest key and field that are taken.
const MAX_KEY: usize = 1024;
const MAX_FIELD: usize = 128;

const READ: &[u8] = b"SELECT blob FROM rows WHERE handle = '";
const WRITE: &[u8] = b"INSERT INTO rows (handle, blob) VALUES ('";
/// The longest statement that holds no value.
const MAX_PLAIN: usize = 4096;

impl Statement {
    /// Can a statement that begins so be taken, long as it is? What will be refused is not waited for.
    pub fn may_go_on(begun: &[u8]) -> bool {
        begun.len() <= MAX_PLAIN || begun.starts_with(WRITE)
    }

    /// `None`: not a statement of this form.
    pub fn parse(text: Vec<u8>) -> Option<Statement> {
        let mut p = Parser { text: &text, at: 0 };
        let write = if p.word(READ) {
            false
        } else if p.word(WRITE) {
            true
        } else {
            return None;
        };
        let key_at = p.run(|b| b.is_ascii_graphic() && b != b'\'' && b != b'\\', MAX_KEY)?;
        if write {
            p.all(b"', '\\x")?;
            let hex = p.run(|b| b.is_ascii_hexdigit(), usize::MAX).unwrap_or(p.at..p.at);
            if !hex.len().is_multiple_of(2) || hex.len() > 2 * MAX_VALUE {
                return None;
            }
            p.all(b"') RETURNING blob")?;
        } else {
            p.all(b"'")?;
        }
        p.all(b" /* ")?;
        let (mut id, mut class, mut d, mut group, mut after, mut retry, mut repeat_key) =
            (None, None, None, None, None, None, None);
        loop {
            let name = p.run(|b| b.is_ascii_lowercase(), MAX_FIELD)?;
            p.all(b"=")?;
            let value = p.run(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b), MAX_FIELD)?;
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
            if !p.word(b",") {
                break;
            }
        }
        p.all(b" */")?;
        let number = |at: Range<usize>| -> Option<u64> {
            let digits = &text[at];
            let plain = digits.len() <= 15 && digits.iter().all(u8::is_ascii_digit);
            plain.then(|| digits.iter().fold(0, |n, d| n * 10 + u64::from(d - b'0')))
        };
        let id_at = id?;
        if p.at != text.len() || retry.is_some_and(|at| number(at).is_none()) {
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
        Some(Statement { d_at, id_at, key_at, write, class, wait_ms, group, after_ms, text })
    }

    pub fn id(&self) -> &[u8] {
        &self.text[self.id_at.clone()]
    }

    pub fn key(&self) -> &[u8] {
        &self.text[self.key_at.clone()]
    }

    /// The comment before and behind the digits of `d`, with the blank before it.
    pub fn comment(&self) -> (&[u8], &[u8]) {
        (&self.text[self.key_at.end + 1..self.d_at.start], &self.text[self.d_at.end..])
    }

    /// The text before and behind the digits of `d`.
    pub fn parts(&self) -> (&[u8], &[u8]) {
        (&self.text[..self.d_at.start], &self.text[self.d_at.end..])
    }
}

/// Answers are due before the client's own clock runs out, and that one started earlier.
const MARGIN: Micros = 10_000;

impl Statement {
    /// What it asks for by its class's rules, or the error that it gets. It has waited so long behind others: the client's
    /// time for it runs since it came.
    pub fn ask(
        &self,
        id: ClassId,
        class: &RequestClass,
        tokens: SessionPositionSource,
        waited: Micros,
    ) -> Result<RoutingRequest, (&'static str, &'static str)> {
        if self.write != (class.consistency == Consistency::Write) {
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
            read_after_position: self.after_ms.filter(|_| carried).map(|ms| ms * 1000),
            timeout: (wait - MARGIN.min(wait / 10) - waited.max(0)).max(0),
        })
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn word(&mut self, word: &[u8]) -> bool {
        let here = self.text[self.at..].starts_with(word);
        self.at += if here { word.len() } else { 0 };
        here
    }

    fn all(&mut self, word: &[u8]) -> Option<()> {
        self.word(word).then_some(())
    }

    /// One byte or more of a kind.
    fn run(&mut self, kind: impl Fn(u8) -> bool, most: usize) -> Option<Range<usize>> {
        let length = self.text[self.at..].iter().take_while(|b| kind(**b)).count();
        let found = self.at..self.at + length;
        self.at = found.end;
        (1..=most).contains(&length).then_some(found)
    }
}
