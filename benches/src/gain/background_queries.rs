//! Periodic work of the proxies: reports of hot keys, and background queries that refresh copies.

use super::events::{SimulationEvent, StatementResult};
use super::proxies::{HOT_KEY, Proxy};
use super::servers::{Statement, StatementKind, StatementOwner};
use super::simulation::{CopyMode, NETWORK_DELAY_MICROS, Simulation};
use birchreach::{AttemptOutcome, GroupId, Micros};
use birchreach_background_tasks::{DatabaseId, StartedTask, Task, TaskId, TaskKind};
use birchreach_hot_keys::{DueRefresh, ReportHeader};
use std::net::SocketAddr;

/// Gossip channel of the hot key reports.
const HOT_KEY_CHANNEL: u8 = 1;
const GOSSIP_PORT: u16 = 7;
/// Number of proxies whose addresses share the third byte.
const PROXIES_PER_SUBNET: usize = 200;

/// Payload of a scheduled task, for which no client waits.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum BackgroundTask {
    RowRead(DueRefresh),
    CopyWrite(CopyWrite),
}

/// A task that writes the refreshed copy of a row to a group other than the row's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct CopyWrite {
    /// The server that holds the refreshed copy.
    holder: u32,
    /// The holder's group. The copy is written at the group's primary.
    group: u32,
    /// The log position of the original row that the copy has at least.
    position: Micros,
}

/// A running query of a task. A row is read twice, so that the row of the second read has at least the log position that the first
/// read returned.
pub(super) enum BackgroundQuery {
    FirstRead { copy: DueRefresh, server: u32 },
    SecondRead { copy: DueRefresh, first_position: Micros },
    CopyWrite(CopyWrite),
}

impl Simulation {
    /// Does a proxy's periodic work, which exists only in the mode [`CopyMode::On`].
    pub(super) fn update_proxy(&mut self, number: usize) {
        if self.mode != CopyMode::On {
            return;
        }
        self.proxies[number].update_hot_keys(self.now);
        self.start_background_queries(number);
        self.send_gossip(number);
    }

    fn start_background_queries(&mut self, proxy: usize) {
        let proxies = self.proxies.len() as u32;
        for StartedTask { id, task, database: DatabaseId(server) } in
            self.proxies[proxy].start_tasks(self.now, proxies)
        {
            let (query, kind) = match task.payload {
                BackgroundTask::RowRead(copy) => {
                    (BackgroundQuery::FirstRead { copy, server }, StatementKind::Read)
                }
                BackgroundTask::CopyWrite(write) => {
                    (BackgroundQuery::CopyWrite(write), StatementKind::CopyWrite)
                }
            };
            self.send_background_query(proxy, id, server, kind, query);
        }
    }

    fn send_background_query(
        &mut self,
        proxy: usize,
        id: TaskId,
        server: u32,
        kind: StatementKind,
        query: BackgroundQuery,
    ) {
        self.proxies[proxy].background_queries.insert(id, query);
        let statement = Statement { owner: StatementOwner::BackgroundQuery { proxy, id }, kind };
        self.schedule(NETWORK_DELAY_MICROS, SimulationEvent::StatementArrives { server, statement });
    }

    /// Sends a proxy's gossip. Messages arrive without delay or loss, except that messages across a partition are dropped.
    fn send_gossip(&mut self, sender: usize) {
        let proxies = self.proxies.len();
        let others: Vec<SocketAddr> =
            (0..proxies).filter(|other| *other != sender).map(gossip_address).collect();
        let Some(outgoing) = self.proxies[sender].gossip_reports.encode_gossip(self.now, &others) else {
            return;
        };
        let receiver = (0..proxies).find(|proxy| gossip_address(*proxy) == outgoing.recipient).unwrap_or(0);
        let is_in_first_half = |proxy: usize| proxy < proxies / 2;
        if !self.is_partitioned || is_in_first_half(sender) == is_in_first_half(receiver) {
            self.proxies[receiver].receive_gossip(self.now, proxies, &outgoing.payload);
        }
    }

