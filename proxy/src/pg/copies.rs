//! SQL statements for copies of rows, which are kept in a table of another group. A copy is read only if it has reached the
//! required position, and is written only if no newer copy exists. The crate `hot-keys` implements both rules and checks them on
//! a model.
//!
//!     CREATE TABLE copies (home int, handle text, at bigint NOT NULL, blob bytea NOT NULL, PRIMARY KEY (home, handle));

use super::statement::Statement;
use crate::background_query::BackgroundStatementId;
use crate::reply::{Reply, Value};
use crate::units::MICROS_PER_MILLI;
use birchreach::{AttemptOutcome, GroupId, Micros};

/// The longest value that is copied, in bytes.
pub(crate) const MAX_COPY_BYTES: usize = 16 << 10;

/// Returns the query for the copy of the row that `statement` reads. The result is the position as eight bytes followed by the
/// value, or is empty if there is no such copy. The client's comment is forwarded unchanged, except for the timeout.
pub(crate) fn read_copy(statement: &Statement, remaining_ms: u64, required_position: Micros) -> Vec<u8> {
    let (comment_head, comment_tail) = statement.comment_around_timeout();
    let select = format!(
        "SELECT coalesce((SELECT int8send(at) || blob FROM copies WHERE home = {} AND handle = '",
        statement.group.0
    );
    let condition = format!("' AND at >= {}), '')", to_millis_rounded_up(required_position));
    let remaining = remaining_ms.to_string();
    [
        select.as_bytes(),
        statement.key(),
        condition.as_bytes(),
        comment_head,
        remaining.as_bytes(),
        comment_tail,
    ]
    .concat()
}

/// Parses the reply to the query of [`read_copy`]. Returns `miss` unless the reply has a copy that has reached the required
/// position.
pub(crate) fn parse_copy(value: Option<Value>, required_position: Micros, miss: Reply) -> Reply {
    let Some(Value { bytes, binary }) = value else { return miss };
    let Some((millis, blob)) = bytes.split_first_chunk::<8>() else { return miss };
    let position = i64::from_be_bytes(*millis).saturating_mul(MICROS_PER_MILLI);
    if position < required_position {
        return miss;
    }
    let value = Some(Value { bytes: blob.to_vec(), binary });
    Reply { outcome: AttemptOutcome::Ok, value, copy_position: Some(position), ..miss }
}

/// Returns the query by which a background task reads a row in its own group, to copy or to compare it.
pub(crate) fn read_row(key: &[u8], group: GroupId, id: BackgroundStatementId, timeout_ms: u64) -> Vec<u8> {
    let comment = background_comment(group, id, timeout_ms);
    [b"SELECT blob FROM rows WHERE handle = '", key, b"' ", comment.as_bytes()].concat()
}

/// Returns the comment of a background statement that reads a row in its own group.
pub(super) fn background_comment(group: GroupId, id: BackgroundStatementId, timeout_ms: u64) -> String {
    format!("/* id={id},c=background,d={timeout_ms},cluster={} */", group.0)
}

/// Returns the statement that writes a copy, unless the table has one of the same or a later position. `position` is rounded down
/// to a millisecond.
pub(crate) fn write_copy(home: GroupId, key: &[u8], position: Micros, blob: &[u8]) -> Vec<u8> {
    let insert = format!("INSERT INTO copies (home, handle, at, blob) VALUES ({}, '", home.0);
    let values = format!("', {}, '\\x", position.div_euclid(MICROS_PER_MILLI));
    let hex: String = blob.iter().map(|byte| format!("{byte:02x}")).collect();
    let upsert = "') ON CONFLICT (home, handle) DO UPDATE SET at = excluded.at, blob = excluded.blob \
                  WHERE copies.at < excluded.at";
    [insert.as_bytes(), key, values.as_bytes(), hex.as_bytes(), upsert.as_bytes()].concat()
}

/// Converts a position to milliseconds, rounded up.
fn to_millis_rounded_up(position: Micros) -> Micros {
    position.div_euclid(MICROS_PER_MILLI) + Micros::from(position.rem_euclid(MICROS_PER_MILLI) > 0)
}
