//! A read that is compared, on its way: what the crate wants to know is asked of a replica of a child or of the parent, and told it.

use super::{Background, What};
use crate::background_query::BackgroundQueryResult;
use crate::pg::{commit_time_query, copies};
use birchreach::Micros;
use birchreach_background_tasks::{Task, TaskKind};
use birchreach_shard_split::{ComparisonQuery, QueryResult, Verdict};
use tracing::{info, warn};

/// Questions that are handed to the scheduler at once.
const AT_ONCE: usize = 8;
/// One that did not start by then is asked again later.
const PATIENCE: Micros = 1_000_000;

#[derive(Clone, Debug, PartialEq)]
pub(super) struct Shadow {
    /// Which comparison, of which start of this subsystem: another definition has other ones.
    number: u64,
    start: u64,
    ask: ComparisonQuery,
    text: Vec<u8>,
    group: u32,
}

impl Shadow {
    pub fn place(&self) -> (u32, bool) {
        (self.group, false)
    }

    pub fn texts(&self, id: u64) -> Vec<Vec<u8>> {
        let row = || copies::read_row(&self.text, self.group, id, 1_000);
        match self.ask {
            ComparisonQuery::SingleRead(_) => vec![row()],
            // Positions are told with answers: one before the read that counts, one with it.
            ComparisonQuery::Sample(_) => vec![row(); 2],
            ComparisonQuery::SampleParent => {
                vec![row(), commit_time_query::read_row_with_commit_time(&self.text, self.group, id, 1_000)]
            }
        }
    }
}

impl Background {
    /// What is to be compared, as tasks.
    pub(super) fn compare(&mut self, now: Micros, heard: usize, interval: Micros) {
        for what in self.scheduler.take_expired() {
            if let What::Shadow(shadow) = what {
                self.unasked(now, &shadow);
            }
        }
        let Some(shared) = self.split.clone() else { return };
        let start = self.started;
        let asks = {
            let mut watch = shared.borrow_mut();
            watch.split.set_report_interval(interval);
            match watch.turned(heard) {
                Some(verdict @ Verdict::Dirty([missing, extra, differs])) => {
                    warn!(event = "split", verdict = verdict.as_str(), missing, extra, differs);
                }
                Some(verdict) => info!(event = "split", verdict = verdict.as_str()),
                None => {}
            }
            watch.split.due_queries(now, AT_ONCE)
        };
        for (number, ask, text, group) in asks {
            let shadow = Shadow { number, start, ask, text, group };
            let what = What::Shadow(shadow.clone());
            if !self.scheduler.submit(Task {
                kind: TaskKind::DualRead,
                expires_at: now + PATIENCE,
                payload: what,
            }) {
                self.unasked(now, &shadow);
            }
        }
    }

    fn unasked(&self, now: Micros, shadow: &Shadow) {
        if let Some(watch) = self.split.as_ref().filter(|_| shadow.start == self.started) {
            watch.borrow_mut().split.postpone(now, shadow.number);
        }
    }

    /// None: it was lost.
    pub(super) fn compared(&self, now: Micros, shadow: &Shadow, done: Option<&BackgroundQueryResult>) {
        let Some(watch) = self.split.as_ref().filter(|_| shadow.start == self.started) else { return };
        let mut watch = watch.borrow_mut();
        let told = done.map_or(QueryResult::NoAnswer, |done| watch.answer(shadow.ask, done));
        if let Some(flag) = watch.split.record_result(now, shadow.number, told) {
            let range = birchreach_shard_split::Definition::range(flag.key_hash);
            warn!(event = "split-flag", flag = %crate::log::Quoted(watch.flag(range, &flag)));
        }
    }
}
