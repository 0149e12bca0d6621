//! A check that never rejects anything shows nothing: for each there is a history here that it has to reject, and one that
//! it has to accept.

use birchreach_test_support::groups::history_checks::{
    ServedRead, check_copies, check_freshness, check_none_while_warming_up, check_rate_limit,
    check_single_execution,
};
use birchreach_test_support::groups::{Change, Entry, Record, State, StatementKind, VisibleCopy, VisibleRow};

fn entry(at: i64, key: &str, value: &str) -> Entry {
    Entry {
        committed_at_ms: at,
        id: format!("{key}{at}"),
        change: Change::Row { key: key.into(), value: value.into() },
    }
}

fn read(needed: i64, value: &str) -> ServedRead {
    ServedRead { key: "k".into(), required_position_ms: needed, value: value.into() }
}

#[test]
fn stale_reads_are_found() {
    let log = [entry(10, "k", "a"), entry(20, "k", "b"), entry(30, "other", "c")];
    let lost = [entry(25, "k", "lost")];
    assert_eq!(
        check_freshness(
            &[read(5, "x"), read(15, "a"), read(15, "b"), read(20, "b"), read(24, "lost")],
            &log,
            &lost
        ),
        Ok(4)
    );
    assert!(check_freshness(&[read(20, "a")], &log, &lost).is_err(), "b was committed at 20");
    assert!(check_freshness(&[read(30, "a")], &log, &lost).is_err());
    assert_eq!(check_freshness(&[read(30, "b")], &log, &lost), Ok(1), "the lost write need not be seen");
}

#[test]
fn copies_behind_their_position_are_found() {
    let log = [entry(10, "k", "a"), entry(20, "k", "b")];
    let copy = |at, value: &str| Entry {
        committed_at_ms: 100,
        id: String::new(),
        change: Change::Copy { home: 0, key: "k".into(), position_ms: at, value: value.into() },
    };
    assert_eq!(check_copies(&[copy(19, "a"), copy(19, "b"), copy(25, "b")], 0, &log, &[]), Ok(3));
    assert!(check_copies(&[copy(20, "a")], 0, &log, &[]).is_err());
    assert_eq!(check_copies(&[copy(20, "a")], 1, &log, &[]), Ok(0), "of another home");
}

#[test]
fn repeated_executions_are_found() {
    let log = [entry(10, "k", "a"), entry(20, "k", "b")];
    assert_eq!(check_single_execution(&[], &[&log]), Ok(0));
    let twice = [entry(10, "k", "a")];
    assert!(check_single_execution(&[], &[&log, &twice]).is_err(), "in another group, or lost and run again");
}

#[test]
fn rates_over_the_limit_and_statements_to_warming_members_are_found() {
    let at = |at, member| Record {
        received_at_ms: at,
        member,
        statement: StatementKind::CopyWrite,
        warming_up: false,
    };
    let records = [at(0, 0), at(900, 0), at(1000, 0), at(1800, 0), at(500, 1)];
    let copies = |what: &StatementKind| *what == StatementKind::CopyWrite;
    assert_eq!(check_rate_limit(&records, 1000, 3, copies), Ok(3));
    assert!(check_rate_limit(&records, 1000, 2, copies).is_err(), "900, 1000 and 1800");
    assert_eq!(check_rate_limit(&records, 1000, 0, |what| *what == StatementKind::PositionRead), Ok(0));
    assert_eq!(check_none_while_warming_up(&records, copies), Ok(()));
    let while_warming_up = [Record { warming_up: true, ..at(0, 0) }];
    assert!(check_none_while_warming_up(&while_warming_up, copies).is_err());
}

fn visible_row(value: &str, committed_at_ms: i64) -> Option<VisibleRow> {
    Some(VisibleRow { value: value.into(), committed_at_ms })
}

/// The databases' model: commits, replicas that lag, copies, failover and restart.
#[test]
fn a_group_answers_from_its_log() {
    let mut state = State::new(3, 50);
    let row = |key: &str, value: &str| Change::Row { key: key.into(), value: value.into() };
    assert_eq!(state.commit(0, 1_000, "w1", row("k", "01")), Some(1_000));
    assert_eq!(state.commit(0, 1_000, "w2", row("k", "02")), Some(1_001));
    assert_eq!(state.commit(1, 1_000, "w3", row("k", "03")), None, "a replica takes no write");
    assert_eq!(state.row(None, 0, 1_010, "k"), visible_row("02", 1_001));
    assert_eq!((state.row(None, 1, 1_010, "k"), state.position(1, 1_010)), (None, 959));
    assert_eq!(
        state.row(None, 1, 1_051, "k"),
        visible_row("01", 1_000),
        "all up to its position, and no more"
    );
    // Positions never go back, and whatever is committed later has a later time than a reported position.
    assert_eq!(state.position(0, 1_020), 1_019);
    assert_eq!(state.commit(0, 1_020, "w4", row("k", "04")), Some(1_020));
    // Of two copies the one with the newer position counts.
    let copy =
        |at, value: &str| Change::Copy { home: 7, key: "c".into(), position_ms: at, value: value.into() };
    state.commit(0, 1_030, "", copy(500, "0a"));
    state.commit(0, 1_031, "", copy(400, "0b"));
    assert_eq!(state.copy(0, 1_040, 7, "c"), Some(VisibleCopy { position_ms: 500, value: "0a".into() }));
    assert_eq!(state.copy(1, 1_040, 7, "c"), None, "not applied there yet");
    // Failover to a member that lacks the last commits loses them; a former primary that is not notified reports the present
    // position.
    assert_eq!(state.position(2, 1_060), 1_009);
    state.fail_over(2, 1_060, false);
    assert_eq!(
        state.lost_commits.iter().map(|e| e.committed_at_ms).collect::<Vec<_>>(),
        [1_020, 1_030, 1_031]
    );
    assert_eq!(state.row(None, 2, 1_070, "k"), visible_row("02", 1_001));
    assert_eq!(
        (state.claims_primary(0), state.claims_primary(2), state.position(0, 2_000)),
        (true, true, 1_999)
    );
    assert_eq!(state.row(None, 0, 2_000, "k").map(|row| row.value), Some("04".into()));
    assert_eq!(state.commit(0, 2_000, "w5", row("k", "05")), None);
    state.notify_deposed(0);
    assert!(!state.claims_primary(0));
    state.restart(1, 3_000, 2_000);
    assert!(state.position(1, 3_000) < 1_000, "from an old copy");
    assert!(state.position(1, 3_600) >= 3_549, "it has caught up");
}
