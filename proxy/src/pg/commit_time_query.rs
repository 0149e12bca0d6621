//! A row of the group that splits, with the time since which it is what it is, in plain SQL. The group's databases keep commit times
//! (`track_commit_timestamp`).

use crate::reply::Reply;
use birchreach::Micros;

/// Reads a row behind the time of its last commit, in milliseconds, rounded up.
pub fn read_row_with_commit_time(key: &[u8], group: u32, id: u64, wait_ms: u64) -> Vec<u8> {
    let comment = format!("' /* id={id:016x},c=background,d={wait_ms},cluster={group} */");
    let select: &[u8] =
        b"SELECT int8send((extract(epoch FROM pg_xact_commit_timestamp(xmin)) * 1000)::int8 + 1) || blob \
                  FROM rows WHERE handle = '";
    [select, key, comment.as_bytes()].concat()
}

/// The time and the value; no value: there is no row. None: that is no answer to it.
pub fn parse_row_with_commit_time(reply: &Reply) -> Option<(Micros, Option<&[u8]>)> {
    let Some(value) = &reply.value else { return Some((0, None)) };
    let (since, blob) = value.bytes.split_first_chunk::<8>()?;
    Some((i64::from_be_bytes(*since).checked_mul(1_000)?, Some(blob)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::reply::Value;
    use birchreach::AttemptOutcome;

    #[test]
    fn a_look_is_a_time_and_a_value() {
        let text = String::from_utf8(read_row_with_commit_time(b"7f3a", 2, 7, 500)).unwrap();
        assert!(text.ends_with(
            "FROM rows WHERE handle = '7f3a' /* id=0000000000000007,c=background,d=500,cluster=2 */"
        ));
        let of = |bytes: &[u8]| Reply {
            value: Some(Value { bytes: bytes.to_vec(), binary: true }),
            ..Reply::with_outcome(AttemptOutcome::Ok)
        };
        let whole = of(&[&5i64.to_be_bytes()[..], b"value"].concat());
        assert_eq!(parse_row_with_commit_time(&whole), Some((5_000, Some(&b"value"[..]))));
        assert_eq!(parse_row_with_commit_time(&Reply::with_outcome(AttemptOutcome::Ok)), Some((0, None)));
        assert_eq!(parse_row_with_commit_time(&of(b"short")), None);
        assert_eq!(parse_row_with_commit_time(&of(&i64::MAX.to_be_bytes())), None);
    }
}
