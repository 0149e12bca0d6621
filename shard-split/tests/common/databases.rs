//! The simulated databases of a split: a parent that receives writes, and two children that replicate from it.

use super::{ChildFault, Disturbances, MILLI, SECOND, definition, key};
use birchreach_shard_split::sample_comparison::ParentSample;
use birchreach_shard_split::{
    Child, Children, ComparisonQuery, Micros, PositionSample, QueryResult, SplitDefinition,
};
use std::collections::BTreeMap;

/// How long a child keeps commits that the parent lost in a failover.
const CHILD_REPAIR_MICROS: Micros = SECOND;

/// A value of a row with its commit time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Commit {
    committed_at: Micros,
    pub value: u64,
}

/// A commit that the parent lost in a failover.
struct LostCommit {
    key: usize,
    commit: Commit,
    lost_at: Micros,
}

struct ChildDatabase {
    position: Micros,
    lag: Micros,
    /// Changes with each restart.
    process: u64,
}

/// The databases of a parent and its two children.
pub(crate) struct Databases {
    /// The number of keys, each of which has a row.
    pub keys: usize,
    disturbances: Disturbances,
    /// The commits of each key, from oldest to newest.
    log: BTreeMap<usize, Vec<Commit>>,
    lost_commits: Vec<LostCommit>,
    /// Changes with each failover.
    parent_process: u64,
    children: [ChildDatabase; 2],
    /// Faults of children, by key.
    pub faults: BTreeMap<usize, ChildFault>,
}

/// Draws whether an event with this mean rate occurs within a span.
pub(super) fn event_occurs(rng: &mut fastrand::Rng, per_s: f64, span: Micros) -> bool {
    rng.f64() < per_s * span as f64 / 1e6
}

impl Databases {
    /// Creates databases with one value of each key.
    pub(crate) fn new(keys: usize, disturbances: Disturbances) -> Databases {
        let first_commit = |number: usize| vec![Commit { committed_at: 0, value: number as u64 }];
        let child = |process| ChildDatabase { position: 0, lag: 20 * MILLI, process };
        Databases {
            keys,
            disturbances,
            log: (0..keys).map(|number| (number, first_commit(number))).collect(),
            lost_commits: Vec::new(),
            parent_process: 1,
            children: [child(10), child(20)],
            faults: BTreeMap::new(),
        }
    }

    /// Applies the writes, changes of lag, failovers and restarts that occur within a step.
    pub(crate) fn apply_disturbances(&mut self, rng: &mut fastrand::Rng, now: Micros, step: Micros) {
        let Disturbances { writes, lag, failovers, restarts, .. } = self.disturbances;
        if event_occurs(rng, writes, step) {
            let number = rng.usize(..self.keys.min(20));
            // A key has only three values, so that each value recurs after other ones.
            let value = rng.u64(..3) * 1_000 + number as u64;
            self.log.entry(number).or_default().push(Commit { committed_at: now, value });
        }
        if lag > 0 && event_occurs(rng, 0.5, step) {
            let child = rng.usize(..2);
            self.children[child].lag = rng.i64(1..=lag);
        }
        if event_occurs(rng, failovers, step) {
            self.fail_over(now);
        }
        if event_occurs(rng, restarts, step) {
            let child = &mut self.children[rng.usize(..2)];
            child.position -= 5 * SECOND;
            child.lag = 4 * SECOND;
            child.process += 1;
        }
    }

    /// Makes another database the parent's primary, without the commits of the last 300 ms.
    fn fail_over(&mut self, now: Micros) {
        self.parent_process += 1;
        let replicated_until = now - 300 * MILLI;
        for (key, commits) in &mut self.log {
            let is_lost = |commit: &mut Commit| commit.committed_at > replicated_until;
            let lost = commits.extract_if(.., is_lost);
            self.lost_commits.extend(lost.map(|commit| LostCommit { key: *key, commit, lost_at: now }));
        }
    }

    /// Returns the parent's newest commit of a key up to a position.
    pub(crate) fn parent_commit(&self, number: usize, position: Micros) -> Commit {
        let commits = self.log[&number].iter().filter(|commit| commit.committed_at <= position);
        commits.copied().max().unwrap_or_default()
    }

    /// Returns a child's newest commit of a key up to a position. The child keeps commits that the parent lost until it
    /// is repaired.
    fn child_commit(&self, now: Micros, number: usize, position: Micros) -> Commit {
        let is_visible = |lost: &&LostCommit| {
            lost.key == number
                && lost.commit.committed_at <= position
                && now - lost.lost_at < CHILD_REPAIR_MICROS
        };
        let newest_lost = self.lost_commits.iter().filter(is_visible).map(|lost| lost.commit).max();
        newest_lost.into_iter().chain([self.parent_commit(number, position)]).max().unwrap_or_default()
    }

    fn child_position(&mut self, child: usize, at: Micros) -> Micros {
        let child = &mut self.children[child];
        child.position = child.position.max(at - 1 - child.lag);
        child.position
    }

    fn child_row(&mut self, now: Micros, number: usize, child: usize, at: Micros) -> Option<u64> {
        let Children { owner, .. } = definition().children(SplitDefinition::hash(&key(number)));
        let is_owner = owner as usize == child + 1;
        let position = self.child_position(child, at);
        let value = self.child_commit(now, number, position).value;
        match self.faults.get(&number) {
            Some(ChildFault::Missing) if is_owner => None,
            Some(ChildFault::Differs) if is_owner => Some(value ^ 1 << 40),
            Some(ChildFault::Extra) => Some(value),
            _ => is_owner.then_some(value),
        }
    }

    /// Returns the answer of a database. Positions and rows in the answer are taken at different instants.
    pub(crate) fn answer(
        &mut self,
        rng: &mut fastrand::Rng,
        now: Micros,
        query: ComparisonQuery,
        key_bytes: &[u8],
    ) -> QueryResult {
        let number = (0..self.keys).find(|number| key(*number) == key_bytes).unwrap_or(0);
        if rng.f64() < self.disturbances.lost_answers {
            return QueryResult::NoAnswer;
        }
        let Children { owner, non_owner } = definition().children(SplitDefinition::hash(key_bytes));
        let index = |child| if child == Child::Owner { owner as usize - 1 } else { non_owner as usize - 1 };
        let (delay, further_delay) = (rng.i64(0..40 * MILLI), rng.i64(0..40 * MILLI));
        match query {
            ComparisonQuery::SingleRead(child) => {
                let row = self.child_row(now, number, index(child), now);
                let position = Some(self.child_position(index(child), now + delay));
                QueryResult::SingleRead { row, position }
            }
            ComparisonQuery::Sample(child) => {
                let position_before = self.child_position(index(child), now);
                let row = self.child_row(now, number, index(child), now + delay);
                let position_after = self.child_position(index(child), now + delay + further_delay);
                QueryResult::Sample {
                    sample: PositionSample { row, position_before, position_after },
                    process: self.children[index(child)].process,
                }
            }
            ComparisonQuery::SampleParent => {
                let Commit { committed_at, value } = self.parent_commit(number, now);
                let sample = ParentSample { row: Some(value), committed_at, position: now - 1 - delay };
                QueryResult::ParentSample { sample, process: self.parent_process }
            }
        }
    }
}
