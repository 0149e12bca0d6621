//! Replies of which a part has arrived while memory is short: nothing of them is forwarded before all of them is there.

use super::super::test_attempt::{KEY, READS, TestAttempt, WRITES, end, row, value};
use crate::core::Answer;
use crate::memory::ConnectionCounts;
use std::io::Write;

/// The longest value that is forwarded as a whole.
const LONGEST_WHOLE_VALUE: usize = 64 << 10;
const VALUE_LENGTHS: [usize; 5] = [9 << 10, 12 << 10, 40 << 10, LONGEST_WHOLE_VALUE - 1, LONGEST_WHOLE_VALUE];

#[test]
fn a_value_is_forwarded_once_its_whole_reply_is_there() {
    for length in VALUE_LENGTHS {
        let mut held = TestAttempt::start(READS);
        held.make_memory_short();
        let (row, end) = (row(&value(length)), end());
        // The header of the row comes in pieces, the value in three, and the end of the reply apart from it.
        for part in [&row[..30], &row[30..36], &row[36..row.len() / 2], &row[row.len() / 2..], &end[..9]] {
            held.receive(part);
            held.check_nothing_forwarded("before the end of the reply");
        }
        held.receive(&end[9..]);
        assert_eq!(held.streamed_length, Some(length));
        assert!(held.forwarded == value(length), "{} bytes of {length}", held.forwarded.len());
        assert_eq!(held.answer, Some(Answer::Streamed));
    }
}

#[test]
fn a_reply_that_is_not_there_at_the_deadline_ends_with_an_error() {
    for length in VALUE_LENGTHS {
        let row = row(&value(length));
        for arrived in [row.len() / 2, row.len() - 1, row.len()] {
            for (class, error) in [(READS, None), (WRITES, Some(Answer::Failed))] {
                let mut held = TestAttempt::start(class);
                held.make_memory_short();
                held.receive(&row[..arrived]);
                held.time_out();
                assert_eq!(held.streamed_length, None, "{arrived} bytes of a value of {length}");
                let is_error = matches!(held.answer, Some(Answer::Rejected { .. } | Answer::Failed));
                assert!(is_error, "{:?}", held.answer);
                assert!(error.is_none_or(|error| held.answer == Some(error)), "{:?}", held.answer);
            }
        }
    }
}

#[test]
fn a_shortage_that_begins_in_the_middle_of_a_value_does_not_forward_a_part_of_it() {
    let (row, end) = (row(&value(40 << 10)), end());
    let mut held = TestAttempt::start(READS);
    held.receive(&row[..row.len() / 2]);
    held.make_memory_short();
    held.receive(&row[row.len() / 2..row.len() - 1]);
    held.check_nothing_forwarded("the last byte is missing");
    held.receive(&[&row[row.len() - 1..], &end[..]].concat());
    assert_eq!(held.forwarded, value(40 << 10));
    assert_eq!(held.answer, Some(Answer::Streamed));
}

#[test]
fn a_held_reply_is_read_when_the_shortage_ends() {
    let (row, end) = (row(&value(40 << 10)), end());
    let mut held = TestAttempt::start(READS);
    held.make_memory_short();
    held.receive(&row[..row.len() / 2]);
    assert!(held.fixture.pool.connections[KEY].reply_held);
    assert!(held.fixture.pool.connections[KEY].arrival_reported, "the attempt does not count any more");
    held.end_shortage();
    held.serve();
    assert!(!held.fixture.pool.connections[KEY].reply_held);
    held.receive(&[&row[row.len() / 2..], &end[..]].concat());
    let is_whole = matches!(&held.answer, Some(Answer::Served(served)) if served.bytes == value(40 << 10));
    assert!(is_whole, "the value is answered in one piece");
}

#[test]
fn a_database_that_closes_in_a_held_reply_ends_the_attempt_at_once() {
    let row = row(&value(40 << 10));
    let mut held = TestAttempt::start(WRITES);
    held.make_memory_short();
    held.receive(&row[..row.len() / 2]);
    held.database.shutdown(std::net::Shutdown::Both).unwrap();
    held.serve();
    assert!(!held.fixture.pool.connections.contains(KEY), "the connection is closed");
    assert_eq!(held.answer, Some(Answer::Failed));
}

#[test]
fn a_whole_reply_of_a_database_that_has_closed_is_forwarded() {
    let mut held = TestAttempt::start(READS);
    held.make_memory_short();
    held.database.write_all(&[row(&value(40 << 10)), end()].concat()).unwrap();
    held.database.shutdown(std::net::Shutdown::Both).unwrap();
    held.serve();
    assert_eq!(held.forwarded, value(40 << 10));
    assert_eq!(held.answer, Some(Answer::Streamed));
}

#[test]
fn a_longer_value_is_forwarded_as_it_comes() {
    let length = LONGEST_WHOLE_VALUE + 1;
    let mut held = TestAttempt::start(READS);
    held.make_memory_short();
    held.receive(&row(&value(length))[..100]);
    assert_eq!(held.streamed_length, Some(length));
    assert!(!held.forwarded.is_empty());
}

#[test]
fn a_held_reply_outlasts_exhausted_memory() {
    let (row, end) = (row(&value(40 << 10)), end());
    let mut held = TestAttempt::start(READS);
    held.receive(&row[..row.len() / 2]);
    held.fixture.context.memory.configure(0, 1, ConnectionCounts::default());
    held.receive(&row[row.len() / 2..row.len() / 3 * 2]);
    held.check_nothing_forwarded("a part of the value is missing");
    held.receive(&[&row[row.len() / 3 * 2..], &end[..]].concat());
    assert_eq!(held.forwarded, value(40 << 10));
    assert_eq!(held.answer, Some(Answer::Streamed));
}
