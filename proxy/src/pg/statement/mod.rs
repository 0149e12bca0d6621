//! The two forms of statement that clients send. They are parsed strictly, as databases reject anything else.

mod error;
mod parser;

use crate::core::{RoutingRequest, session_id};
use crate::units::MICROS_PER_MILLI;
use birchreach::{ClassId, Consistency, GroupId, Micros, RequestClass, SessionPositionSource};
pub(crate) use error::StatementError;
use std::ops::Range;

/// A statement with its comment. The text is forwarded as it arrived, except for the wait.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Statement {
    text: Vec<u8>,
    /// The digits of the wait (`d`) in the text.
    timeout_range: Range<usize>,
    /// The id (`id`) in the text.
    id_range: Range<usize>,
    /// The key between the quotes in the text.
    key_range: Range<usize>,
    /// It is an insert, not a select.
    pub is_write: bool,
    /// The name of its class (`c`).
    pub class: String,
    /// How long the client waits, in milliseconds (`d`).
    pub timeout_ms: u32,
    /// The group that the row is in (`cluster`).
    pub group: GroupId,
    /// The position that the read must see, as a Unix time in milliseconds (`after`).
    pub read_after_ms: Option<i64>,
}

/// The beginning of an insert, up to the key.
const WRITE_PREFIX: &[u8] = b"INSERT INTO rows (handle, blob) VALUES ('";
/// The longest statement without a value.
const MAX_VALUELESS_STATEMENT_BYTES: usize = 4096;
/// Answers are due this time before the wait ends by the proxy's clock, as the client's clock started earlier.
const CLIENT_CLOCK_MARGIN_MICROS: Micros = 10_000;

impl Statement {
    /// Whether a statement with this beginning can be valid. If not, it is rejected before the rest arrives.
    pub(crate) fn has_valid_prefix(beginning: &[u8]) -> bool {
        beginning.len() <= MAX_VALUELESS_STATEMENT_BYTES || beginning.starts_with(WRITE_PREFIX)
    }

    /// The client's id of the request (`id`).
    pub(crate) fn id(&self) -> &[u8] {
        &self.text[self.id_range.clone()]
    }

    /// The key of the row.
    pub(crate) fn key(&self) -> &[u8] {
        &self.text[self.key_range.clone()]
    }

    /// The comment before and after the digits of the wait, with the space before the comment.
    pub(crate) fn comment_around_timeout(&self) -> (&[u8], &[u8]) {
        let comment_start = self.key_range.end + 1;
        (&self.text[comment_start..self.timeout_range.start], &self.text[self.timeout_range.end..])
    }

    /// The text before and after the digits of the wait.
    pub(crate) fn text_around_timeout(&self) -> (&[u8], &[u8]) {
        (&self.text[..self.timeout_range.start], &self.text[self.timeout_range.end..])
    }

    /// The request for the router, by the rules of its class. `elapsed` is the time since the statement arrived, which is part of
    /// the client's wait.
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
        // The wait in the statement is limited by that of the class.
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
