//! The query for a row with the time of its last commit, and the parsing of its replies.

use crate::background_query::BackgroundStatementId;
use crate::pg::commit_time_query::{CommittedRow, parse_row_with_commit_time, read_row_with_commit_time};
use crate::reply::{Reply, Value};
use birchreach::{AttemptOutcome, GroupId};

fn reply_with_value(bytes: &[u8]) -> Reply {
    let value = Value { bytes: bytes.to_vec(), binary: true };
    Reply { value: Some(value), ..Reply::with_outcome(AttemptOutcome::Ok) }
}

#[test]
fn the_query_selects_a_row_with_its_last_commit_time() {
    // Given a key, when the query for its row is built for a background statement.
    let query = read_row_with_commit_time(b"7f3a", GroupId(2), BackgroundStatementId(7), 500);
    let query = String::from_utf8(query).unwrap();

    // Then the query has the key, and the statement's comment.
    assert!(
        query.ends_with(
            "FROM rows WHERE handle = '7f3a' /* id=0000000000000007,c=background,d=500,cluster=2 */"
        )
    );
}

#[test]
fn a_reply_is_parsed_into_a_row_and_its_last_commit_time() {
    // Given replies with a row and without one.
    let complete = reply_with_value(&[&5i64.to_be_bytes()[..], b"value"].concat());
    let absent = Reply::with_outcome(AttemptOutcome::Ok);

    // When they are parsed, then the results are the row with its commit time, and the absence of a row.
    let committed_row = CommittedRow { committed_at: 5_000, value: Some(&b"value"[..]) };
    assert_eq!(parse_row_with_commit_time(&complete), Some(committed_row));
    let no_row = CommittedRow { committed_at: 0, value: None };
    assert_eq!(parse_row_with_commit_time(&absent), Some(no_row));
}

#[test]
fn a_reply_without_a_valid_commit_time_gives_no_row() {
    // Given replies whose commit time is truncated or too large.
    let too_short = reply_with_value(b"short");
    let time_too_large = reply_with_value(&i64::MAX.to_be_bytes());

    // When they are parsed, then there is no result.
    assert_eq!(parse_row_with_commit_time(&too_short), None);
    assert_eq!(parse_row_with_commit_time(&time_too_large), None);
}
