//! The background tasks that copy the rows of hot keys. A row is read twice on one connection to a replica of its
//! group, and then written to the groups of the databases that hold its copies.

use super::BackgroundWork;
use super::task::{BackgroundTask, STATEMENT_TIMEOUT_MS, TaskTarget};
use crate::background_query::{BackgroundQueryResult, BackgroundStatementId};
use crate::hot::HotKeyObserver;
use crate::metrics::CopyOutcome;
use crate::pg::copies;
use birchreach::{AttemptOutcome, GroupId, Micros, Role, ServerId};
use birchreach_background_tasks::{Task, TaskKind};
use birchreach_hot_keys::copy::{Copy, copy_from_reads};
use birchreach_hot_keys::{DueRefresh, Key};
use tracing::info;

/// How long a row that cannot be copied is not read again for copying.
const UNCOPYABLE_ROW_PAUSE_MICROS: Micros = 60_000_000;

/// One step of copying a row.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CopyTask {
    /// Reads the row whose copies are due for a refresh.
    Read(DueRefresh),
    /// Writes the copy of the row to one holder.
    Write(CopyWrite),
}

/// The write of a copy to one holder.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CopyWrite {
    key: Key,
    key_bytes: Vec<u8>,
    /// The database that holds the copy.
    holder: ServerId,
    /// The group of the holder. The primary of this group executes the write.
    holder_group: GroupId,
    copy: Copy<Vec<u8>>,
}

impl CopyTask {
    /// Returns the group of the row for a read, or the group of the holder for a write.
    pub(super) fn target(&self) -> TaskTarget {
        match self {
            CopyTask::Read(due) => TaskTarget { group: GroupId(due.key.group), writes: false },
            CopyTask::Write(write) => TaskTarget { group: write.holder_group, writes: true },
        }
    }

    /// Returns the statements of the task in the order of their execution. `id` identifies the statements that read.
    /// Statements that write have no id.
    pub(super) fn statements(&self, id: BackgroundStatementId) -> Vec<Vec<u8>> {
        match self {
            // The row is read twice because the position of the copy must be known before the read that gives its value
            // is sent. The first reply has this position.
            CopyTask::Read(due) => {
                let group = GroupId(due.key.group);
                vec![copies::read_row(&due.key_bytes, group, id, STATEMENT_TIMEOUT_MS); 2]
            }
            CopyTask::Write(CopyWrite { key, key_bytes, copy, .. }) => {
                vec![copies::write_copy(GroupId(key.group), key_bytes, copy.position, &copy.value)]
            }
        }
    }
}

/// Returns the copy that results from the two reads of a row, or the reason why there is none.
fn copy_from_result(result: &BackgroundQueryResult) -> Result<Copy<Vec<u8>>, CopyOutcome> {
    if result.replies.iter().any(|reply| reply.outcome == AttemptOutcome::Error) {
        return Err(CopyOutcome::ReadFailed);
    }
    // Only positions of replicas count, because a replica reports the position that it has applied. A primary that has
    // been replaced without knowing it would still report the present as its position.
    let position = |index: usize| {
        let status = result.replies.get(index)?.status.filter(|status| status.role == Role::Replica)?;
        status.position
    };
    let value = result.replies.get(1).and_then(|reply| reply.value.as_ref()).filter(|_| result.complete);
    match value.and_then(|value| copy_from_reads(position(0), value.bytes.clone(), position(1))) {
        Some(copy) if copy.value.len() > copies::MAX_COPY_BYTES => Err(CopyOutcome::TooLong),
        Some(copy) => Ok(copy),
        None => Err(CopyOutcome::ReadIncomplete),
    }
}

impl BackgroundWork {
    /// Submits the writes after the reads of a row, or records the outcome of a write.
    pub(super) fn finish_copy_task(&mut self, now: Micros, task: CopyTask, result: &BackgroundQueryResult) {
        let Some(observer) = self.hot_keys.clone() else { return };
        match task {
            CopyTask::Read(due) => self.finish_read(now, &mut observer.borrow_mut(), &due, result),
            CopyTask::Write(write) => self.finish_write(now, &mut observer.borrow_mut(), &write, result),
        }
    }

