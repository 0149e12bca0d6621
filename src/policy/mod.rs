//! Routing decisions: the state of the router and how events change it. `src/interface.rs` defines the events
//! and actions.
//!
//! Writes and strong reads go to the primary of their group. Any other read goes to a replica whose data is
//! fresh enough. Among these, the replica with the fewest outstanding attempts per unit of weight is
//! selected, and ties go to replicas in the proxy's own zone. Each module makes one kind of decision and owns
//! the state for it:
//!
//! - `admission`: whether a new request is admitted or shed;
//! - `server_selection`: the server for an attempt, limited by `concurrency`, `slow_start` and
//!   `outlier_detection`;
//! - `required_position`, `replication`, `position_queries`: the log position that a read has to see, and the
//!   servers that have reached it;
//! - `attempts`, `send_conditions`, `overdue_attempts`, `attempt_results`, `retry_budget`: sending attempts,
//!   the conditions under which they may be sent, overdue attempts, results and retries;
//! - `queue`, `timers`, `final_answer`: requests that wait, their wakeups and their final responses;
//! - `endpoints`, `health_checks`: changes of the endpoint list and results of health checks;
//! - `servers`, `server_table`, `groups`, `pending`: the state of servers, groups, requests and attempts,
//!   composed of the state of the modules above.

mod admission;
mod attempt_results;
mod attempts;
mod concurrency;
mod endpoints;
mod final_answer;
mod groups;
mod health_checks;
mod outlier_detection;
mod overdue_attempts;
mod pending;
mod position_queries;
mod queue;
mod replication;
mod required_position;
mod retry_budget;
mod send_conditions;
mod server_selection;
mod server_table;
mod servers;
mod slow_start;
mod timers;

use crate::estimates::LatencyEstimates;
use crate::interface::{
    Action, EndpointDiscovery, Event, Micros, RequestClass, RequestId, ServerId, Settings,
};
use groups::Groups;
use pending::{AttemptKey, InFlightAttempt, PendingRequest};
use required_position::SessionPositions;
use retry_budget::RetryBudget;
use server_table::ServerTable;
use slow_start::ServedThroughput;
use std::collections::{BTreeMap, BTreeSet};
use timers::WakeupSchedule;

/// Weight of a new sample in a running mean.
const MEAN_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new sample in a running mean that has to follow a change within a few samples.
const RECENT_SAMPLE_WEIGHT: f64 = 0.2;
/// Number of proxies that may query the positions of replicas without adding notable load. In a larger fleet,
/// this many proxies query on average; the reads of the others try the primary.
const POSITION_QUERYING_PROXIES: f64 = 35.0;

/// Makes the routing decisions of one proxy: receives events and returns actions.
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    servers: ServerTable,
    groups: Groups,
    /// Servers that are listed as removed, ordered by the time of their removal.
    removals: BTreeSet<(Micros, ServerId)>,
    /// Requests without a final response.
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts without a result, including those of finished requests.
    in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    wakeups: WakeupSchedule,
    latencies: LatencyEstimates,
    session_positions: SessionPositions,
    /// Number of servers that may be sent new work according to the endpoint list.
    accepting_server_count: usize,
    throughput: ServedThroughput,
    retry_budget: RetryBudget,
    /// Running mean over all groups: fraction of the reads sent to a primary as a fallback that missed their
    /// latency objective.
    fallback_miss_rate: f64,
    arrival_count: i64,
    next_endpoint_poll_at: Option<Micros>,
}

impl Router {
    /// Creates a router without servers. A router with the same settings, seed and events returns the same
    /// actions. The initial actions are appended to `actions`.
    pub fn new(mut settings: Settings, seed: u64, now: Micros, actions: &mut Vec<Action>) -> Self {
        settings.proxy_count = settings.proxy_count.max(1);
        if settings.endpoint_discovery == EndpointDiscovery::Polled {
            actions.push(Action::WatchEndpoints);
        }
        Router {
            rng: fastrand::Rng::with_seed(seed),
            now,
            servers: ServerTable::default(),
            groups: Groups::default(),
            removals: BTreeSet::new(),
            pending: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            wakeups: WakeupSchedule::default(),
            latencies: LatencyEstimates::new(&settings.classes),
            session_positions: SessionPositions::default(),
            accepting_server_count: 0,
            throughput: ServedThroughput::new(now),
            retry_budget: RetryBudget::new(settings.proxy_count),
            fallback_miss_rate: 0.0,
            arrival_count: 0,
            next_endpoint_poll_at: None,
            settings,
        }
    }

    /// Number of requests without a final response.
    pub fn open_request_count(&self) -> usize {
        self.pending.len()
    }

    /// Number of accesses to the state of a server since the router was created. Tests measure the cost of an
    /// event by it.
    #[cfg(feature = "operation-counts")]
    pub fn server_access_count(&self) -> u64 {
        self.servers.access_count()
    }

    /// Processes one event and appends the resulting actions. A time before that of the previous event counts
    /// as the time of the previous event.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Settings(settings) => self.apply_settings(*settings),
            Event::EndpointsChanged(list) => self.apply_endpoint_list(list),
            Event::EndpointPollFailed => self.on_endpoint_poll_failed(),
            Event::Request(request) => self.on_request(request, actions),
            Event::ResponseArriving { request, attempt } => {
                self.on_response_arriving(AttemptKey { request, attempt })
            }
            Event::ResponseStarted { request, attempt } => {
                self.on_response_started(AttemptKey { request, attempt }, actions)
            }
            Event::AttemptCompleted(result) => self.on_attempt_completed(result, actions),
            Event::ClientDisconnected { request } => self.finish(request, actions),
            Event::HealthCheckCompleted { server, outcome, load_report } => {
                self.on_health_check_completed(server, outcome, load_report, actions)
            }
            Event::Timer { .. } => self.on_timer(actions),
        }
        self.arm_timer(actions);
    }

    fn apply_settings(&mut self, settings: Settings) {
        self.latencies.apply_classes(&self.settings.classes, &settings.classes);
        self.settings = Settings { proxy_count: settings.proxy_count.max(1), ..settings };
    }

    fn class_of(&self, request: &PendingRequest) -> &RequestClass {
        &self.settings.classes[request.class.index()]
    }
}
