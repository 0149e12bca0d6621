//! Every decision of the router: its state and its events. Types, events and actions: `src/interface.rs`.
//! Writes go to the primary; each read goes to the replica, among those fresh enough, with the
//! fewest outstanding requests per unit weight, own zone first while no busier.

mod admission;
mod attempt_results;
mod attempts;
mod concurrency;
mod endpoints;
mod outlier_detection;
mod positions;
mod server_selection;

use crate::estimates::{LatencyEstimates, MIN_WAKE_DELAY, initial_latency, update_mean};
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a new sample in a running mean, and where it must show within a few answers.
const MEAN_SAMPLE_WEIGHT: f64 = 0.1;
const RECENT_SAMPLE_WEIGHT: f64 = 0.2;
/// Wait before the first trial of a suspect; doubles to the longest. Short against any outage.
const INITIAL_EJECTION_BACKOFF: Micros = 500_000;
const MAX_EJECTION_BACKOFF: Micros = 4_000_000;
/// Further attempts earned by each request, and the most that all routers together may save up.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.2;
const RETRY_BUDGET_MAX_TOKENS: f64 = 80.0;
/// Mean wait before asking for the list again after a failed call, about.
const MEAN_ENDPOINT_POLL_BACKOFF: Micros = 2_000_000;
/// A server whose answers take more than this share of their aims, in the mean, is congested:
/// its cap shrinks by the factor, else grows while it binds. The first cap is met by slow start.
const CONGESTION_LATENCY_RATIO: f64 = 0.4;
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
const INITIAL_CONCURRENCY_LIMIT: f64 = 4.0;
/// Of reads that know no fresh replica as many ask as those of so many routers; the rest tries the primary.
const POSITION_QUERYING_PROXIES: f64 = 35.0;

#[derive(Default)]
struct Server {
    /// Its newest line in the list.
    endpoint: Endpoint,
    /// It may be sent new work. Where `gone` does not bind, that word changes nothing: lists err.
    accepts_work: bool,
    /// Since when it is listed as gone, or not at all.
    removed_at: Option<Micros>,
    /// Proven log position, and the times up to which each role is proven.
    position: Option<Micros>,
    primary_confirmed_at: Option<Micros>,
    replica_confirmed_at: Option<Micros>,
    /// How far behind it was when last heard, and when that was.
    lag: Micros,
    lag_observed_at: Option<Micros>,
    /// Outstanding attempts of this router.
    in_flight_count: u32,
    /// Most attempts that it may hold for this router; the mean of latency over aim that sets it.
    concurrency_limit: f64,
    latency_ratio: f64,
    limit_reduced_at: Option<Micros>,
    /// It rests up to this time.
    resume_at: Micros,
    /// Sends that it may still be given while it is cold, as of a time, and when it last was down.
    slow_start_tokens: (f64, Micros),
    connection_refused_at: Option<Micros>,
    last_response_at: Option<Micros>,
    /// When the newest of its answered attempts was sent.
    newest_answered_sent_at: Option<Micros>,
    /// Running share of requests that failed.
    failure_rate: f64,
    ejected: bool,
    /// It took work, or a connection, and gave no sign of life since.
    unresponsive: bool,
    half_open_at: Option<Micros>,
    ejection_backoff: Micros,
    health_check_in_flight: bool,
    /// When its last probe failed, if it did, which says nothing of its requests.
    health_check_failed_at: Option<Micros>,
}

/// A place among held requests: reads apart from writes; the dearest, then the newest first.
type QueuePosition = (bool, i64, i64, RequestId);

#[derive(Default)]
struct PendingRequest {
    class: usize,
    group: GroupId,
    session: Option<SessionId>,
    required_session_position: Option<Micros>,
    /// Servers of other groups that may have a copy, and its likely position.
    copy_candidates: Vec<CopyCandidate>,
    /// The last moment when an answer is worth anything, never after the client gives up.
    useful_until: Micros,
    /// No server has had it whole; still so at half of its time, it is refused.
    reached_no_server: bool,
    unsent_until: Micros,
    queue_position: QueuePosition,
    attempts_sent: u16,
    max_attempts: u16,
    in_flight_attempts: Vec<u16>,
    tried_servers: Vec<ServerId>,
    /// Replicas asked where they stand for this read, and how long it waits for the last one.
    queried_servers: Vec<ServerId>,
    query_until: Option<Micros>,
    /// Its lot: below the share of its group that is let in, it is.
    admission_draw: f64,
    /// First send that may have run.
    possible_execution: Option<(Micros, ServerId)>,
    next_wake: Micros,
}

/// An attempt without an outcome.
struct InFlightAttempt {
    server: ServerId,
    sent_at: Micros,
    class: usize,
    session: Option<SessionId>,
    /// Given up for lost, or its answer has begun: it holds no place at its server any more.
    released: bool,
    response_started_at: Option<Micros>,
}

