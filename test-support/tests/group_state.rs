//! The model of a group's databases: commits, replicas that lag, copies, failover and restart.

use birchreach_test_support::groups::{Change, State, VisibleCopy, VisibleRow};

/// The group whose rows are copied.
const HOME: u32 = 7;

/// How late replicas apply the log.
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

/// Three members, of which the first is the primary, with two commits of the key `k`.
fn group_with_two_commits() -> State {
    let mut state = State::new(3, LAG_MS);
    assert_eq!(state.commit(0, 1_000, "w1", row("k", "01")), Some(1_000));
    assert_eq!(state.commit(0, 1_000, "w2", row("k", "02")), Some(1_001));
    state
}

/// The group above with another commit of the key and two copies, all so late that no replica has applied them.
fn group_with_unreplicated_commits() -> State {
    let mut state = group_with_two_commits();
    assert_eq!(state.position(0, 1_020), 1_019);
    assert_eq!(state.commit(0, 1_020, "w4", row("k", "04")), Some(1_020));
    state.commit(0, 1_030, "", copy(500, "0a"));
    state.commit(0, 1_031, "", copy(400, "0b"));
    state
}

#[test]
fn replicas_see_what_they_have_applied_and_commit_nothing() {
    // Given two commits at the primary
    let mut state = group_with_two_commits();
    // When a replica is to commit, then it does not
    assert_eq!(state.commit(1, 1_000, "w3", row("k", "03")), None, "a replica takes no write");
    // And the primary has its commits at once, a replica has none of them yet
    assert_eq!(state.row(None, 0, 1_010, "k"), visible_row("02", 1_001));
    assert_eq!((state.row(None, 1, 1_010, "k"), state.position(1, 1_010)), (None, 959));
    // When the replica has applied the first, then it has the first alone
    assert_eq!(
        state.row(None, 1, 1_051, "k"),
        visible_row("01", 1_000),
        "all up to its position, and no more"
    );
}

#[test]
fn commits_are_later_than_positions_reported_before() {
    // Given a primary that has reported its position
    let mut state = group_with_two_commits();
    assert_eq!(state.position(0, 1_020), 1_019);
    // When it commits in the same millisecond, then the commit is later than that position
    assert_eq!(state.commit(0, 1_020, "w4", row("k", "04")), Some(1_020));
}

#[test]
fn of_two_copies_the_one_with_the_newer_position_counts() {
    // Given two copies of a key at the primary, of which the later one has the older position
    let mut state = group_with_unreplicated_commits();
    // When the copy is read there, then it is the one with the newer position
    let newer = VisibleCopy { position_ms: 500, value: "0a".into() };
    assert_eq!(state.copy(0, 1_040, HOME, "c"), Some(newer));
    // When it is read at a replica, then there is none yet
    assert_eq!(state.copy(1, 1_040, HOME, "c"), None, "not applied there yet");
}

#[test]
fn a_failover_loses_what_the_new_primary_has_not_applied() {
    // Given a replica that lacks the last three commits
    let mut state = group_with_unreplicated_commits();
    assert_eq!(state.position(2, 1_060), 1_009);
    // When it becomes the primary
    state.fail_over(2, 1_060, false);
    // Then these are lost, and it has what was committed before
    let lost: Vec<i64> = state.lost_commits.iter().map(|entry| entry.committed_at_ms).collect();
    assert_eq!(lost, [1_020, 1_030, 1_031]);
    assert_eq!(state.row(None, 2, 1_070, "k"), visible_row("02", 1_001));
}

#[test]
fn a_deposed_primary_answers_from_its_old_state_until_it_is_notified() {
    // Given a failover of which the old primary is not notified
    let mut state = group_with_unreplicated_commits();
    state.fail_over(2, 1_060, false);
    // Then it reports to be the primary, with the present position and its old row
    assert_eq!(
        (state.claims_primary(0), state.claims_primary(2), state.position(0, 2_000)),
        (true, true, 1_999)
    );
    assert_eq!(state.row(None, 0, 2_000, "k").map(|row| row.value), Some("04".into()));
    assert_eq!(state.commit(0, 2_000, "w5", row("k", "05")), None);
    // When it is notified, then it does so no longer
    state.notify_deposed(0);
    assert!(!state.claims_primary(0));
}

#[test]
fn a_member_restored_from_an_old_copy_catches_up() {
    // Given a group after a failover, of which the old primary has been notified
    let mut state = group_with_unreplicated_commits();
    state.fail_over(2, 1_060, false);
    state.notify_deposed(0);
    // When the other replica restarts from a copy that is two seconds old
    state.restart(1, 3_000, 2_000);
    // Then it is behind, and catches up
    assert!(state.position(1, 3_000) < 1_000, "from an old copy");
    assert!(state.position(1, 3_600) >= 3_549, "it has caught up");
}
