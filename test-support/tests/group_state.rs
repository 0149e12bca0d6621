//! The simulated state of a group: commits, replication lag, copies, failover and restart.

use birchreach_test_support::groups::{Change, GroupState, VisibleCopy, VisibleRow};

/// The group whose rows are copied.
const HOME: u32 = 7;

/// Time after a commit until a replica has applied it.
const LAG_MS: i64 = 50;

fn row(key: &str, value: &str) -> Change {
    Change::Row { key: key.into(), value: value.into() }
}

/// A copy of the key `c`.
fn copy(position_ms: i64, value: &str) -> Change {
    Change::Copy { home: HOME, key: "c".into(), position_ms, value: value.into() }
}

fn visible_row(value: &str, committed_at_ms: i64) -> Option<VisibleRow> {
    Some(VisibleRow { value: value.into(), committed_at_ms })
}

/// A group of three members with two commits of the key `k`. The first member is the primary.
fn group_with_two_commits() -> GroupState {
    let mut state = GroupState::new(3, LAG_MS);
    assert_eq!(state.commit(0, 1_000, "w1", row("k", "01")), Some(1_000));
    assert_eq!(state.commit(0, 1_000, "w2", row("k", "02")), Some(1_001));
    state
}

/// The group of [`group_with_two_commits`] with another commit of the key and two copies, which no replica has applied.
fn group_with_unreplicated_commits() -> GroupState {
    let mut state = group_with_two_commits();
    assert_eq!(state.position(0, 1_020), 1_019);
    assert_eq!(state.commit(0, 1_020, "w4", row("k", "04")), Some(1_020));
    state.commit(0, 1_030, "", copy(500, "0a"));
    state.commit(0, 1_031, "", copy(400, "0b"));
    state
}

#[test]
fn replicas_see_only_applied_commits_and_reject_writes() {
    // Given two commits at the primary
    let mut state = group_with_two_commits();
    // When a replica receives a write, then it does not commit
    assert_eq!(state.commit(1, 1_000, "w3", row("k", "03")), None, "a replica rejects writes");
    // And the primary sees its commits immediately, but a replica does not see them yet
    assert_eq!(state.row(None, 0, 1_010, "k"), visible_row("02", 1_001));
    assert_eq!((state.row(None, 1, 1_010, "k"), state.position(1, 1_010)), (None, 959));
    // When the replica has applied only the first commit, then it sees only that commit
    assert_eq!(
        state.row(None, 1, 1_051, "k"),
        visible_row("01", 1_000),
        "exactly the commits up to its position"
    );
}

#[test]
fn commits_are_later_than_previously_reported_positions() {
    // Given a primary that has reported its position
    let mut state = group_with_two_commits();
    assert_eq!(state.position(0, 1_020), 1_019);
    // When it commits in the same millisecond, then the commit is later than that position
    assert_eq!(state.commit(0, 1_020, "w4", row("k", "04")), Some(1_020));
}

#[test]
fn the_copy_with_the_newer_position_is_read() {
    // Given two copies of a key at the primary, of which the later one has the older position
    let mut state = group_with_unreplicated_commits();
    // When the primary reads the copy, then it returns the one with the newer position
    let newer = VisibleCopy { position_ms: 500, value: "0a".into() };
    assert_eq!(state.copy(0, 1_040, HOME, "c"), Some(newer));
    // When a replica reads the copy, then there is none yet
    assert_eq!(state.copy(1, 1_040, HOME, "c"), None, "the replica has not applied it");
}

#[test]
fn a_failover_loses_commits_that_the_new_primary_has_not_applied() {
    // Given a replica that lacks the last three commits
    let mut state = group_with_unreplicated_commits();
    assert_eq!(state.position(2, 1_060), 1_009);
    // When it becomes the primary
    state.fail_over(2, 1_060, false);
    // Then these commits are lost, and the new primary has the earlier ones
    let lost: Vec<i64> = state.lost_commits.iter().map(|entry| entry.committed_at_ms).collect();
    assert_eq!(lost, [1_020, 1_030, 1_031]);
    assert_eq!(state.row(None, 2, 1_070, "k"), visible_row("02", 1_001));
}

#[test]
fn a_former_primary_answers_from_its_old_state_until_it_is_notified() {
    // Given a failover without notification of the old primary
    let mut state = group_with_unreplicated_commits();
    state.fail_over(2, 1_060, false);
    // Then the old primary reports itself as the primary, with the current position and its old row
    assert_eq!(
        (state.claims_primary(0), state.claims_primary(2), state.position(0, 2_000)),
        (true, true, 1_999)
    );
    assert_eq!(state.row(None, 0, 2_000, "k").map(|row| row.value), Some("04".into()));
    assert_eq!(state.commit(0, 2_000, "w5", row("k", "05")), None);
    // When it is notified, then it no longer reports itself as the primary
    state.notify_former_primary(0);
    assert!(!state.claims_primary(0));
}

#[test]
fn a_member_restored_from_an_old_backup_catches_up() {
    // Given a group after a failover of which the old primary has been notified
    let mut state = group_with_unreplicated_commits();
    state.fail_over(2, 1_060, false);
    state.notify_former_primary(0);
    // When the other replica restarts from a backup that is two seconds old
    state.restart(1, 3_000, 2_000);
    // Then it lags behind at first and catches up
    assert!(state.position(1, 3_000) < 1_000, "restored from an old backup");
    assert!(state.position(1, 3_600) >= 3_549, "it has caught up");
}
