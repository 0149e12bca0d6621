//! What proxies do behind requests: sets, reports, copies on their way.

use super::proxies::{HOT, What};
use super::servers::{Call, Job};
use super::world::{Happens, Mode, WAY, World};
use birchreach::{AttemptOutcome, GroupId};
use birchreach_background_tasks::{StartedTask, Task, TaskKind};
use birchreach_hot_keys::ReportHeader;
use std::net::SocketAddr;

impl World {
    /// Sets, reports and background work of one proxy.
    pub(super) fn turn(&mut self, n: usize) {
        if self.mode != Mode::On {
            return;
        }
        let (now, count) = (self.now, self.proxies.len());
        let proxy = &mut self.proxies[n];
        proxy.hot.update(now);
        if let Some(said) = proxy.hot.report_if_due(now) {
            proxy.gossip_reports.publish(now, 1, said);
        }
        let refresh = proxy.hot.settings().refresh_interval();
        for due in proxy.hot.due_copies(now) {
            proxy.scheduler.submit(Task {
                kind: TaskKind::RowRead,
                expires_at: now + refresh,
                payload: What::Read(due),
            });
        }
        let router = &proxy.router;
        let place = |what: &What| match what {
            What::Read(due) => router.background_candidate(GroupId(due.key.group), false, false).map(|s| s.0),
            What::Copy { group, .. } => router.background_candidate(GroupId(*group), true, true).map(|s| s.0),
        };
        let started = proxy.scheduler.start_due(now, count as u32, place);
        for StartedTask { id: number, task, database } in started {
            let job = match &task.payload {
                What::Read(_) => Job::Read,
                What::Copy { position, .. } => Job::CopyWrite(*position),
            };
            self.proxies[n].background_queries.insert(number, (task.payload, 0, i64::from(database)));
            self.at(now + WAY, Happens::Arrives(database, Call { proxy: n, what: Err(number), job }));
        }
        let address = |n: usize| SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8 + 1], 7));
        let others: Vec<SocketAddr> = (0..count).filter(|o| *o != n).map(address).collect();
        let Some(outgoing) = self.proxies[n].gossip_reports.encode_gossip(now, &others) else { return };
        let to = (0..count).find(|o| address(*o) == outgoing.recipient).unwrap_or(0);
        if self.cut && (n < count / 2) != (to < count / 2) {
            return;
        }
        let other = &mut self.proxies[to];
        for f in
            other.gossip_reports.apply_gossip(now, count, |_| true, &outgoing.payload).unwrap_or_default()
        {
            let header = ReportHeader { origin: f.origin, sequence: f.sequence, age: f.age };
            let _ = other.hot.receive_report(now, header, &f.payload);
        }
    }

    /// A statement of a background query is done: a row is read twice, then copied.
    pub(super) fn continue_background_query(
        &mut self,
        n: usize,
        number: u64,
        ending: AttemptOutcome,
        position: i64,
    ) {
        let now = self.now;
        let Some((what, step, of)) = self.proxies[n].background_queries.remove(&number) else { return };
        match what {
            What::Read(due) if ending == AttemptOutcome::Ok && step == 0 => {
                let server = of as u32;
                self.proxies[n].background_queries.insert(number, (What::Read(due), 1, position));
                let call = Call { proxy: n, what: Err(number), job: Job::Read };
                self.at(now + WAY, Happens::Arrives(server, call));
            }
            What::Read(due) => {
                let proxy = &mut self.proxies[n];
                proxy.scheduler.finish(number);
                let refresh = proxy.hot.settings().refresh_interval();
                for holder in due.holders.iter().filter(|_| ending == AttemptOutcome::Ok) {
                    let what = What::Copy { holder: holder.server, group: holder.group, position: of };
                    proxy.scheduler.submit(Task {
                        kind: TaskKind::CopyWrite,
                        expires_at: now + refresh,
                        payload: what,
                    });
                }
            }
            What::Copy { holder, group, position } => {
                self.proxies[n].scheduler.finish(number);
                if ending == AttemptOutcome::Ok {
                    self.copies[0] += 1;
                    self.servers.copied(now, group, position);
                    self.proxies[n].hot.record_copy_written(now, HOT, holder);
                }
            }
        }
    }
}
