//! Statements that read and write copies, and the parsing of replies to reads.

use crate::background_query::BackgroundStatementId;
use crate::pg::backend::{Backend, BackendEvent};
use crate::pg::copies::{parse_copy, read_copy, read_row, write_copy};
use crate::pg::load_report::LoadReportFormat;
use crate::pg::statement::Statement;
use crate::reply::{Reply, Value};
use birchreach::{AttemptOutcome, GroupId, Micros};

fn client_read() -> Statement {
    let text = "SELECT blob FROM rows WHERE handle = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2,after=17 */";
    Statement::parse(text.into()).unwrap()
}

fn miss() -> Reply {
    Reply::with_outcome(AttemptOutcome::Ineligible)
}

/// Parses a reply with this value to a read of a copy.
fn parse_copy_bytes(bytes: &[u8], required_position: Micros) -> Reply {
    let value = Value { bytes: bytes.to_vec(), binary: true };
    parse_copy(Some(value), required_position, miss())
}

#[test]
fn copy_reads_round_positions_up_and_copy_writes_round_them_down() {
    // Given positions between two milliseconds, when a copy is read at one of them and written at the other.
    let read = read_copy(&client_read(), 95, 1_234_001);
    let write = write_copy(GroupId(2), b"7f3a", 1_234_999, &[0x9f, 3]);

    // Then the read requires the next millisecond, and the write records the previous one.
    assert_eq!(
        String::from_utf8(read).unwrap(),
        "SELECT coalesce((SELECT int8send(at) || blob FROM copies WHERE home = 2 AND handle = '7f3a' \
         AND at >= 1235), '') /* id=9b1f,c=basket,d=95,cluster=2,after=17 */"
    );
    assert_eq!(
        String::from_utf8(write).unwrap(),
        "INSERT INTO copies (home, handle, at, blob) VALUES (2, '7f3a', 1234, '\\x9f03') \
         ON CONFLICT (home, handle) DO UPDATE SET at = excluded.at, blob = excluded.blob WHERE copies.at < excluded.at"
    );
}

#[test]
fn a_row_read_has_the_comment_of_a_background_statement() {
    let read = read_row(b"7f3a", GroupId(2), BackgroundStatementId(0x2a), 500);

    assert_eq!(
        String::from_utf8(read).unwrap(),
        "SELECT blob FROM rows WHERE handle = '7f3a' /* id=000000000000002a,c=background,d=500,cluster=2 */"
    );
}

#[test]
fn a_copy_reply_below_the_required_position_is_a_miss() {
    // Given a copy at position 5 ms.
    let copy = [&5i64.to_be_bytes()[..], b"value"].concat();

    // When a read requires that position, then the copy serves it.
    let served = parse_copy_bytes(&copy, 5_000);
    assert_eq!((served.outcome, served.copy_position), (AttemptOutcome::Ok, Some(5_000)));
    assert_eq!(served.value.unwrap().bytes, b"value");

    // When a read requires a later position, or there is no copy, or the reply is too short, then the read is a miss.
    for (bytes, required_position) in [(&copy[..], 5_001), (b"", 0), (b"short", 0)] {
        let reply = parse_copy_bytes(bytes, required_position);

        assert_eq!(
            (reply.outcome, reply.value, reply.copy_position),
            (AttemptOutcome::Ineligible, None, None)
        );
    }
    assert_eq!(parse_copy(None, 0, miss()).outcome, AttemptOutcome::Ineligible);
}

/// Guards against a reply to a read of a copy that is forwarded before its position is checked, and then cut off.
#[test]
fn a_copy_that_is_too_long_to_be_checked_is_not_forwarded() {
    // Given a read of a copy that was sent
    let mut backend = Backend::new(LoadReportFormat::default());
    backend.feed(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I");
    assert_eq!(backend.next_event(), Some(BackendEvent::Ready));
    backend.send_copy_read(&client_read(), 95, 0);
    // When a row of 100 KiB begins to arrive
    let column = [&[0, 1][..], b"blob\0", &[0; 16], &[0, 1]].concat();
    backend.feed(&[b"T", &(4 + column.len() as u32).to_be_bytes()[..], &column].concat());
    let value_length = 100_u32 << 10;
    let header = [&(value_length + 10).to_be_bytes()[..], &[0, 1], &value_length.to_be_bytes()].concat();
    backend.feed(&[b"D", &header[..], b"value"].concat());
    // Then the attempt fails, so that the read is retried elsewhere
    assert_eq!(backend.next_event(), Some(BackendEvent::ProtocolError));
}