    /// Handles the result of a background query. After the second read of a row, copies of the row are written for all holders.
    pub(super) fn continue_background_query(&mut self, proxy: usize, id: TaskId, result: &StatementResult) {
        let Some(query) = self.proxies[proxy].background_queries.remove(&id) else { return };
        let is_ok = result.outcome == AttemptOutcome::Ok;
        match query {
            BackgroundQuery::FirstRead { copy, server } if is_ok => {
                let second = BackgroundQuery::SecondRead { copy, first_position: result.position };
                self.send_background_query(proxy, id, server, StatementKind::Read, second);
            }
            BackgroundQuery::FirstRead { .. } => self.proxies[proxy].scheduler.finish(id),
            BackgroundQuery::SecondRead { copy, first_position } => {
                self.proxies[proxy].scheduler.finish(id);
                if is_ok {
                    self.proxies[proxy].submit_copy_writes(self.now, &copy, first_position);
                }
            }
            BackgroundQuery::CopyWrite(write) => {
                self.proxies[proxy].scheduler.finish(id);
                if is_ok {
                    self.finish_copy_write(proxy, write);
                }
            }
        }
    }

    fn finish_copy_write(&mut self, proxy: usize, write: CopyWrite) {
        self.copies.written += 1;
        self.servers.store_copy(self.now, write.group, write.position);
        self.proxies[proxy].hot_keys.record_copy_written(self.now, HOT_KEY, write.holder);
    }
}

impl Proxy {
    /// Updates the set of hot keys, publishes a report if one is due, and submits row reads for copies that are due for a refresh.
    fn update_hot_keys(&mut self, now: Micros) {
        self.hot_keys.update(now);
        if let Some(report) = self.hot_keys.report_if_due(now) {
            self.gossip_reports.publish(now, HOT_KEY_CHANNEL, report);
        }
        for copy in self.hot_keys.due_refreshes(now) {
            self.submit(now, TaskKind::RowRead, BackgroundTask::RowRead(copy));
        }
    }

    fn start_tasks(&mut self, now: Micros, proxies: u32) -> Vec<StartedTask<BackgroundTask>> {
        let router = &self.router;
        let find_database = |task: &BackgroundTask| {
            let server = match task {
                BackgroundTask::RowRead(copy) => {
                    router.background_candidate(GroupId(copy.key.group), false, false)
                }
                BackgroundTask::CopyWrite(write) => {
                    router.background_candidate(GroupId(write.group), true, true)
                }
            };
            server.map(|server| DatabaseId(server.0))
        };
        self.scheduler.start_due(now, proxies, find_database)
    }

    fn submit_copy_writes(&mut self, now: Micros, copy: &DueRefresh, position: Micros) {
        for holder in &copy.holders {
            let write = CopyWrite { holder: holder.server, group: holder.group, position };
            self.submit(now, TaskKind::CopyWrite, BackgroundTask::CopyWrite(write));
        }
    }

    /// Submits a task that expires after the refresh interval, when the next refresh replaces the task.
    fn submit(&mut self, now: Micros, kind: TaskKind, payload: BackgroundTask) {
        let expires_at = now + self.hot_keys.settings().refresh_interval();
        self.scheduler.submit(Task { kind, expires_at, payload });
    }

    fn receive_gossip(&mut self, now: Micros, proxies: usize, payload: &[u8]) {
        let reports = self.gossip_reports.apply_gossip(now, proxies, |_| true, payload).unwrap_or_default();
        for report in reports {
            let header = ReportHeader { origin: report.origin, sequence: report.sequence, age: report.age };
            let _ = self.hot_keys.receive_report(now, header, &report.payload);
        }
    }
}

fn gossip_address(proxy: usize) -> SocketAddr {
    let subnet = (proxy / PROXIES_PER_SUBNET) as u8;
    let host = (proxy % PROXIES_PER_SUBNET) as u8 + 1;
    SocketAddr::from(([10, 0, subnet, host], GOSSIP_PORT))
}
