//! Copies of rows in a guest's own table, in plain SQL: read if they prove a position, written so that the newer one stands. Both rules are
//! those of the crate `hot`, where they are model-checked.
//!
//!     CREATE TABLE copies (home int, handle text, at bigint NOT NULL, blob bytea NOT NULL, PRIMARY KEY (home, handle));

use super::statement::Statement;
use crate::reply::{Reply, Value};
use birchreach::{AttemptOutcome, Micros};

/// Longer rows are not copied.
pub const MAX_COPY_BYTES: usize = 16 << 10;

fn to_millis_rounded_up(position: Micros) -> Micros {
    position.div_euclid(1_000) + Micros::from(position.rem_euclid(1_000) > 0)
}

/// Reads the copy of what a statement asks for: the position and the value in one column, or nothing in it. The comment goes on as it
/// came, but for the wait.
pub fn read_copy(statement: &Statement, left_ms: u64, position: Micros) -> Vec<u8> {
    let (head, tail) = statement.comment_around_deadline();
    let select = format!(
        "SELECT coalesce((SELECT int8send(at) || blob FROM copies WHERE home = {} AND handle = '",
        statement.group
    );
    let proves = format!("' AND at >= {}), '')", to_millis_rounded_up(position));
    let left = left_ms.to_string();
    [select.as_bytes(), statement.key(), proves.as_bytes(), head, left.as_bytes(), tail].concat()
}

/// What came back: a copy that proves the position, or a miss. Nothing has run that could matter.
pub fn parse_copy(value: Option<Value>, needed: Micros, miss: Reply) -> Reply {
    let Some(Value { bytes, binary }) = value else { return miss };
    let Some((at, blob)) = bytes.split_first_chunk::<8>() else { return miss };
    let position = i64::from_be_bytes(*at).saturating_mul(1_000);
    if position < needed {
        return miss;
    }
    let value = Some(Value { bytes: blob.to_vec(), binary });
    Reply { outcome: AttemptOutcome::Ok, value, copy_position: Some(position), ..miss }
}

/// Reads a row at home for a copy or a comparison, as no client did.
pub fn read_row(key: &[u8], group: u32, id: u64, wait_ms: u64) -> Vec<u8> {
    let comment = format!("' /* id={id:016x},c=background,d={wait_ms},cluster={group} */");
    [b"SELECT blob FROM rows WHERE handle = '", key, comment.as_bytes()].concat()
}

/// Writes a copy; a newer one that is there stands.
pub fn write_copy(home: u32, key: &[u8], position: Micros, blob: &[u8]) -> Vec<u8> {
    let values = format!("', {}, '\\x", position.div_euclid(1_000));
    let hex: String = blob.iter().map(|b| format!("{b:02x}")).collect();
    let start = format!("INSERT INTO copies (home, handle, at, blob) VALUES ({home}, '");
    let joins = "') ON CONFLICT (home, handle) DO UPDATE SET at = excluded.at, blob = excluded.blob \
                 WHERE copies.at < excluded.at";
    [start.as_bytes(), key, values.as_bytes(), hex.as_bytes(), joins.as_bytes()].concat()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn statement() -> Statement {
        let text =
            "SELECT blob FROM rows WHERE handle = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2,after=17 */";
        Statement::parse(text.into()).unwrap()
    }

    #[test]
    fn statements_name_the_position_rounded_to_the_safe_side() {
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
    fn an_answer_proves_its_position_or_is_a_miss() {
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
}
