//! Discrete-event simulation of clients, proxies and servers.

use super::events::{EventQueue, SimulationEvent, StatementResult};
use super::proxies::Proxy;
use super::requests::PendingRequest;
use super::servers::{Admission, GROUPS, RequestKey, Servers, Statement, StatementKind, log_position, role};
use birchreach::{AttemptOutcome, Event, LoadReport, Micros, ServerId};
use std::collections::HashMap;

/// Number of proxy seeds that are reserved for each run seed.
const SEEDS_PER_RUN: u64 = 1_000;
const START_MICROS: Micros = 1_000_000_000_000;
/// Delay between a proxy and a server, in each direction.
pub(super) const NETWORK_DELAY_MICROS: Micros = 500;
const UPDATE_INTERVAL_MICROS: Micros = 50_000;
/// Read rate of each group, without the reads of the hot key.
pub(super) const READS_PER_S_PER_GROUP: f64 = 100.0;
pub(super) const WRITES_PER_S_PER_GROUP: f64 = 10.0;
/// Minimum weight in the distribution of clients over proxies, before the weights are normalized to a sum of one.
const MIN_CLIENT_WEIGHT: f64 = 0.2;
/// Lower limit of random numbers whose logarithm is taken, which keeps the logarithm finite.
const MIN_DRAW: f64 = 1e-12;

/// Source of the copies of the hot key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CopyMode {
    /// There are no copies.
    Off,
    /// The hot key tracker of the proxy decides about copies.
    On,
    /// The hot key is known from the start, and its copies cost nothing.
    Oracle,
}

/// Settings that are the same in all modes.
#[derive(Clone, Copy)]
pub(super) struct Scenario {
    pub proxies: usize,
    pub hot_reads_per_s: f64,
    /// Whether a partition separates the proxies into halves from the middle of the run.
    pub has_partition: bool,
}

/// Sums of the priority weights of requests to the hot key's group.
#[derive(Clone, Copy, Default)]
pub(super) struct WeightSums {
    pub served: f64,
    pub requested: f64,
}

/// Counts of copies written, and of copy reads that found a copy or missed.
#[derive(Clone, Copy, Default)]
pub(super) struct CopyCounts {
    pub written: u64,
    pub read: u64,
    pub missed: u64,
}

/// The state of a run in one mode.
pub(super) struct Simulation {
    pub(super) mode: CopyMode,
    pub(super) now: Micros,
    pub(super) rng: fastrand::Rng,
    pub(super) proxies: Vec<Proxy>,
    pub(super) servers: Servers,
    pub(super) pending: HashMap<RequestKey, PendingRequest>,
    pub(super) last_request: u64,
    pub(super) hot_reads_per_s: f64,
    /// Fraction of all clients that are connected to each proxy.
    client_fractions: Vec<f64>,
    events: EventQueue,
    /// Whether gossip reaches only proxies in the sender's half.
    pub is_partitioned: bool,
    pub weights: WeightSums,
    pub copies: CopyCounts,
}

impl Simulation {
    /// Creates a simulation and schedules its first events.
    pub(super) fn new(mode: CopyMode, scenario: &Scenario, seed: u64) -> Simulation {
        let now = START_MICROS;
        let mut rng = fastrand::Rng::with_seed(seed);
        let client_fractions = draw_client_fractions(&mut rng, scenario.proxies);
        let proxy = |number| Proxy::new(number, scenario.proxies, seed * SEEDS_PER_RUN + number as u64, now);
        let mut simulation = Simulation {
            mode,
            now,
            proxies: (0..scenario.proxies).map(proxy).collect(),
            client_fractions,
            rng,
            servers: Servers::new(),
            events: EventQueue::default(),
            last_request: 0,
            pending: HashMap::new(),
            hot_reads_per_s: scenario.hot_reads_per_s,
            is_partitioned: false,
            weights: WeightSums::default(),
            copies: CopyCounts::default(),
        };
        (0..scenario.proxies).for_each(|proxy| simulation.schedule_client_request(proxy));
        simulation.schedule(UPDATE_INTERVAL_MICROS, SimulationEvent::UpdateProxies);
        simulation
    }

