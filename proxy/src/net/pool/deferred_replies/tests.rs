//! Replies of which a part has arrived while memory is short: nothing of them is forwarded before all of them is there.

use super::super::test_attempt::{KEY, READS, TestAttempt, WRITES, end, row, value};
use crate::core::Answer;
use crate::memory::ConnectionCounts;
use std::io::Write;

/// The longest value that is forwarded only when it is complete.
const LONGEST_BUFFERED_VALUE: usize = 64 << 10;
/// The size of a receive buffer that takes less than such a value.
const SMALL_BUFFER_BYTES: usize = 4 << 10;
const VALUE_LENGTHS: [usize; 5] =
    [9 << 10, 12 << 10, 40 << 10, LONGEST_BUFFERED_VALUE - 1, LONGEST_BUFFERED_VALUE];

#[test]
fn a_value_is_forwarded_once_its_whole_reply_is_there() {
    for length in VALUE_LENGTHS {
        let mut attempt = TestAttempt::start(READS);
        attempt.make_memory_short();
        let (row, end) = (row(&value(length)), end());
        // The header of the row comes in pieces, the value in three, and the end of the reply apart from it.
        for part in [&row[..30], &row[30..36], &row[36..row.len() / 2], &row[row.len() / 2..], &end[..9]] {
            attempt.receive(part);
            attempt.check_nothing_forwarded("before the end of the reply");
        }
        attempt.receive(&end[9..]);
        assert_eq!(attempt.streamed_length, Some(length));
        assert!(attempt.forwarded == value(length), "{} bytes of {length}", attempt.forwarded.len());
        assert_eq!(attempt.answer, Some(Answer::Streamed));
    }
}

#[test]
fn a_reply_that_is_not_there_at_the_deadline_ends_with_an_error() {
    for length in VALUE_LENGTHS {
        let row = row(&value(length));
        for arrived in [row.len() / 2, row.len() - 1, row.len()] {
            for (class, error) in [(READS, None), (WRITES, Some(Answer::Failed))] {
                let mut attempt = TestAttempt::start(class);
                attempt.make_memory_short();
                attempt.receive(&row[..arrived]);
                attempt.time_out();
                assert_eq!(attempt.streamed_length, None, "{arrived} bytes of a value of {length}");
                let is_error = matches!(attempt.answer, Some(Answer::Rejected { .. } | Answer::Failed));
                assert!(is_error, "{:?}", attempt.answer);
                assert!(error.is_none_or(|error| attempt.answer == Some(error)), "{:?}", attempt.answer);
            }
        }
    }
}

#[test]
fn a_shortage_that_begins_in_the_middle_of_a_value_does_not_forward_a_part_of_it() {
    let (row, end) = (row(&value(40 << 10)), end());
    let mut attempt = TestAttempt::start(READS);
    attempt.receive(&row[..row.len() / 2]);
    attempt.make_memory_short();
    attempt.receive(&row[row.len() / 2..row.len() - 1]);
    attempt.check_nothing_forwarded("the last byte is missing");
    attempt.receive(&[&row[row.len() - 1..], &end[..]].concat());
    assert_eq!(attempt.forwarded, value(40 << 10));
    assert_eq!(attempt.answer, Some(Answer::Streamed));
}

#[test]
fn a_deferred_reply_is_read_when_the_shortage_ends() {
    let (row, end) = (row(&value(40 << 10)), end());
    let mut attempt = TestAttempt::start(READS);
    attempt.make_memory_short();
    attempt.receive(&row[..row.len() / 2]);
    assert!(attempt.fixture.pool.connections[KEY].reply_deferred);
    assert!(attempt.fixture.pool.connections[KEY].arrival_reported, "the attempt does not count any more");
    attempt.end_shortage();
    attempt.serve();
    assert!(!attempt.fixture.pool.connections[KEY].reply_deferred);
    attempt.receive(&[&row[row.len() / 2..], &end[..]].concat());
    let is_whole = matches!(&attempt.answer, Some(Answer::Served(served)) if served.bytes == value(40 << 10));
    assert!(is_whole, "the value is answered in one piece");
}

#[test]
fn a_database_that_closes_in_a_deferred_reply_ends_the_attempt_at_once() {
    let row = row(&value(40 << 10));
    let mut attempt = TestAttempt::start(WRITES);
    attempt.make_memory_short();
    attempt.receive(&row[..row.len() / 2]);
    attempt.database.shutdown(std::net::Shutdown::Both).unwrap();
    attempt.serve();
    assert!(!attempt.fixture.pool.connections.contains(KEY), "the connection is closed");
    assert_eq!(attempt.answer, Some(Answer::Failed));
}

#[test]
fn a_whole_reply_of_a_database_that_has_closed_is_forwarded() {
    let mut attempt = TestAttempt::start(READS);
    attempt.make_memory_short();
    attempt.database.write_all(&[row(&value(40 << 10)), end()].concat()).unwrap();
    attempt.database.shutdown(std::net::Shutdown::Both).unwrap();
    attempt.serve();
    assert_eq!(attempt.forwarded, value(40 << 10));
    assert_eq!(attempt.answer, Some(Answer::Streamed));
}

#[test]
fn a_longer_value_is_forwarded_as_it_comes() {
    let length = LONGEST_BUFFERED_VALUE + 1;
    let mut attempt = TestAttempt::start(READS);
    attempt.make_memory_short();
    attempt.receive(&row(&value(length))[..100]);
    assert_eq!(attempt.streamed_length, Some(length));
    assert!(!attempt.forwarded.is_empty());
}

#[test]
fn a_deferred_reply_outlasts_exhausted_memory() {
    let (row, end) = (row(&value(40 << 10)), end());
    let mut attempt = TestAttempt::start(READS);
    attempt.receive(&row[..row.len() / 2]);
    attempt.fixture.context.memory.configure(0, 1, ConnectionCounts::default());
    attempt.receive(&row[row.len() / 2..row.len() / 3 * 2]);
    attempt.check_nothing_forwarded("a part of the value is missing");
    attempt.receive(&[&row[row.len() / 3 * 2..], &end[..]].concat());
    assert_eq!(attempt.forwarded, value(40 << 10));
    assert_eq!(attempt.answer, Some(Answer::Streamed));
}

#[test]
fn a_reply_that_does_not_fit_into_its_socket_is_read_when_the_shortage_ends() {
    let mut attempt = TestAttempt::start(READS);
    let stream = &attempt.fixture.pool.connections[KEY].stream;
    socket2::SockRef::from(stream).set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    attempt.make_memory_short();
    attempt.receive(&[row(&value(LONGEST_BUFFERED_VALUE)), end()].concat());
    attempt.check_nothing_forwarded("the socket takes only a part");
    attempt.end_shortage();
    while attempt.answer.is_none() {
        attempt.serve();
    }
    assert!(matches!(&attempt.answer, Some(Answer::Served(_))), "the value is answered in one piece");
}
