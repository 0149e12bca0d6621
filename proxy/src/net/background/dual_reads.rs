//! The background tasks that compare reads while a group is split. A task sends a query of the verifier to a replica of
//! a child group or of the parent group, and returns the result to the verifier.

use super::BackgroundWork;
use super::task::{BackgroundTask, STATEMENT_TIMEOUT_MS, TaskTarget};
use crate::background_query::{BackgroundQueryResult, BackgroundStatementId};
use crate::observe::Shared;
use crate::pg::{commit_time_query, copies};
use crate::split::SplitObserver;
use birchreach::{GroupId, Micros};
use birchreach_background_tasks::{Task, TaskKind};
use birchreach_shard_split::{
    ComparisonQuery, ConfirmedDifference, DueQuery, QueryResult, SplitDefinition, VerificationStatus,
};
use tracing::{info, warn};

/// The maximum number of queries that are submitted in one run.
const MAX_QUERIES_PER_RUN: usize = 8;
/// A query that is not started within this time is postponed.
const MAX_QUEUED_MICROS: Micros = 1_000_000;

/// The serial number of a comparison that this process has started. It is never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SplitGeneration(u64);

impl SplitGeneration {
    /// Returns the serial number of the next comparison.
    pub(super) fn next(self) -> SplitGeneration {
        SplitGeneration(self.0 + 1)
    }
}

/// A query of the verifier, as a background task.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DualRead {
    /// The comparison that the query belongs to.
    split_generation: SplitGeneration,
    due: DueQuery,
}

impl DualRead {
    /// Returns the group that the query reads from.
    pub(super) fn target(&self) -> TaskTarget {
        TaskTarget { group: GroupId(self.due.group), writes: false }
    }

    /// Returns the statements of the query in the order of their execution. Each of them has the given id.
    pub(super) fn statements(&self, id: BackgroundStatementId) -> Vec<Vec<u8>> {
        let DueQuery { query, ref key_bytes, .. } = self.due;
        let group = GroupId(self.due.group);
        let read = copies::read_row(key_bytes, group, id, STATEMENT_TIMEOUT_MS);
        match query {
            ComparisonQuery::SingleRead(_) => vec![read],
            // Each reply has a position. The verifier needs one from before the read that it compares, and one from
            // that read.
            ComparisonQuery::Sample(_) => vec![read; 2],
            ComparisonQuery::SampleParent => {
                let with_commit_time =
                    commit_time_query::read_row_with_commit_time(key_bytes, group, id, STATEMENT_TIMEOUT_MS);
                vec![read, with_commit_time]
            }
        }
    }
}

impl BackgroundWork {
    /// Logs the verification status if it has changed, and submits the queries that are due.
    pub(super) fn run_split(&mut self, now: Micros, member_count: usize, report_interval: Micros) {
        self.postpone_expired_reads(now);
        let Some(observer) = self.split.clone() else { return };
        let due_queries = {
            let mut observer = observer.borrow_mut();
            observer.verifier.set_report_interval(report_interval);
            log_status(observer.status_to_log(member_count));
            observer.verifier.due_queries(now, MAX_QUERIES_PER_RUN)
        };
        for due in due_queries {
            self.submit_dual_read(now, due);
        }
    }

    /// Postpones the queries that have been queued for too long.
    fn postpone_expired_reads(&mut self, now: Micros) {
        for task in self.scheduler.take_expired() {
            if let BackgroundTask::DualRead(read) = task {
                self.postpone(now, &read);
            }
        }
    }

    /// Submits a query, or postpones it if the queue is full.
    fn submit_dual_read(&mut self, now: Micros, due: DueQuery) {
        let read = DualRead { split_generation: self.split_generation, due };
        let payload = BackgroundTask::DualRead(read.clone());
        let expires_at = now + MAX_QUEUED_MICROS;
        if !self.scheduler.submit(Task { kind: TaskKind::DualRead, expires_at, payload }) {
            self.postpone(now, &read);
        }
    }

    /// Returns a query that was not started to its verifier, which makes it due again later.
    fn postpone(&self, now: Micros, read: &DualRead) {
        if let Some(observer) = self.active_observer(read) {
            observer.borrow_mut().verifier.postpone(now, read.due.comparison);
        }
    }

    /// Returns the observer of the comparison that a query belongs to, or `None` if this comparison has ended.
    fn active_observer(&self, read: &DualRead) -> Option<&Shared<SplitObserver>> {
        self.split.as_ref().filter(|_| read.split_generation == self.split_generation)
    }

    /// Passes the result of a query to its verifier. `result` is `None` if the pool did not report the end of the query
    /// in time.
    pub(super) fn finish_dual_read(
        &self,
        now: Micros,
        read: &DualRead,
        result: Option<&BackgroundQueryResult>,
    ) {
        let Some(observer) = self.active_observer(read) else { return };
        let mut observer = observer.borrow_mut();
        let result =
            result.map_or(QueryResult::NoAnswer, |result| observer.query_result(read.due.query, result));
        if let Some(difference) = observer.verifier.record_result(now, read.due.comparison, result) {
            log_difference(&observer, &difference);
        }
    }
}

/// Logs a confirmed difference.
fn log_difference(observer: &SplitObserver, difference: &ConfirmedDifference) {
    let range = SplitDefinition::range(difference.key_hash);
    let fields = observer.difference_fields(range, difference);
    warn!(event = "split-flag", flag = %crate::log::Quoted(fields));
}

/// Logs the status of the verification. `changed` is `None` if the last status that was logged is of the same kind.
fn log_status(changed: Option<VerificationStatus>) {
    match changed {
        Some(status @ VerificationStatus::DifferencesConfirmed(counts)) => {
            let (missing, extra, differs) = (counts.missing, counts.extra, counts.differs);
            warn!(event = "split", verdict = status.as_str(), missing, extra, differs);
        }
        Some(status) => info!(event = "split", verdict = status.as_str()),
        None => {}
    }
}