    /// Advances the virtual clock by a time span, and handles all events that are due.
    pub(super) fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    pub(super) fn schedule(&mut self, delay: Micros, event: SimulationEvent) {
        self.events.schedule(self.now + delay, event);
    }

    /// Returns the request rate of all clients together.
    pub(super) fn requests_per_s(&self) -> f64 {
        (READS_PER_S_PER_GROUP + WRITES_PER_S_PER_GROUP) * f64::from(GROUPS) + self.hot_reads_per_s
    }

    /// Schedules a proxy's next request after an exponentially distributed delay.
    fn schedule_client_request(&mut self, proxy: usize) {
        let requests_per_s = self.requests_per_s() * self.client_fractions[proxy];
        let delay = -self.rng.f64().max(MIN_DRAW).ln() / requests_per_s * 1e6;
        self.schedule(delay as Micros, SimulationEvent::ClientRequest { proxy });
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientRequest { proxy } => {
                self.start_request(proxy);
                self.schedule_client_request(proxy);
            }
            SimulationEvent::StatementArrives { server, statement } => {
                self.admit_statement(server, statement);
            }
            SimulationEvent::StatementDone { server, statement } => self.finish_statement(server, statement),
            SimulationEvent::ResultArrives(result) => self.handle_result(result),
            SimulationEvent::RouterTimer { proxy } => self.route(proxy, Event::Timer { id: 0 }),
            SimulationEvent::AttemptTimeout(attempt) => self.time_out_attempt(attempt),
            SimulationEvent::HealthCheckDone { proxy, server } => self.finish_health_check(proxy, server),
            SimulationEvent::UpdateProxies => {
                (0..self.proxies.len()).for_each(|proxy| self.update_proxy(proxy));
                self.schedule(UPDATE_INTERVAL_MICROS, SimulationEvent::UpdateProxies);
            }
        }
    }

    fn admit_statement(&mut self, server: u32, statement: Statement) {
        match self.servers.admit(self.now, server, statement) {
            Admission::Started { done_at } => {
                self.events.schedule(done_at, SimulationEvent::StatementDone { server, statement })
            }
            Admission::Queued => {}
            Admission::Rejected => self.send_result(server, statement, AttemptOutcome::Overloaded),
        }
    }

    fn finish_statement(&mut self, server: u32, statement: Statement) {
        if let Some(next) = self.servers.finish(self.now, server) {
            let event = SimulationEvent::StatementDone { server, statement: next.statement };
            self.events.schedule(next.done_at, event);
        }
        let outcome = match statement.kind {
            StatementKind::CopyRead { required_position } => self.read_copy(server, required_position),
            _ => AttemptOutcome::Ok,
        };
        self.send_result(server, statement, outcome);
    }

    fn read_copy(&mut self, server: u32, required_position: Micros) -> AttemptOutcome {
        let is_hit = self.mode == CopyMode::Oracle
            || self.servers.newest_copy_position(self.now, server) >= Some(required_position);
        if is_hit {
            self.copies.read += 1;
            AttemptOutcome::Ok
        } else {
            self.copies.missed += 1;
            AttemptOutcome::Ineligible
        }
    }

    fn send_result(&mut self, server: u32, statement: Statement, outcome: AttemptOutcome) {
        let position = log_position(server, self.now);
        let result = StatementResult { statement, server, outcome, position };
        self.schedule(NETWORK_DELAY_MICROS, SimulationEvent::ResultArrives(result));
    }

    fn finish_health_check(&mut self, proxy: usize, server: u32) {
        let position = log_position(server, self.now);
        let load_report = LoadReport { position: Some(position), role: Some(role(server)) };
        let completed = Event::HealthCheckCompleted {
            server: ServerId(server),
            outcome: AttemptOutcome::Ok,
            load_report: Some(load_report),
        };
        self.route(proxy, completed);
    }
}

/// Draws uneven fractions, so that the proxies see different read rates of the hot key.
fn draw_client_fractions(rng: &mut fastrand::Rng, proxies: usize) -> Vec<f64> {
    let weights: Vec<f64> = (0..proxies).map(|_| MIN_CLIENT_WEIGHT - rng.f64().ln()).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum).collect()
}
