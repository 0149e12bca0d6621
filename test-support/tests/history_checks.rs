//! A check that never rejects anything shows nothing: for each there is a history here that it has to reject, and one that
//! it has to accept.

use birchreach_test_support::groups::history_checks::{
    ServedRead, check_copies, check_freshness, check_none_while_warming_up, check_rate_limit,
    check_single_execution,
};
use birchreach_test_support::groups::{Change, Entry, Record, StatementKind};

/// The group whose rows are written and copied.
const HOME: u32 = 0;

/// The commit of a row.
fn entry(committed_at_ms: i64, key: &str, value: &str) -> Entry {
    Entry {
        committed_at_ms,
        id: format!("{key}{committed_at_ms}"),
        change: Change::Row { key: key.into(), value: value.into() },
    }
}

/// The commit of a copy of the key `k`, which says that it is complete up to a position.
fn copy(position_ms: i64, value: &str) -> Entry {
    Entry {
        committed_at_ms: 100,
        id: String::new(),
        change: Change::Copy { home: HOME, key: "k".into(), position_ms, value: value.into() },
    }
}

/// A read of the key `k`.
fn read(required_position_ms: i64, value: &str) -> ServedRead {
    ServedRead { key: "k".into(), required_position_ms, value: value.into() }
}

/// A copy that a member received.
fn copy_write(received_at_ms: i64, member: usize) -> Record {
    Record { received_at_ms, member, statement: StatementKind::CopyWrite, warming_up: false }
}

fn is_copy_write(statement: &StatementKind) -> bool {
    *statement == StatementKind::CopyWrite
}

#[test]
fn stale_reads_are_found() {
    // Given two commits of a key, and one between them that a failover lost
    let log = [entry(10, "k", "a"), entry(20, "k", "b"), entry(30, "other", "c")];
    let lost = [entry(25, "k", "lost")];
    // When reads saw what they had to see, or something later, then they are accepted; the first had to see nothing
    let fresh = [read(5, "x"), read(15, "a"), read(15, "b"), read(20, "b"), read(24, "lost")];
    assert_eq!(check_freshness(&fresh, &log, &lost), Ok(4));
    // When a read saw less, then it is rejected
    assert!(check_freshness(&[read(20, "a")], &log, &lost).is_err(), "b was committed at 20");
    assert!(check_freshness(&[read(30, "a")], &log, &lost).is_err());
    assert_eq!(check_freshness(&[read(30, "b")], &log, &lost), Ok(1), "the lost write need not be seen");
}

#[test]
fn copies_behind_their_position_are_found() {
    // Given two commits of a key
    let log = [entry(10, "k", "a"), entry(20, "k", "b")];
    // When copies hold what was committed up to their position, then they are accepted
    assert_eq!(check_copies(&[copy(19, "a"), copy(19, "b"), copy(25, "b")], HOME, &log, &[]), Ok(3));
    // When a copy holds less, then it is rejected
    assert!(check_copies(&[copy(20, "a")], HOME, &log, &[]).is_err());
    assert_eq!(check_copies(&[copy(20, "a")], HOME + 1, &log, &[]), Ok(0), "of another home");
}

#[test]
fn repeated_executions_are_found() {
    // Given two commits, each once
    let log = [entry(10, "k", "a"), entry(20, "k", "b")];
    assert_eq!(check_single_execution(&[], &[&log]), Ok(0));
    // When one of them is in another log, too, then they are rejected
    let twice = [entry(10, "k", "a")];
    assert!(check_single_execution(&[], &[&log, &twice]).is_err(), "in another group, or lost and run again");
}

#[test]
fn rates_over_the_limit_are_found() {
    // Given four copies at one member, three of them within a second, and one at another
    let records =
        [copy_write(0, 0), copy_write(900, 0), copy_write(1000, 0), copy_write(1800, 0), copy_write(500, 1)];
    // When three in a second are allowed, then they are accepted
    assert_eq!(check_rate_limit(&records, 1000, 3, is_copy_write), Ok(3));
    // When only two are allowed, then they are rejected
    assert!(check_rate_limit(&records, 1000, 2, is_copy_write).is_err(), "900, 1000 and 1800");
    // And statements of other kinds aren't counted
    let is_position_read = |statement: &StatementKind| *statement == StatementKind::PositionRead;
    assert_eq!(check_rate_limit(&records, 1000, 0, is_position_read), Ok(0));
}

#[test]
fn statements_to_warming_members_are_found() {
    // Given copies at members that have warmed up, then they are accepted
    let records =
        [copy_write(0, 0), copy_write(900, 0), copy_write(1000, 0), copy_write(1800, 0), copy_write(500, 1)];
    assert_eq!(check_none_while_warming_up(&records, is_copy_write), Ok(()));
    // Given one at a member that is warming up, then it is rejected
    let while_warming_up = [Record { warming_up: true, ..copy_write(0, 0) }];
    assert!(check_none_while_warming_up(&while_warming_up, is_copy_write).is_err());
}
