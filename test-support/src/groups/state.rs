//! The state of a group: its log, the position that each member has applied, and the rows that each member sees. This
//! module uses neither sockets nor a clock; callers pass the time.

use super::history::{Change, InjectedDifference, LogEntry, StatementRecord};
use std::collections::HashMap;

/// The data that determines what a member answers. Tests set `running`, `hung` and `lag_ms` to inject faults.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Whether its process runs.
    pub running: bool,
    /// Whether it leaves all statements unanswered.
    pub hung: bool,
    /// Replication lag: the time until the member has applied a commit.
    pub lag_ms: i64,
    /// The highest position that it has reported since the last failover or restart. In between, reported positions do
    /// not decrease.
    position_ms: i64,
    /// When its process started, in milliseconds of Unix time; 0 if it started before the test.
    pub started_at_ms: i64,
    /// Age of the backup that it was restored from, at the time of the restore.
    backup_age_ms: i64,
    /// Number of times that it was restored from a backup.
    pub restore_count: u32,
    /// Set for a former primary that was not notified of the failover. It answers from its state up to this position,
    /// but reports the current position.
    frozen_position_ms: Option<i64>,
    /// The member has lost the copies that were committed before this time.
    copies_lost_before_ms: i64,
}

/// A row as a member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VisibleRow {
    /// The row's value, in hexadecimal digits.
    pub value: String,
    /// When the value was committed; 0 for an injected value, which no commit wrote.
    pub committed_at_ms: i64,
}

/// A copy of another group's row, as a member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VisibleCopy {
    /// The log position of the other group up to which the copy is complete.
    pub position_ms: i64,
    /// The row's value in the other group, in hexadecimal digits.
    pub value: String,
}

/// How long after a failover the groups that replicate a log still see the commits that the failover lost.
const LOST_COMMITS_VISIBLE_MS: i64 = 1_000;

/// Milliseconds by which a restored member reduces its lag per millisecond, in addition to applying new commits.
const CATCH_UP_FACTOR: i64 = 4;

/// The data from which all members of a group answer, and the record of the statements that they received. All times
/// are in milliseconds of the clock from which callers take `now`.
#[derive(Clone, Debug)]
pub struct GroupState {
    /// The commits, ordered by commit time.
    pub log: Vec<LogEntry>,
    /// The commits that failovers lost.
    pub lost_commits: Vec<LogEntry>,
    /// The time of the last failover; far in the past if there was none.
    last_failover_ms: i64,
    /// The members, in the order of their indices.
    pub members: Vec<MemberState>,
    /// The index of the primary in `members`. A former primary that was not notified of the failover reports itself as
    /// the primary too.
    pub primary: usize,
    /// Injected differences from the parent group, by key.
    pub injected_differences: HashMap<String, InjectedDifference>,
    /// All statements that members received.
    pub records: Vec<StatementRecord>,
}

impl GroupState {
    /// Creates a group without commits, whose first member is the primary.
    pub fn new(member_count: usize, lag_ms: i64) -> GroupState {
        let member = MemberState {
            running: true,
            hung: false,
            lag_ms,
            position_ms: 0,
            started_at_ms: 0,
            backup_age_ms: 0,
            restore_count: 0,
            frozen_position_ms: None,
            copies_lost_before_ms: i64::MIN,
        };
        GroupState {
            log: Vec::new(),
            lost_commits: Vec::new(),
            last_failover_ms: i64::MIN / 2,
            members: vec![member; member_count],
            primary: 0,
            injected_differences: HashMap::new(),
            records: Vec::new(),
        }
    }

    /// Whether a member reports itself as the primary.
    pub fn claims_primary(&self, member: usize) -> bool {
        self.primary == member || self.members[member].frozen_position_ms.is_some()
    }

    /// The log position that a member reports. Later commits have a higher position.
    pub fn position(&mut self, member: usize, now: i64) -> i64 {
        let last_commit_ms = self.log.last().map_or(0, |entry| entry.committed_at_ms);
        let is_primary = self.primary == member;
        let member = &mut self.members[member];
        let caught_up_ms = CATCH_UP_FACTOR * (now - member.started_at_ms);
        let behind_ms = (member.backup_age_ms - caught_up_ms).max(0);
        let applied_ms =
            if is_primary { last_commit_ms.max(now - 1) } else { now - 1 - member.lag_ms - behind_ms };
        if member.frozen_position_ms.is_some() {
            return now - 1;
        }
        member.position_ms = member.position_ms.max(applied_ms);
        member.position_ms
    }

    /// The log position up to which a member sees commits.
    fn visible_position(&mut self, member: usize, now: i64) -> i64 {
        self.members[member].frozen_position_ms.unwrap_or_else(|| self.position(member, now))
    }

