//! A copy on its way: the row is read twice at a replica of its home, on one connection, and written to each guest's group.

use super::{Background, What};
use crate::background_query::BackgroundQueryResult;
use crate::hot::HotKeyObserver;
use crate::pg::copies;
use birchreach::{AttemptOutcome, Micros, Role};
use birchreach_background_tasks::{Task, TaskKind};
use birchreach_hot_keys::copy::copy_from_reads;
use birchreach_hot_keys::{DueCopy, Key};
use tracing::info;

/// A row that cannot be copied is not read for copying again for so long.
const SPOILT: Micros = 60_000_000;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Copying {
    Read(DueCopy),
    Write { key: Key, text: Vec<u8>, guest: u32, group: u32, position: Micros, blob: Vec<u8> },
}

impl Copying {
    pub fn place(&self) -> (u32, bool) {
        match self {
            Copying::Read(due) => (due.key.group, false),
            Copying::Write { group, .. } => (*group, true),
        }
    }

    pub fn texts(&self, id: u64) -> Vec<Vec<u8>> {
        match self {
            // The position that comes with the first answer is told before the second read is sent.
            Copying::Read(due) => vec![copies::read_row(&due.key_bytes, due.key.group, id, 1_000); 2],
            Copying::Write { key, text, position, blob, .. } => {
                vec![copies::write_copy(key.group, text, *position, blob)]
            }
        }
    }
}

impl Background {
    pub(super) fn copied(&mut self, now: Micros, copying: Copying, done: &BackgroundQueryResult) {
        let Some(watch) = self.hot.clone() else { return };
        match copying {
            Copying::Read(due) => {
                let refresh = watch.borrow().tracker.settings().refresh_interval();
                // Of a replica: a primary may have been deposed and not know it, and claims the present.
                let note = |n: usize| done.replies.get(n)?.status.filter(|note| note.role == Role::Replica);
                let position = |n: usize| note(n)?.position;
                let value = done.replies.get(1).and_then(|reply| reply.value.as_ref());
                let copy = value
                    .filter(|_| done.complete)
                    .and_then(|v| copy_from_reads(position(0), &v.bytes, position(1)));
                let nonsense = done.replies.iter().any(|reply| reply.outcome == AttemptOutcome::Error);
                let long = copy.as_ref().is_some_and(|copy| copy.value.len() > copies::MAX_COPY_BYTES);
                if nonsense || long {
                    watch.borrow_mut().tracker.mark_uncopyable(due.key, now + SPOILT);
                    return self.metrics.copy(if long { "long" } else { "unreadable" });
                }
                let Some(copy) = copy else { return self.metrics.copy("unread") };
                for holder in due.holders {
                    let (key, text, blob) = (due.key, due.key_bytes.clone(), copy.value.clone());
                    let position = copy.position;
                    let what = What::Copy(Copying::Write {
                        key,
                        text,
                        guest: holder.server,
                        group: holder.group,
                        position,
                        blob,
                    });
                    self.scheduler.submit(Task {
                        kind: TaskKind::CopyWrite,
                        expires_at: now + refresh,
                        payload: what,
                    });
                }
            }
            Copying::Write { key, guest, .. } => {
                self.metrics.copy(if done.complete { "written" } else { "unwritten" });
                if done.complete {
                    watch.borrow_mut().tracker.record_copy_written(now, key, guest);
                }
            }
        }
    }
}

/// Keys that have become hot, and those that are no more.
pub(super) fn tell_changes(watch: &HotKeyObserver, before: &[Key]) {
    for (key, hot) in watch.tracker.hot_keys().filter(|(key, _)| !before.contains(key)) {
        let (hash, rate) = (format!("{:016x}", key.hash), format!("{:.1}", hot.reads_per_s));
        info!(event = "hot-key", group = key.group, hash, rate, guests = hot.copy_holders.len());
    }
    for key in before.iter().filter(|key| watch.tracker.hot_keys().all(|(other, _)| other != **key)) {
        info!(event = "hot-key-over", group = key.group, hash = format!("{:016x}", key.hash));
    }
}
