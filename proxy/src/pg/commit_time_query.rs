//! SQL query that reads a row of a group that is being split, together with the time of the row's last commit. The group's
//! databases must record commit times (`track_commit_timestamp`).

use super::copies::background_comment;
use crate::background_query::BackgroundStatementId;
use crate::reply::Reply;
use crate::units::MICROS_PER_MILLI;
use birchreach::{GroupId, Micros};

/// A row as of its last commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CommittedRow<'a> {
    /// When the row was last committed. 0: there is no row.
    pub committed_at: Micros,
    /// The value of the row. `None`: there is no row.
    pub value: Option<&'a [u8]>,
}

/// Returns the query for a row. The result is the time of the row's last commit as eight bytes, in milliseconds and rounded up,
/// followed by the row's value.
pub(crate) fn read_row_with_commit_time(
    key: &[u8],
    group: GroupId,
    id: BackgroundStatementId,
    timeout_ms: u64,
) -> Vec<u8> {
    let comment = background_comment(group, id, timeout_ms);
    let select: &[u8] =
        b"SELECT int8send((extract(epoch FROM pg_xact_commit_timestamp(xmin)) * 1000)::int8 + 1) || blob \
                  FROM rows WHERE handle = '";
    [select, key, b"' ", comment.as_bytes()].concat()
}

/// Parses the reply to the query of [`read_row_with_commit_time`]. `None`: the reply does not have a valid commit time.
pub(crate) fn parse_row_with_commit_time(reply: &Reply) -> Option<CommittedRow<'_>> {
    let Some(value) = &reply.value else { return Some(CommittedRow { committed_at: 0, value: None }) };
    let (millis, blob) = value.bytes.split_first_chunk::<8>()?;
    let committed_at = i64::from_be_bytes(*millis).checked_mul(MICROS_PER_MILLI)?;
    Some(CommittedRow { committed_at, value: Some(blob) })
}
