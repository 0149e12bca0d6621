//! Parser for the text of a statement.

use super::{Statement, WRITE_PREFIX};
use crate::pg::codec::MAX_CLIENT_VALUE_BYTES;
use birchreach::GroupId;
use std::ops::Range;

/// The beginning of a select, up to the key.
const READ_PREFIX: &[u8] = b"SELECT blob FROM rows WHERE handle = '";
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 1024;
/// The longest name or value of a comment field, in bytes.
const MAX_FIELD_BYTES: usize = 128;
/// The most digits of a number. Numbers of this length fit into 64 bits, and into a 64-bit float without loss.
const MAX_DIGITS: usize = 15;

impl Statement {
    /// Parses a statement. `None`: the text has neither of the two accepted forms.
    pub(crate) fn parse(text: Vec<u8>) -> Option<Statement> {
        let mut parser = Parser { text: &text, position: 0 };
        let is_write = parser.accept(WRITE_PREFIX);
        if !is_write {
            parser.expect(READ_PREFIX)?;
        }
        let key_range = parser.key()?;
        if is_write {
            parser.skip_hex_value()?;
        } else {
            parser.expect(b"'")?;
        }
        let fields = parser.comment()?;
        parser.end()?;

        let CommentValues { class, timeout_ms, group, read_after_ms } = fields.parse_values(&text)?;
        Some(Statement {
            timeout_range: fields.timeout?,
            id_range: fields.id?,
            key_range,
            is_write,
            class,
            timeout_ms,
            group,
            read_after_ms,
            text,
        })
    }
}

/// The positions in the text of the values of the comment's fields. The idempotency key is forwarded without being parsed.
#[derive(Default)]
struct CommentFields {
    id: Option<Range<usize>>,
    class: Option<Range<usize>>,
    timeout: Option<Range<usize>>,
    group: Option<Range<usize>>,
    read_after: Option<Range<usize>>,
    retry: Option<Range<usize>>,
    idempotency_key: Option<Range<usize>>,
}

impl CommentFields {
    /// Returns the field with this name on the wire. `None`: there is no such field.
    fn field_mut(&mut self, name: &[u8]) -> Option<&mut Option<Range<usize>>> {
        Some(match name {
            b"id" => &mut self.id,
            b"c" => &mut self.class,
            b"d" => &mut self.timeout,
            b"cluster" => &mut self.group,
            b"after" => &mut self.read_after,
            b"r" => &mut self.retry,
            b"k" => &mut self.idempotency_key,
            _ => return None,
        })
    }

    /// Parses the values that a request needs. `None`: a required field is missing, or a value is not a valid number. The retry
    /// number is checked but not used.
    fn parse_values(&self, text: &[u8]) -> Option<CommentValues> {
        let number = |range: &Range<usize>| parse_number(&text[range.clone()]);
        if self.retry.as_ref().is_some_and(|range| number(range).is_none()) {
            return None;
        }
        let read_after_ms = match &self.read_after {
            Some(range) => Some(i64::try_from(number(range)?).ok()?),
            None => None,
        };
        Some(CommentValues {
            class: String::from_utf8(text[self.class.clone()?].to_vec()).ok()?,
            timeout_ms: u32::try_from(number(self.timeout.as_ref()?)?).ok()?,
            group: GroupId(u32::try_from(number(self.group.as_ref()?)?).ok()?),
            read_after_ms,
        })
    }
}

/// The values of a comment that a request needs.
struct CommentValues {
    class: String,
    timeout_ms: u32,
    group: GroupId,
    read_after_ms: Option<i64>,
}

/// Parses a decimal number. `None`: there are more than [`MAX_DIGITS`] bytes, or one of them is not a digit.
fn parse_number(digits: &[u8]) -> Option<u64> {
    let is_number = digits.len() <= MAX_DIGITS && digits.iter().all(u8::is_ascii_digit);
    is_number.then(|| digits.iter().fold(0, |number, digit| number * 10 + u64::from(digit - b'0')))
}

/// The text of a statement, and the position up to which it is parsed.
struct Parser<'a> {
    text: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    /// Takes the key of the row.
    fn key(&mut self) -> Option<Range<usize>> {
        self.take_run(|byte| byte.is_ascii_graphic() && byte != b'\'' && byte != b'\\', MAX_KEY_BYTES)
    }

    /// Skips the value of a write, from the end of the key to the comment.
    fn skip_hex_value(&mut self) -> Option<()> {
        self.expect(b"', '\\x")?;
        let empty = self.position..self.position;
        let digits = self.take_run(|byte| byte.is_ascii_hexdigit(), usize::MAX).unwrap_or(empty);
        if !digits.len().is_multiple_of(2) || digits.len() > 2 * MAX_CLIENT_VALUE_BYTES {
            return None;
        }
        self.expect(b"') RETURNING blob")
    }

    /// Parses the comment. `None`: it is malformed, or has an unknown or a repeated field.
    fn comment(&mut self) -> Option<CommentFields> {
        self.expect(b" /* ")?;
        let mut fields = CommentFields::default();
        loop {
            let name = self.take_run(|byte| byte.is_ascii_lowercase(), MAX_FIELD_BYTES)?;
            self.expect(b"=")?;
            let value = self
                .take_run(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte), MAX_FIELD_BYTES)?;
            let field = fields.field_mut(&self.text[name])?;
            if field.replace(value).is_some() {
                return None;
            }
            if !self.accept(b",") {
                break;
            }
        }
        self.expect(b" */")?;
        Some(fields)
    }

    /// Checks that the text has been parsed to its end.
    fn end(&self) -> Option<()> {
        (self.position == self.text.len()).then_some(())
    }

    /// Skips these bytes if they come next. Returns whether they did.
    fn accept(&mut self, bytes: &[u8]) -> bool {
        let found = self.text[self.position..].starts_with(bytes);
        self.position += if found { bytes.len() } else { 0 };
        found
    }

    /// Skips these bytes, which must come next.
    fn expect(&mut self, bytes: &[u8]) -> Option<()> {
        self.accept(bytes).then_some(())
    }

    /// Takes the longest run of accepted bytes. `None`: the run is empty or longer than `max_bytes`.
    fn take_run(&mut self, is_accepted: impl Fn(u8) -> bool, max_bytes: usize) -> Option<Range<usize>> {
        let length = self.text[self.position..].iter().take_while(|byte| is_accepted(**byte)).count();
        let run = self.position..self.position + length;
        self.position = run.end;
        (1..=max_bytes).contains(&length).then_some(run)
    }
}
