//! Routing decisions: the state of the router and its reaction to events. Types of events and actions:
//! `src/interface.rs`.
//!
//! Writes and strong reads go to the primary of their group. Any other read goes to the replica, among those
//! whose data is fresh enough, with the fewest outstanding attempts per unit of weight, in the own zone where
//! that costs nothing. Each file decides one thing and owns the state for it:
//!
//! - `admission`: a request arrives and is admitted or shed;
//! - `server_selection`: which server it is sent to, limited by `concurrency`, `slow_start` and
//!   `outlier_detection`;
//! - `required_position`, `replication`, `position_queries`: what a read has to see, which server has that;
//! - `attempts`, `overdue_attempts`, `attempt_results`, `retry_budget`: an attempt is sent, is overdue, ends;
//! - `queue`, `timers`, `final_answer`: a request waits, is looked at again, gets its final answer;
//! - `endpoints`, `health_checks`: the endpoint list changes, a health check ends;
//! - `servers`, `server_table`, `groups`, `pending`: the state of a server, a group, a request and an
//!   attempt, composed of the above.

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
use timers::WakeSchedule;

/// Weight of a new sample in a running mean.
const MEAN_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new sample in a running mean that has to follow a change within a few samples.
const RECENT_SAMPLE_WEIGHT: f64 = 0.2;
/// So many proxies may query the positions of replicas without adding notable load. Of a larger fleet this
/// many do, in the mean; the reads of the others try the primary.
const POSITION_QUERYING_PROXIES: f64 = 35.0;

/// The routing decisions of one proxy: takes events, returns actions.
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    servers: ServerTable,
    groups: Groups,
    /// Servers that are listed as removed, by the time since when they have been.
    removals: BTreeSet<(Micros, ServerId)>,
    /// Requests without a final answer.
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts without an outcome, those of finished requests included.
    in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    wakes: WakeSchedule,
    latencies: LatencyEstimates,
    session_positions: SessionPositions,
    /// Number of servers that accept work.
    accepting_count: usize,
    throughput: ServedThroughput,
    retry_budget: RetryBudget,
    /// Fraction of the reads of all groups that fell back on a primary and missed their latency objective.
    fallback_miss_rate: f64,
    arrival_count: i64,
    next_endpoint_poll_at: Option<Micros>,
}

impl Router {
    /// A router that knows nothing but its settings.
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
            wakes: WakeSchedule::default(),
            latencies: LatencyEstimates::new(&settings.classes),
            session_positions: SessionPositions::default(),
            accepting_count: 0,
            throughput: ServedThroughput::new(now),
            retry_budget: RetryBudget::new(settings.proxy_count),
            fallback_miss_rate: 0.0,
            arrival_count: 0,
            next_endpoint_poll_at: None,
            settings,
        }
    }

    /// Number of requests without a final answer.
    pub fn open_request_count(&self) -> usize {
        self.pending.len()
    }

    /// How often state of a server was accessed so far: the work of an event, for tests.
    #[cfg(feature = "operation-counts")]
    pub fn server_access_count(&self) -> u64 {
        self.servers.access_count()
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Settings(settings) => self.apply_settings(*settings),
            Event::EndpointsChanged(list) => self.apply_endpoint_list(list),
            Event::EndpointPollFailed => self.on_endpoint_poll_failed(),
            Event::Request(request) => self.on_request(request, actions),
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
