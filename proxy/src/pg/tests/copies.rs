//! Queries for copies, and what their replies prove.

use crate::pg::copies::{parse_copy, read_copy, write_copy};
use crate::pg::statement::Statement;
use crate::reply::{Reply, Value};
use birchreach::AttemptOutcome;

fn statement() -> Statement {
    let text = "SELECT blob FROM rows WHERE handle = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2,after=17 */";
    Statement::parse(text.into()).unwrap()
}

#[test]
fn copy_reads_round_the_position_up_and_copy_writes_round_it_down() {
    assert_eq!(
        String::from_utf8(read_copy(&statement(), 95, 1_234_001)).unwrap(),
        "SELECT coalesce((SELECT int8send(at) || blob FROM copies WHERE home = 2 AND handle = '7f3a' \
         AND at >= 1235), '') /* id=9b1f,c=basket,d=95,cluster=2,after=17 */"
    );
    assert_eq!(
        String::from_utf8(write_copy(2, b"7f3a", 1_234_999, &[0x9f, 3])).unwrap(),
        "INSERT INTO copies (home, handle, at, blob) VALUES (2, '7f3a', 1234, '\\x9f03') \
         ON CONFLICT (home, handle) DO UPDATE SET at = excluded.at, blob = excluded.blob WHERE copies.at < excluded.at"
    );
}

#[test]
fn a_reply_proves_the_required_position_or_is_a_miss() {
    let of = |bytes: &[u8], needed| {
        let value = Some(Value { bytes: bytes.to_vec(), binary: true });
        parse_copy(value, needed, Reply::with_outcome(AttemptOutcome::Ineligible))
    };
    let copy = [&5i64.to_be_bytes()[..], b"value"].concat();
    let served = of(&copy, 5_000);
    assert_eq!((served.outcome, served.copy_position), (AttemptOutcome::Ok, Some(5_000)));
    assert_eq!(served.value.unwrap().bytes, b"value");
    for (bytes, needed) in [(&copy[..], 5_001), (b"", 0), (b"short", 0)] {
        let reply = of(bytes, needed);
        assert_eq!(
            (reply.outcome, reply.value, reply.copy_position),
            (AttemptOutcome::Ineligible, None, None)
        );
    }
    assert_eq!(
        parse_copy(None, 0, Reply::with_outcome(AttemptOutcome::Ineligible)).outcome,
        AttemptOutcome::Ineligible
    );
}