#[derive(Default)]
struct Group {
    members: BTreeSet<ServerId>,
    queued: BTreeSet<QueuePosition>,
    /// Share of its attempts that did not end within the aim, and of those that fell back.
    miss_rates: [f64; 2],
}

/// One router's decisions: feed it events, carry out its actions.
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    servers: BTreeMap<ServerId, Server>,
    groups: BTreeMap<GroupId, Group>,
    pending: BTreeMap<RequestId, PendingRequest>,
    /// Attempts without an outcome yet, also those of finished requests.
    in_flight: BTreeMap<(RequestId, u16), InFlightAttempt>,
    wakes: BTreeSet<(Micros, RequestId)>,
    timer_due_at: Micros,
    latencies: LatencyEstimates,
    session_positions: BTreeMap<SessionId, Micros>,
    evicted_sessions_position: Option<Micros>,
    /// Ready servers; answers since a time; the most answers a ready server gave in a cold time.
    ready_count: usize,
    served: (f64, Micros),
    baseline_throughput: f64,
    retry_budget: f64,
    /// Share of the attempts of all groups that fell back on a primary and did not end within the aim.
    fallback_miss_rate: f64,
    arrival_count: i64,
    next_endpoint_poll_at: Option<Micros>,
}

impl Router {
    /// A router that knows nothing but its settings.
    pub fn new(mut settings: Settings, seed: u64, now: Micros, actions: &mut Vec<Action>) -> Self {
        settings.proxy_count = settings.proxy_count.max(1);
        let router = Router {
            rng: fastrand::Rng::with_seed(seed),
            now,
            servers: BTreeMap::new(),
            groups: BTreeMap::new(),
            pending: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            wakes: BTreeSet::new(),
            timer_due_at: Micros::MAX,
            latencies: LatencyEstimates::new(&settings.classes),
            session_positions: BTreeMap::new(),
            evicted_sessions_position: None,
            ready_count: 1,
            served: (0.0, now),
            baseline_throughput: 0.0,
            retry_budget: RETRY_BUDGET_MAX_TOKENS / 2.0 / f64::from(settings.proxy_count),
            arrival_count: 0,
            fallback_miss_rate: 0.0,
            next_endpoint_poll_at: None,
            settings,
        };
        actions.extend(
            (router.settings.endpoint_discovery == EndpointDiscovery::Polled)
                .then_some(Action::WatchEndpoints),
        );
        router
    }

    /// Requests without a final answer.
    pub fn open_request_count(&self) -> usize {
        self.pending.len()
    }

    /// Takes one event; appends what the router is to do.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Settings(settings) => self.apply_settings(*settings),
            Event::EndpointsChanged(list) => self.apply_endpoint_list(list),
            Event::EndpointPollFailed => {
                // Spread out: routers that failed together must not ask together again.
                let wait = MEAN_ENDPOINT_POLL_BACKOFF / 4 + self.rng.i64(0..MEAN_ENDPOINT_POLL_BACKOFF);
                self.next_endpoint_poll_at = Some(self.now + wait)
                    .filter(|_| self.settings.endpoint_discovery == EndpointDiscovery::Polled);
            }
            Event::Request(request) => self.on_request(request, actions),
            Event::ResponseStarted { request, attempt } => {
                self.on_response_started(request, attempt.0, actions)
            }
            Event::AttemptCompleted(outcome) => self.on_attempt_completed(outcome, actions),
            Event::ClientDisconnected { request } => self.finish(request, actions),
            Event::HealthCheckCompleted { server, outcome: ending, load_report: report } => {
                self.on_health_check_completed(server, ending, report, actions)
            }
            Event::Timer { .. } => self.on_timer(actions),
        }
        self.arm_timer(actions);
    }

    fn on_timer(&mut self, actions: &mut Vec<Action>) {
        self.timer_due_at = Micros::MAX;
        while let Some(&(_, id)) = self.wakes.first().filter(|w| w.0 <= self.now) {
            self.wakes.pop_first();
            self.on_wake(id, actions);
        }
        actions
            .extend(self.next_endpoint_poll_at.take_if(|at| *at <= self.now).map(|_| Action::WatchEndpoints));
    }

    fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        let first = self.wakes.first().map_or(Micros::MAX, |w| w.0);
        let first = first.min(self.next_endpoint_poll_at.unwrap_or(Micros::MAX));
        if first < self.timer_due_at {
            self.timer_due_at = first;
            actions.push(Action::Timer { id: 0, delay: (first - self.now).max(0) });
        }
    }

    fn apply_settings(&mut self, settings: Settings) {
        self.latencies.apply_classes(&self.settings.classes, &settings.classes);
        self.settings = Settings { proxy_count: settings.proxy_count.max(1), ..settings };
    }
}
