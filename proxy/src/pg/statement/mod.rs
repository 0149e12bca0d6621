//! The two accepted forms of statement: the select and the insert of a row. They are parsed strictly, because the databases
//! reject all other forms.

mod error;
mod parser;

use crate::core::{RoutingRequest, session_id};
use crate::units::MICROS_PER_MILLI;
use birchreach::{ClassId, Consistency, GroupId, Micros, RequestClass, SessionPositionSource};
pub(crate) use error::StatementError;
use std::ops::Range;

/// A client's statement with its comment. The text is forwarded unchanged, except for the timeout.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Statement {
    text: Vec<u8>,
    /// The position of the timeout's digits (`d`) in the text.
    timeout_range: Range<usize>,
    /// The position of the ID (`id`) in the text.
    id_range: Range<usize>,
    /// The position of the key in the text, without the quotes.
    key_range: Range<usize>,
    /// Whether the statement is an insert, not a select.
    pub is_write: bool,
    /// The name of the request class (`c`).
    pub class: String,
    /// The client's timeout in milliseconds (`d`).
    pub timeout_ms: u32,
    /// The group of the row (`cluster`).
    pub group: GroupId,
    /// The log position that the read must observe, in milliseconds of Unix time (`after`). `None`: the client requires none.
    pub read_after_ms: Option<i64>,
}

/// The beginning of an insert, up to the key.
const WRITE_PREFIX: &[u8] = b"INSERT INTO rows (handle, blob) VALUES ('";
/// The longest statement that has no value, in bytes.
const MAX_VALUELESS_STATEMENT_BYTES: usize = 4096;
/// Responses are due this long before the timeout expires by the proxy's clock, because the client started its timer earlier.
const CLIENT_CLOCK_MARGIN_MICROS: Micros = 10_000;

impl Statement {
    /// Whether a statement that begins like this can be valid. An invalid one is rejected before the rest of it arrives.
    pub(crate) fn has_valid_prefix(beginning: &[u8]) -> bool {
        beginning.len() <= MAX_VALUELESS_STATEMENT_BYTES || beginning.starts_with(WRITE_PREFIX)
    }

    /// Returns the length of the text in bytes.
    pub(crate) fn text_bytes(&self) -> usize {
        self.text.len()
    }

    /// Returns the ID that the client gave the request (`id`).
    pub(crate) fn id(&self) -> &[u8] {
        &self.text[self.id_range.clone()]
    }

    /// Returns the key of the row.
    pub(crate) fn key(&self) -> &[u8] {
        &self.text[self.key_range.clone()]
    }

    /// Returns the parts of the comment before and after the digits of the timeout. The first part includes the space before the
    /// comment.
    pub(crate) fn comment_around_timeout(&self) -> (&[u8], &[u8]) {
        let comment_start = self.key_range.end + 1;
        (&self.text[comment_start..self.timeout_range.start], &self.text[self.timeout_range.end..])
    }

    /// Returns the parts of the text before and after the digits of the timeout.
    pub(crate) fn text_around_timeout(&self) -> (&[u8], &[u8]) {
        (&self.text[..self.timeout_range.start], &self.text[self.timeout_range.end..])
    }

    /// Builds the router's request by the rules of the request class. `elapsed` is the time since the statement arrived; it
    /// counts towards the client's timeout and is subtracted. Fails if the class does not match the form of the statement.
    pub(crate) fn routing_request(
        &self,
        class_id: ClassId,
        class: &RequestClass,
        position_source: SessionPositionSource,
        elapsed: Micros,
    ) -> Result<RoutingRequest, StatementError> {
        if self.is_write != (class.consistency == Consistency::Write) {
            return Err(StatementError::ClassMismatch);
        }
        let has_session = matches!(class.consistency, Consistency::Write | Consistency::Session);
        let carries_position = class.consistency == Consistency::Session
            && position_source == SessionPositionSource::FromRequest;
        // The timeout of the statement is limited to that of the class.
        let timeout = (Micros::from(self.timeout_ms) * MICROS_PER_MILLI).min(class.client_timeout);
        let margin = CLIENT_CLOCK_MARGIN_MICROS.min(timeout / 10);
        Ok(RoutingRequest {
            class: class_id,
            group: self.group,
            session: has_session.then(|| session_id(self.key())),
            read_after_position: self
                .read_after_ms
                .filter(|_| carries_position)
                .map(|ms| ms * MICROS_PER_MILLI),
            timeout: (timeout - margin - elapsed.max(0)).max(0),
        })
    }
}