    /// A row as a member sees it. `log` is the parent group's log; `None` uses the group's own log.
    pub fn row(
        &mut self,
        log: Option<&[LogEntry]>,
        member: usize,
        now: i64,
        key: &str,
    ) -> Option<VisibleRow> {
        let visible_ms = self.visible_position(member, now);
        let is_stale_primary = self.members[member].frozen_position_ms.is_some();
        let is_visible = |entry: &&LogEntry| {
            entry.committed_at_ms <= visible_ms
                && matches!(&entry.change, Change::Row { key: other, .. } if other == key)
        };
        let lost_commits = self.lost_commits.iter().filter(|_| is_stale_primary);
        let entries = log.unwrap_or(&self.log).iter().chain(lost_commits);
        let newest = entries.filter(is_visible).max_by_key(|entry| entry.committed_at_ms);
        newest.map(|entry| match &entry.change {
            Change::Row { value, .. } | Change::Copy { value, .. } => {
                VisibleRow { value: value.clone(), committed_at_ms: entry.committed_at_ms }
            }
        })
    }

    /// The log as the groups that replicate it have received it. Shortly after a failover, it still contains the
    /// commits that the failover lost.
    pub fn replicated_log(&self, now: i64) -> Vec<LogEntry> {
        let lost_commits =
            self.lost_commits.iter().filter(|_| now - self.last_failover_ms < LOST_COMMITS_VISIBLE_MS);
        let mut entries: Vec<LogEntry> = self.log.iter().chain(lost_commits).cloned().collect();
        entries.sort_by_key(|entry| entry.committed_at_ms);
        entries
    }

    /// The copy of another group's row with the highest position that a member sees.
    pub fn copy(&mut self, member: usize, now: i64, home: u32, key: &str) -> Option<VisibleCopy> {
        let visible_ms = self.visible_position(member, now);
        let visible = self.members[member].copies_lost_before_ms..=visible_ms;
        let mut newest: Option<VisibleCopy> = None;
        for entry in self.log.iter().filter(|entry| visible.contains(&entry.committed_at_ms)) {
            if let Change::Copy { home: entry_home, key: entry_key, position_ms, value } = &entry.change
                && *entry_home == home
                && entry_key == key
                && newest.as_ref().is_none_or(|newest| newest.position_ms < *position_ms)
            {
                newest = Some(VisibleCopy { position_ms: *position_ms, value: value.clone() });
            }
        }
        newest
    }

    /// Commits a change at the primary and returns the commit time. Returns `None` without a commit if the member is
    /// not the primary.
    pub fn commit(&mut self, member: usize, now: i64, id: &str, change: Change) -> Option<i64> {
        if self.primary != member || self.members[member].frozen_position_ms.is_some() {
            return None;
        }
        let committed_at_ms = self.log.last().map_or(now, |entry| now.max(entry.committed_at_ms + 1));
        self.log.push(LogEntry { committed_at_ms, id: id.into(), change });
        Some(committed_at_ms)
    }

    /// Makes another member the primary. It keeps the commits that it has applied; all later commits are lost. Unless
    /// the old primary is notified, it continues to report itself as the primary.
    pub fn fail_over(&mut self, new_primary: usize, now: i64, old_primary_notified: bool) {
        let old_primary = self.primary;
        if new_primary == old_primary {
            return;
        }
        let applied_ms = self.position(new_primary, now);
        let old_position_ms = self.position(old_primary, now);
        let (kept, lost): (Vec<LogEntry>, Vec<LogEntry>) =
            self.log.drain(..).partition(|entry| entry.committed_at_ms <= applied_ms);
        self.log = kept;
        self.lost_commits.extend(lost);
        self.last_failover_ms = now;
        self.primary = new_primary;
        self.members[new_primary].frozen_position_ms = None;
        self.members[old_primary].frozen_position_ms = (!old_primary_notified).then_some(old_position_ms);
        let old_member = &mut self.members[old_primary];
        old_member.position_ms = old_member.position_ms.min(applied_ms);
    }

    /// Notifies a former primary of the failover.
    pub fn notify_former_primary(&mut self, member: usize) {
        self.members[member].frozen_position_ms = None;
    }

    /// Restarts a member's process, without its copies of other groups' rows. If `behind_ms` is above 0, the member is
    /// restored from a backup of that age and then catches up.
    pub fn restart(&mut self, member: usize, now: i64, behind_ms: i64) {
        let position_ms = self.position(member, now) - behind_ms;
        let member = &mut self.members[member];
        member.started_at_ms = now;
        member.backup_age_ms = behind_ms;
        member.position_ms = position_ms;
        member.copies_lost_before_ms = now;
        member.running = true;
        member.hung = false;
        member.restore_count += u32::from(behind_ms > 0);
    }
}
