//! A group's data as values: what is committed when, how far each member is, and what it answers from that. No socket, no clock.

use std::collections::HashMap;

/// What a commit changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Row {
        key: String,
        value: String,
    },
    /// A copy of another group's row, with its position there.
    Copy {
        home: u32,
        key: String,
        position_ms: i64,
        value: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub committed_at_ms: i64,
    pub id: String,
    pub change: Change,
}

/// A fault that a child of a split has from its making.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlantedDifference {
    Missing,
    /// It has the row although it is the other's.
    Extra,
    OtherValue(String),
}

/// What a member was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    Write { id: String },
    Read { background: bool },
    CopyRead { served: bool },
    CopyWrite,
    PositionRead,
    HealthCheck,
}

/// When, whom, and what; `cold`: the member had just started.
#[derive(Clone, Debug)]
pub struct Record {
    pub received_at_ms: i64,
    pub member: usize,
    pub statement: StatementKind,
    pub warming_up: bool,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub running: bool,
    pub hung: bool,
    /// How long it takes until the log is applied here, and how far it has come at least.
    pub lag_ms: i64,
    position_ms: i64,
    /// When its process started, if that was lately, and how far behind it began.
    pub started_at_ms: i64,
    restored_behind_ms: i64,
    /// How often it was made anew from a copy.
    pub restore_count: u32,
    /// It was deposed and does not know it: it answers from up to here, and claims the present.
    deposed_at_ms: Option<i64>,
    /// Copies that came before are lost.
    copies_since_ms: i64,
}

#[derive(Clone, Debug)]
pub struct State {
    pub log: Vec<Entry>,
    /// Commits that a failover has lost.
    pub lost_commits: Vec<Entry>,
    lost_at_ms: i64,
    pub members: Vec<Member>,
    pub primary: usize,
    pub planted_differences: HashMap<String, PlantedDifference>,
    pub records: Vec<Record>,
}

impl State {
    pub fn new(members: usize, lag: i64) -> State {
        let member = Member {
            running: true,
            hung: false,
            lag_ms: lag,
            position_ms: 0,
            started_at_ms: 0,
            restored_behind_ms: 0,
            restore_count: 0,
            deposed_at_ms: None,
            copies_since_ms: i64::MIN,
        };
        State {
            log: Vec::new(),
            lost_commits: Vec::new(),
            lost_at_ms: i64::MIN / 2,
            members: vec![member; members],
            primary: 0,
            planted_differences: HashMap::new(),
            records: Vec::new(),
        }
    }

    /// It says that it takes writes.
    pub fn claims_primary(&self, member: usize) -> bool {
        self.primary == member || self.members[member].deposed_at_ms.is_some()
    }

    /// What a member says of how far it is. Whatever commits later has a later time.
    pub fn position(&mut self, member: usize, now: i64) -> i64 {
        let last = self.log.last().map_or(0, |e| e.committed_at_ms);
        let m = &mut self.members[member];
        // One that began behind catches up at five times the pace of time.
        let behind = (m.restored_behind_ms - 4 * (now - m.started_at_ms)).max(0);
        let there = if self.primary == member { last.max(now - 1) } else { now - 1 - m.lag_ms - behind };
        if m.deposed_at_ms.is_some() {
            return now - 1;
        }
        m.position_ms = m.position_ms.max(there);
        m.position_ms
    }

    /// What it answers from: a deposed one from what it had.
    fn visible_position(&mut self, member: usize, now: i64) -> i64 {
        self.members[member].deposed_at_ms.unwrap_or_else(|| self.position(member, now))
    }

    /// A row as a member has it, and when it was committed. `log`: of whom it takes its rows, if of another group.
    pub fn row(
        &mut self,
        log: Option<&[Entry]>,
        member: usize,
        now: i64,
        key: &str,
    ) -> Option<(String, i64)> {
        let seen = self.visible_position(member, now);
        let deposed = self.members[member].deposed_at_ms.is_some();
        let of = |e: &&Entry| {
            matches!(&e.change, Change::Row { key: other, .. } if other == key) && e.committed_at_ms <= seen
        };
        let entries = log.unwrap_or(&self.log).iter().chain(self.lost_commits.iter().filter(|_| deposed));
        let newest = entries.filter(of).max_by_key(|e| e.committed_at_ms);
        newest.map(|e| match &e.change {
            Change::Row { value, .. } | Change::Copy { value, .. } => (value.clone(), e.committed_at_ms),
        })
    }

    /// What those who follow this group's log have of it: for a second after a failover also what that has lost.
    pub fn replicated_log(&self, now: i64) -> Vec<Entry> {
        let lost = self.lost_commits.iter().filter(|_| now - self.lost_at_ms < 1_000);
        let mut all: Vec<Entry> = self.log.iter().chain(lost).cloned().collect();
        all.sort_by_key(|e| e.committed_at_ms);
        all
    }

    /// A copy as a member has it, with its position at home.
    pub fn copy(&mut self, member: usize, now: i64, home: u32, key: &str) -> Option<(i64, String)> {
        let seen = self.visible_position(member, now);
        let from = self.members[member].copies_since_ms;
        let mut kept: Option<(i64, String)> = None;
        for e in self.log.iter().filter(|e| e.committed_at_ms <= seen && e.committed_at_ms >= from) {
            if let Change::Copy { home: h, key: k, position_ms: at, value } = &e.change
                && (*h, k.as_str()) == (home, key)
                && kept.as_ref().is_none_or(|(old, _)| old < at)
            {
                kept = Some((*at, value.clone()));
            }
        }
        kept
    }

    /// A commit at the primary; none elsewhere.
    pub fn commit(&mut self, member: usize, now: i64, id: &str, change: Change) -> Option<i64> {
        if self.primary != member || self.members[member].deposed_at_ms.is_some() {
            return None;
        }
        let at = self.log.last().map_or(now, |e| now.max(e.committed_at_ms + 1));
        self.log.push(Entry { committed_at_ms: at, id: id.into(), change });
        Some(at)
    }

    /// Another member takes over with what it has; what it has not is lost. `knows`: the old one knows.
    pub fn fail_over(&mut self, to: usize, now: i64, knows: bool) {
        let old = self.primary;
        if to == old {
            return;
        }
        let (has, frozen) = (self.position(to, now), self.position(old, now));
        let (kept, lost) = self.log.drain(..).partition(|e| e.committed_at_ms <= has);
        self.log = kept;
        self.lost_commits.extend::<Vec<Entry>>(lost);
        self.lost_at_ms = now;
        self.primary = to;
        self.members[to].deposed_at_ms = None;
        self.members[old].deposed_at_ms = (!knows).then_some(frozen);
        self.members[old].position_ms = self.members[old].position_ms.min(has);
    }

    /// The deposed one learns it.
    pub fn notify_deposed(&mut self, member: usize) {
        self.members[member].deposed_at_ms = None;
    }

    /// A new process: cold; `back`: from a copy so old, which it makes good at its lag; its copies are gone.
    pub fn restart(&mut self, member: usize, now: i64, back: i64) {
        let position = self.position(member, now) - back;
        let m = &mut self.members[member];
        (m.started_at_ms, m.restored_behind_ms, m.position_ms, m.copies_since_ms) =
            (now, back, position, now);
        (m.running, m.hung) = (true, false);
        m.restore_count += u32::from(back > 0);
    }
}
