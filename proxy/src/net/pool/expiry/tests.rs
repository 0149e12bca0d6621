//! Replies of which a part was forwarded: the deadline no longer applies to them, and each still ends.

use super::super::test_attempt::{KEY, READS, TestAttempt, WRITES, end, row, value};
use super::RESPONSE_STALL_TIMEOUT_MICROS;
use crate::core::Answer;

/// A value that is forwarded as it comes.
const LONG_VALUE: usize = 100 << 10;

/// Guards against a value that is cut off because its deadline passes between its last byte and the end of the reply.
#[test]
fn a_forwarded_value_is_not_cut_off_before_the_end_of_its_reply() {
    let mut attempt = TestAttempt::start(READS);
    attempt.receive(&row(&value(LONG_VALUE)));
    attempt.time_out();
    attempt.check_open();
    attempt.receive(&end());
    assert!(attempt.forwarded == value(LONG_VALUE));
    assert_eq!(attempt.answer, Some(Answer::Streamed));
}

/// Guards against a request that stays open for ever because the end of its reply never comes.
#[test]
fn a_forwarded_value_whose_reply_does_not_end_is_followed_by_an_error() {
    for class in [READS, WRITES] {
        let mut attempt = TestAttempt::start(class);
        let row = row(&value(LONG_VALUE));
        attempt.receive(&row[..row.len() / 2]);
        attempt.time_out();
        attempt.receive(&row[row.len() / 2..]);
        attempt.pass_time(RESPONSE_STALL_TIMEOUT_MICROS - 1);
        attempt.check_open();
        attempt.pass_time(1);
        assert_eq!(attempt.answer, Some(Answer::Failed));
        assert!(!attempt.stream_aborted, "the client's connection stays open");
        assert!(!attempt.fixture.pool.connections.contains(KEY), "the database's connection is closed");
    }
}

#[test]
fn an_end_of_a_reply_that_comes_slowly_is_awaited() {
    let mut attempt = TestAttempt::start(READS);
    attempt.receive(&row(&value(LONG_VALUE)));
    for byte in end() {
        attempt.pass_time(RESPONSE_STALL_TIMEOUT_MICROS - 1);
        attempt.check_open();
        attempt.receive(&[byte]);
    }
    assert_eq!(attempt.answer, Some(Answer::Streamed));
}

#[test]
fn a_value_that_stops_in_the_middle_is_cut_off_after_the_stall_timeout() {
    let mut attempt = TestAttempt::start(READS);
    let row = row(&value(LONG_VALUE));
    attempt.receive(&row[..row.len() / 2]);
    attempt.time_out();
    attempt.check_open();
    attempt.pass_time(RESPONSE_STALL_TIMEOUT_MICROS);
    assert!(attempt.stream_aborted);
}

#[test]
fn a_database_that_closes_behind_a_forwarded_value_is_followed_by_an_error() {
    let mut attempt = TestAttempt::start(READS);
    attempt.receive(&row(&value(LONG_VALUE)));
    attempt.database.shutdown(std::net::Shutdown::Both).unwrap();
    attempt.serve();
    assert_eq!(attempt.answer, Some(Answer::Failed));
    assert!(!attempt.stream_aborted);
}
