//! A simulated proxy: the router, hot key tracker and scheduler of the real proxy, without sockets.

use super::background_queries::{BackgroundQuery, BackgroundTask};
use super::classes::CLASSES;
use super::servers::{GROUPS, READS_PER_S_PER_SERVER, SERVERS, SERVERS_PER_GROUP, group_of, role};
use super::simulation::CopyMode;
use birchreach::{
    Action, CopyCandidate, Endpoint, EndpointDiscovery, EndpointList, EndpointState, Event, GroupId,
    LoadReportSource, Micros, Role, Router, ServerId, SessionPositionSource, Settings, StaleReadPolicy,
    ZoneId,
};
use birchreach_background_tasks::{Budget, Scheduler, TaskBudget, TaskId, TaskKind};
use birchreach_hot_keys::{CopyRequirement, Database, HotKeyTracker, Key};
use birchreach_membership::GossipReports;
use std::collections::HashMap;

/// The key that clients read at the scenario's hot rate.
pub(super) const HOT_KEY: Key = Key { group: 0, hash: 0x5eed };

const HOT_KEY_BYTES: &[u8] = b"hot";
/// The servers that hold the oracle's copies. Their groups differ from each other and from the hot key's group.
const ORACLE_HOLDERS: [u32; MAX_COPIES] = [4, 7, 10];
const MAX_COPIES: usize = 3;
const COPY_COST_READS: f64 = 2.0;
const MAX_COPY_AGE_MICROS: Micros = 800_000;
const BUDGET: Budget = Budget { database_starts_per_s: 30.0, total_starts_per_s: 60.0, window: 10_000_000 };
/// Age of the scheduler at the start of a run. A new scheduler starts no tasks for one window, because an earlier incarnation may
/// have used the budget. This age is longer than the window, so tasks start at once.
const SCHEDULER_AGE_MICROS: Micros = 20_000_000;
const GOSSIP_SEED_MASK: u64 = 0xabc;

/// The state of a simulated proxy.
pub(super) struct Proxy {
    pub router: Router,
    pub hot_keys: HotKeyTracker,
    pub gossip_reports: GossipReports,
    pub scheduler: Scheduler<BackgroundTask>,
    /// Running background queries, by task.
    pub background_queries: HashMap<TaskId, BackgroundQuery>,
    pub actions: Vec<Action>,
}

impl Proxy {
    /// Creates a proxy that knows all servers and no hot key.
    pub(super) fn new(number: usize, proxies: usize, seed: u64, now: Micros) -> Proxy {
        let mut actions = Vec::new();
        let mut router = Router::new(router_settings(proxies), seed, now, &mut actions);
        router.handle(now, Event::EndpointsChanged(endpoints()), &mut actions);
        let incarnation = number as u64 + 1;
        let budgets =
            [TaskKind::RowRead, TaskKind::CopyWrite].map(|kind| TaskBudget { kind, budget: BUDGET });
        Proxy {
            router,
            hot_keys: hot_key_tracker(incarnation, proxies, now),
            gossip_reports: GossipReports::new(incarnation, seed ^ GOSSIP_SEED_MASK),
            scheduler: Scheduler::new(&budgets, now - SCHEDULER_AGE_MICROS),
            background_queries: HashMap::new(),
            actions,
        }
    }

    /// Returns the copies that may serve a read of the hot key. Records the read in the mode [`CopyMode::On`].
    pub(super) fn copy_candidates(&mut self, mode: CopyMode, now: Micros) -> Vec<CopyCandidate> {
        match mode {
            CopyMode::Off => Vec::new(),
            CopyMode::On => self.tracked_copy_candidates(now),
            CopyMode::Oracle => ORACLE_HOLDERS
                .map(|server| CopyCandidate { server: ServerId(server), likely_position: now })
                .to_vec(),
        }
    }

    fn tracked_copy_candidates(&mut self, now: Micros) -> Vec<CopyCandidate> {
        self.hot_keys.record_read(now, HOT_KEY, HOT_KEY_BYTES);
        let copies = self.hot_keys.copy_candidates(now, HOT_KEY).into_iter();
        copies
            .map(|copy| CopyCandidate {
                server: ServerId(copy.server),
                likely_position: copy.likely_position,
            })
            .collect()
    }
}

fn router_settings(proxies: usize) -> Settings {
    Settings {
        proxy_count: proxies as u32,
        zone: ZoneId(0),
        classes: CLASSES.to_vec(),
        tenants: vec![],
        session_positions: SessionPositionSource::FromRequest,
        stale_reads: StaleReadPolicy::Served,
        endpoint_discovery: EndpointDiscovery::Pushed,
        load_reports: LoadReportSource::HealthChecks,
        load_reports_have_position: true,
        max_attempts: 6,
        hedging_allowed: true,
        cancellation_allowed: false,
        health_checks_allowed: true,
        max_retry_after: Some(1_000_000),
        connect_timeout: 250_000,
        drain_grace: 2_000_000,
        removal_is_advisory: false,
        slow_start_initial_fraction: 0.2,
        slow_start_window: 6_000_000,
        overload_factor: 3.0,
        overload_window: 1_500_000,
    }
}

fn endpoints() -> EndpointList {
    let endpoint = |server| Endpoint {
        server: ServerId(server),
        group: GroupId(group_of(server)),
        zone: ZoneId(0),
        state: EndpointState::Ready,
        started_at: None,
        weight: 1.0,
        primary: role(server) == Role::Primary,
    };
    EndpointList { complete: true, endpoints: (0..SERVERS).map(endpoint).collect() }
}

fn hot_key_tracker(incarnation: u64, proxies: usize, now: Micros) -> HotKeyTracker {
    let settings = birchreach_hot_keys::Settings {
        database_reads_per_s: READS_PER_S_PER_SERVER,
        copy_cost_reads: COPY_COST_READS,
        max_copies: MAX_COPIES,
        configured_members: proxies as u32,
        class_requirements: vec![CopyRequirement::MaxAge(MAX_COPY_AGE_MICROS), CopyRequirement::Current],
    };
    let mut tracker = HotKeyTracker::new(settings, incarnation, 1, now);
    let database =
        |server| Database { server, group: group_of(server), name_hash: u64::from(server) * 7 + 1 };
    let replica_counts = (0..GROUPS).map(|group| (group, SERVERS_PER_GROUP as usize - 1)).collect();
    tracker.update_databases((0..SERVERS).map(database).collect(), replica_counts);
    tracker.set_fleet(proxies, GossipReports::renewal_interval(proxies));
    tracker
}
