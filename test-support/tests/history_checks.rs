//! Tests of the history checks. A check that accepts everything would detect no fault, so each check has a history here
//! that it must reject and one that it must accept.

use birchreach_test_support::groups::history_checks::{
    ServedRead, check_copies, check_freshness, check_none_during_slow_start, check_rate_limit,
    check_single_execution,
};
use birchreach_test_support::groups::{Change, LogEntry, StatementKind, StatementRecord};

/// The group whose rows are written and copied.
const HOME: u32 = 0;

/// A client's commit of a row. Entries with the same key and commit time have the same request id.
fn entry(committed_at_ms: i64, key: &str, value: &str) -> LogEntry {
    LogEntry {
        committed_at_ms,
        id: format!("{key}{committed_at_ms}"),
        change: Change::Row { key: key.into(), value: value.into() },
    }
}

/// A commit of a copy of the key `k`. The copy claims to include all commits up to `position_ms`.
fn copy(position_ms: i64, value: &str) -> LogEntry {
    LogEntry {
        committed_at_ms: 100,
        id: String::new(),
        change: Change::Copy { home: HOME, key: "k".into(), position_ms, value: value.into() },
    }
}

/// A read of the key `k` that has to include all commits up to `required_position_ms`.
fn read(required_position_ms: i64, value: &str) -> ServedRead {
    ServedRead { key: "k".into(), required_position_ms, value: value.into() }
}

/// A record of a copy write that a member received.
fn copy_write(received_at_ms: i64, member: usize) -> StatementRecord {
    StatementRecord { received_at_ms, member, statement: StatementKind::CopyWrite, in_slow_start: false }
}

fn is_copy_write(statement: &StatementKind) -> bool {
    *statement == StatementKind::CopyWrite
}

#[test]
fn stale_reads_are_rejected() {
    // Given two commits of a key, and one between them that a failover lost
    let log = [entry(10, "k", "a"), entry(20, "k", "b"), entry(30, "other", "c")];
    let lost = [entry(25, "k", "lost")];
    // When reads saw the required value or a later one, then they are accepted. No value is required of the first read.
    let fresh = [read(5, "x"), read(15, "a"), read(15, "b"), read(20, "b"), read(24, "lost")];
    assert_eq!(check_freshness(&fresh, &log, &lost), Ok(4));
    // When a read saw an older value, then it is rejected
    assert!(check_freshness(&[read(20, "a")], &log, &lost).is_err(), "b was committed at 20");
    assert!(check_freshness(&[read(30, "a")], &log, &lost).is_err());
    assert_eq!(check_freshness(&[read(30, "b")], &log, &lost), Ok(1), "a lost write is not required");
}

#[test]
fn copies_older_than_their_position_are_rejected() {
    // Given two commits of a key
    let log = [entry(10, "k", "a"), entry(20, "k", "b")];
    // When copies include all commits up to their position, then they are accepted
    assert_eq!(check_copies(&[copy(19, "a"), copy(19, "b"), copy(25, "b")], HOME, &log, &[]), Ok(3));
    // When a copy lacks a commit, then it is rejected
    assert!(check_copies(&[copy(20, "a")], HOME, &log, &[]).is_err());
    assert_eq!(check_copies(&[copy(20, "a")], HOME + 1, &log, &[]), Ok(0), "copies of another home group");
}

#[test]
fn repeated_executions_are_rejected() {
    // Given two commits of different requests
    let log = [entry(10, "k", "a"), entry(20, "k", "b")];
    assert_eq!(check_single_execution(&[], &[&log]), Ok(0));
    // When one of them is also in another log, then the logs are rejected
    let twice = [entry(10, "k", "a")];
    assert!(
        check_single_execution(&[], &[&log, &twice]).is_err(),
        "executed in another group too, or executed again after it was lost"
    );
}

#[test]
fn rates_over_the_limit_are_rejected() {
    // Given four copy writes at one member, three of them within a second, and one at another member
    let records =
        [copy_write(0, 0), copy_write(900, 0), copy_write(1000, 0), copy_write(1800, 0), copy_write(500, 1)];
    // When three per second are allowed, then they are accepted
    assert_eq!(check_rate_limit(&records, 1000, 3, is_copy_write), Ok(3));
    // When only two per second are allowed, then they are rejected
    assert!(check_rate_limit(&records, 1000, 2, is_copy_write).is_err(), "900, 1000 and 1800");
    // And statements of other kinds are not counted
    let is_position_read = |statement: &StatementKind| *statement == StatementKind::PositionRead;
    assert_eq!(check_rate_limit(&records, 1000, 0, is_position_read), Ok(0));
}

#[test]
fn statements_to_members_in_slow_start_are_rejected() {
    // Given copy writes at members at full speed, then they are accepted
    let records =
        [copy_write(0, 0), copy_write(900, 0), copy_write(1000, 0), copy_write(1800, 0), copy_write(500, 1)];
    assert_eq!(check_none_during_slow_start(&records, is_copy_write), Ok(()));
    // Given a copy write at a member in slow start, then it is rejected
    let during_slow_start = [StatementRecord { in_slow_start: true, ..copy_write(0, 0) }];
    assert!(check_none_during_slow_start(&during_slow_start, is_copy_write).is_err());
}