    /// Submits the writes of the copy that results from the reads. A row that is too long or cannot be read is not read
    /// again for [`UNCOPYABLE_ROW_PAUSE_MICROS`].
    fn finish_read(
        &mut self,
        now: Micros,
        observer: &mut HotKeyObserver,
        due: &DueRefresh,
        result: &BackgroundQueryResult,
    ) {
        match copy_from_result(result) {
            Ok(copy) => {
                let expires_at = now + observer.tracker.settings().refresh_interval();
                self.submit_writes(due, &copy, expires_at);
            }
            Err(outcome) => {
                if matches!(outcome, CopyOutcome::TooLong | CopyOutcome::ReadFailed) {
                    observer.tracker.mark_uncopyable(due.key, now + UNCOPYABLE_ROW_PAUSE_MICROS);
                }
                self.metrics.count_copy(outcome);
            }
        }
    }

    /// Counts the outcome of a write, and records a successful write in the tracker.
    fn finish_write(
        &self,
        now: Micros,
        observer: &mut HotKeyObserver,
        write: &CopyWrite,
        result: &BackgroundQueryResult,
    ) {
        if result.complete {
            self.metrics.count_copy(CopyOutcome::Written);
            observer.tracker.record_copy_written(now, write.key, write.holder.0);
        } else {
            self.metrics.count_copy(CopyOutcome::WriteFailed);
        }
    }

    /// Submits one write for each holder of the copy.
    fn submit_writes(&mut self, due: &DueRefresh, copy: &Copy<Vec<u8>>, expires_at: Micros) {
        for holder in &due.holders {
            let write = CopyWrite {
                key: due.key,
                key_bytes: due.key_bytes.clone(),
                holder: ServerId(holder.server),
                holder_group: GroupId(holder.group),
                copy: copy.clone(),
            };
            let payload = BackgroundTask::Copy(CopyTask::Write(write));
            self.scheduler.submit(Task { kind: TaskKind::CopyWrite, expires_at, payload });
        }
    }

    /// Updates the set of hot keys, and submits the reads of rows whose copies are due for a refresh.
    pub(super) fn run_hot_keys(&mut self, now: Micros, member_count: usize, report_interval: Micros) {
        let Some(observer) = self.hot_keys.clone() else { return };
        let mut observer = observer.borrow_mut();
        observer.apply_list_changes();
        observer.tracker.set_fleet(member_count, report_interval);
        update_hot_keys(now, &mut observer);
        self.submit_reads(now, &mut observer);
    }

    /// Submits the reads of rows whose copies are due for a refresh.
    fn submit_reads(&mut self, now: Micros, observer: &mut HotKeyObserver) {
        let expires_at = now + observer.tracker.settings().refresh_interval();
        for due in observer.tracker.due_refreshes(now) {
            let payload = BackgroundTask::Copy(CopyTask::Read(due));
            self.scheduler.submit(Task { kind: TaskKind::RowRead, expires_at, payload });
        }
    }
}

/// Updates the set of hot keys, and logs the changes.
fn update_hot_keys(now: Micros, observer: &mut HotKeyObserver) {
    let previously_hot: Vec<Key> = observer.tracker.hot_keys().map(|hot_key| hot_key.key).collect();
    if observer.tracker.update(now) {
        log_changes(observer, &previously_hot);
    }
}

/// Logs the keys that became hot and the keys that are no longer hot.
fn log_changes(observer: &HotKeyObserver, previously_hot: &[Key]) {
    let tracker = &observer.tracker;
    for hot_key in tracker.hot_keys().filter(|hot_key| !previously_hot.contains(&hot_key.key)) {
        let key = hot_key.key;
        let (hash, rate) = (format!("{:016x}", key.hash), format!("{:.1}", hot_key.reads_per_s));
        info!(event = "hot-key", group = key.group, hash, rate, guests = hot_key.copy_holders.len());
    }
    for key in previously_hot.iter().filter(|key| tracker.hot_keys().all(|hot_key| hot_key.key != **key)) {
        info!(event = "hot-key-over", group = key.group, hash = format!("{:016x}", key.hash));
    }
}
