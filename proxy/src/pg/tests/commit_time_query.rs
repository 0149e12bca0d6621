//! Rows read with the time of their last commit.

use crate::pg::commit_time_query::{CommittedRow, parse_row_with_commit_time, read_row_with_commit_time};
use crate::reply::{Reply, Value};
use birchreach::AttemptOutcome;

#[test]
fn a_row_is_read_with_the_time_of_its_last_commit() {
    let text = String::from_utf8(read_row_with_commit_time(b"7f3a", 2, 7, 500)).unwrap();
    assert!(
        text.ends_with(
            "FROM rows WHERE handle = '7f3a' /* id=0000000000000007,c=background,d=500,cluster=2 */"
        )
    );
    let of = |bytes: &[u8]| Reply {
        value: Some(Value { bytes: bytes.to_vec(), binary: true }),
        ..Reply::with_outcome(AttemptOutcome::Ok)
    };
    let whole = of(&[&5i64.to_be_bytes()[..], b"value"].concat());
    assert_eq!(
        parse_row_with_commit_time(&whole),
        Some(CommittedRow { committed_at: 5_000, value: Some(&b"value"[..]) })
    );
    assert_eq!(
        parse_row_with_commit_time(&Reply::with_outcome(AttemptOutcome::Ok)),
        Some(CommittedRow { committed_at: 0, value: None })
    );
    assert_eq!(parse_row_with_commit_time(&of(b"short")), None);
    assert_eq!(parse_row_with_commit_time(&of(&i64::MAX.to_be_bytes())), None);
}
