//! A proxy on virtual time: the program's own decisions, hot keys and scheduler, without sockets.

use super::servers::{BEARS, GROUPS, MEMBERS};
use super::world::Mode;
use birchreach::{
    Action, Consistency, CopyCandidate, Endpoint, EndpointDiscovery, EndpointList, EndpointState, Event,
    GroupId, Idempotency, LoadReportSource, RequestClass, Router, ServerId, SessionPositionSource, Settings,
    StaleReadPolicy, ZoneId,
};
use birchreach_background_tasks::{Budget, Scheduler, TaskBudget, TaskKind};
use birchreach_hot_keys::{CopyRequirement as Needs, Database, DueCopy, HotKeyTracker, Key};
use birchreach_membership::GossipReports;
use std::collections::HashMap;

/// A class for bounded reads, one for writes.
pub const READS: u16 = 0;
pub const WRITES: u16 = 1;
pub const HOT: Key = Key { group: 0, hash: 0x5eed };

/// Work that no client waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Read(DueCopy),
    Copy { holder: u32, group: u32, position: i64 },
}

pub struct Proxy {
    pub router: Router,
    pub hot: HotKeyTracker,
    pub gossip_reports: GossipReports,
    pub scheduler: Scheduler<What>,
    pub background_queries: HashMap<u64, (What, u8, i64)>,
    pub actions: Vec<Action>,
}

fn settings(proxies: usize) -> Settings {
    let class = |need, effect, aim, deadline, worth| RequestClass {
        consistency: need,
        idempotency: effect,
        latency_objective: aim,
        client_timeout: deadline,
        priority_weight: worth,
        late_weight_fraction: 0.2,
    };
    Settings {
        proxy_count: proxies as u32,
        zone: ZoneId(0),
        classes: vec![
            class(Consistency::BoundedStaleness(800_000), Idempotency::Idempotent, 300_000, 1_200_000, 3.0),
            class(Consistency::Write, Idempotency::NotIdempotent, 750_000, 3_000_000, 6.0),
        ],
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

impl Proxy {
    pub fn new(n: usize, proxies: usize, seed: u64, now: i64) -> Proxy {
        let mut actions = Vec::new();
        let mut router = Router::new(settings(proxies), seed, now, &mut actions);
        let members = (0..GROUPS * MEMBERS).map(|id| Endpoint {
            server: ServerId(id),
            group: GroupId(id / MEMBERS),
            zone: ZoneId(0),
            state: EndpointState::Ready,
            started_at: None,
            weight: 1.0,
            primary: id % MEMBERS == 0,
        });
        let list = EndpointList { complete: true, endpoints: members.collect() };
        router.handle(now, Event::EndpointsChanged(list), &mut actions);
        let hot = birchreach_hot_keys::Settings {
            database_reads_per_s: BEARS,
            copy_cost_reads: 2.0,
            max_copies: 3,
            configured_members: proxies as u32,
            class_requirements: vec![Needs::MaxAge(800_000), Needs::Current],
        };
        let mut hot = HotKeyTracker::new(hot, n as u64 + 1, 1, now);
        let database = |id| Database { server: id, group: id / MEMBERS, name_hash: u64::from(id) * 7 + 1 };
        let replicas = (0..GROUPS).map(|g| (g, MEMBERS as usize - 1)).collect();
        hot.update_databases((0..GROUPS * MEMBERS).map(database).collect(), replicas);
        hot.set_fleet(proxies, GossipReports::interval(proxies));
        let budget = |per_s| Budget { database_per_s: per_s, all_per_s: 60.0, window: 10_000_000 };
        // A fleet that has run for long: nothing is left of what an earlier incarnation may have started.
        let budgets =
            [TaskKind::RowRead, TaskKind::CopyWrite].map(|kind| TaskBudget { kind, budget: budget(30.0) });
        let scheduler = Scheduler::new(&budgets, now - 20_000_000);
        let gossip_reports = GossipReports::new(n as u64 + 1, seed ^ 0xabc);
        Proxy { router, hot, gossip_reports, scheduler, background_queries: HashMap::new(), actions }
    }

    /// Copies that may serve a read of the key, as the mode has them.
    pub fn copy_candidates(&mut self, mode: Mode, now: i64, key: Option<Key>) -> Vec<CopyCandidate> {
        let Some(key) = key else { return Vec::new() };
        let candidate = |server, likely_position| CopyCandidate { server: ServerId(server), likely_position };
        match mode {
            Mode::Off => Vec::new(),
            Mode::On => {
                self.hot.record_read(now, key, b"hot");
                self.hot
                    .copy_candidates(now, key)
                    .into_iter()
                    .map(|copy| candidate(copy.server, copy.likely_position))
                    .collect()
            }
            // It knows: the same number of copies, in other groups, all of the present.
            Mode::Oracle => [4, 7, 10].map(|id| candidate(id, now)).to_vec(),
        }
    }
}
