//! The SQL for copies of rows in a table of another group. A copy is read only if it has reached a position, and written only if no
//! newer one exists. The crate `hot-keys` has both rules, and checks them on a model.
//!
//!     CREATE TABLE copies (home int, handle text, at bigint NOT NULL, blob bytea NOT NULL, PRIMARY KEY (home, handle));

use super::statement::Statement;
use crate::background_query::BackgroundStatementId;
use crate::reply::{Reply, Value};
use crate::units::MICROS_PER_MILLI;
use birchreach::{AttemptOutcome, GroupId, Micros};

/// The longest value that is copied.
pub(crate) const MAX_COPY_BYTES: usize = 16 << 10;

/// The query for the copy of the row that a statement reads: the position and the value in one column, or an empty one. The comment
/// is forwarded as it arrived, except for the wait.
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

/// Parses the reply to that query: a copy that has reached the position, or else `miss`.
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

/// The query for a row in its own group, for copying or a comparison.
pub(crate) fn read_row(key: &[u8], group: GroupId, id: BackgroundStatementId, timeout_ms: u64) -> Vec<u8> {
    let comment = background_comment(group, id, timeout_ms);
    [b"SELECT blob FROM rows WHERE handle = '", key, b"' ", comment.as_bytes()].concat()
}

/// The comment of a background statement that reads a row in its own group.
pub(super) fn background_comment(group: GroupId, id: BackgroundStatementId, timeout_ms: u64) -> String {
    format!("/* id={id},c=background,d={timeout_ms},cluster={} */", group.0)
}

/// The statement that writes a copy, unless a newer one exists.
pub(crate) fn write_copy(home: GroupId, key: &[u8], position: Micros, blob: &[u8]) -> Vec<u8> {
    let insert = format!("INSERT INTO copies (home, handle, at, blob) VALUES ({}, '", home.0);
    let values = format!("', {}, '\\x", position.div_euclid(MICROS_PER_MILLI));
    let hex: String = blob.iter().map(|byte| format!("{byte:02x}")).collect();
    let upsert = "') ON CONFLICT (home, handle) DO UPDATE SET at = excluded.at, blob = excluded.blob \
                  WHERE copies.at < excluded.at";
    [insert.as_bytes(), key, values.as_bytes(), hex.as_bytes(), upsert.as_bytes()].concat()
}

/// The position in milliseconds, rounded up.
fn to_millis_rounded_up(position: Micros) -> Micros {
    position.div_euclid(MICROS_PER_MILLI) + Micros::from(position.rem_euclid(MICROS_PER_MILLI) > 0)
}
