//! A fleet of routers before its servers, on one virtual clock. Servers are in proportion to routers, and so
//! are restarts and servers that stop answering.

mod attempts;
mod events;
mod servers;

use super::common::{ANY, BOUNDED, MILLISECOND, WRITE, settings};
use birchreach::*;
use events::{AttemptKey, EventQueue, RequestKey, SimulationEvent};
use servers::{INITIAL_SPEED, SERVERS_PER_GROUP, Server, WARM_UP_MICROS, group_of, role};
use std::collections::HashMap;

const SECOND: Micros = 1_000 * MILLISECOND;
const START_MICROS: Micros = 1_000 * SECOND;
/// How long clients send requests.
const RUN_MICROS: Micros = 20 * SECOND;
/// Within this time all requests have ended.
const FINAL_MICROS: Micros = 5 * SECOND;
/// Between a router and a server, in each direction.
const NETWORK_DELAY_MICROS: Micros = MILLISECOND / 2;
/// Routers for each group of servers.
const ROUTERS_PER_GROUP: u32 = 15;
/// Requests per second that the clients of each router send.
const REQUESTS_PER_S: f64 = 1.0;
/// Each request has one of this many numbers, which gives its class.
const CLASS_DRAWS: u32 = 10;
/// Of these, the numbers that give a write.
const WRITE_DRAWS: u32 = 2;
/// The same for a read with bounded staleness; the others give a read of any server.
const BOUNDED_DRAWS: u32 = 5;

/// Of this many groups, the first has a restart and the second a server that stops answering.
const GROUPS_PER_FAULT: u32 = 2;
const STOPS_AFTER: Micros = 3 * SECOND;
const RESTART_MICROS: Micros = 2 * SECOND;
/// The last router learns of a start this much later than the first.
const LIST_DELAY_MICROS: Micros = 500 * MILLISECOND;
const HANGS_AFTER: Micros = 8 * SECOND;
const HANG_MICROS: Micros = 8 * SECOND;

/// A request that its client waits for.
struct PendingRequest {
    class: ClassId,
    received_at: Micros,
    attempts: u16,
}

/// An attempt that has not ended.
struct OpenAttempt {
    server: u32,
    sent_at: Micros,
}

/// What became of the clients' requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServedRequests {
    pub requested: u32,
    pub in_time: u32,
    pub late: u32,
}

impl ServedRequests {
    /// The share of all requests that were served; a late one counts in part.
    pub(crate) fn share(&self) -> f64 {
        let late_fraction = settings().classes[0].late_weight_fraction;
        (f64::from(self.in_time) + late_fraction * f64::from(self.late)) / f64::from(self.requested)
    }
}

/// A run.
pub(crate) struct FleetSimulation {
    now: Micros,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    servers: Vec<Server>,
    events: EventQueue,
    settings: Settings,
    last_request: u64,
    pending: HashMap<RequestKey, PendingRequest>,
    open_attempts: HashMap<AttemptKey, OpenAttempt>,
    served: ServedRequests,
}

impl FleetSimulation {
    /// Runs a fleet of so many routers.
    pub(crate) fn run(router_count: u32, seed: u64) -> ServedRequests {
        let mut simulation = FleetSimulation::new(router_count, seed);
        let end = START_MICROS + RUN_MICROS + FINAL_MICROS;
        while let Some((at, event)) = simulation.events.pop_until(end) {
            simulation.now = at;
            simulation.handle_event(event);
        }
        simulation.served
    }

    fn new(router_count: u32, seed: u64) -> FleetSimulation {
        let server_count = router_count / ROUTERS_PER_GROUP * SERVERS_PER_GROUP;
        let mut simulation = FleetSimulation {
            now: START_MICROS,
            rng: fastrand::Rng::with_seed(seed),
            routers: Vec::new(),
            servers: (0..server_count).map(|_| Server::default()).collect(),
            events: EventQueue::default(),
            settings: router_settings(router_count),
            last_request: 0,
            pending: HashMap::new(),
            open_attempts: HashMap::new(),
            served: ServedRequests::default(),
        };
        (0..router_count as usize).for_each(|router| simulation.start_router(router));
        (0..server_count)
            .step_by(SERVERS_PER_GROUP as usize)
            .for_each(|primary| simulation.schedule_fault(primary));
        simulation
    }

    /// Starts a router that knows all servers, and its clients.
    fn start_router(&mut self, router: usize) {
        let seed = self.rng.u64(..);
        let mut actions = Vec::new();
        self.routers.push(Router::new(self.settings.clone(), seed, self.now, &mut actions));
        self.execute(router, actions);
        let endpoints = (0..self.servers.len() as u32).map(|server| endpoint(server, None)).collect();
        self.route(router, Event::EndpointsChanged(EndpointList { complete: true, endpoints }));
        self.schedule_client_request(router);
    }

    /// Schedules the fault of a group, if it has one, at its first replica.
    fn schedule_fault(&mut self, primary: u32) {
        let server = primary + 1;
        match group_of(primary) % GROUPS_PER_FAULT {
            0 => {
                self.schedule(STOPS_AFTER, SimulationEvent::ServerStops { server });
                self.schedule(STOPS_AFTER + RESTART_MICROS, SimulationEvent::ServerStarts { server });
            }
            1 => {
                let until = self.now + HANGS_AFTER + HANG_MICROS;
                self.schedule(HANGS_AFTER, SimulationEvent::ServerHangs { server, until });
            }
            _ => {}
        }
    }

    fn schedule(&mut self, delay: Micros, event: SimulationEvent) {
        self.events.schedule(self.now + delay, event);
    }

    /// Schedules a router's next request after an exponentially distributed delay.
    fn schedule_client_request(&mut self, router: usize) {
        let delay = -(1.0 - self.rng.f64()).ln() / REQUESTS_PER_S * SECOND as f64;
        self.schedule(delay as Micros, SimulationEvent::ClientRequest { router });
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientRequest { router } => self.start_request(router),
            SimulationEvent::AttemptArrives(attempt) => self.admit_attempt(attempt),
            SimulationEvent::AttemptDone { attempt, outcome } => self.finish_attempt(attempt, outcome),
            SimulationEvent::RouterTimer { router } => self.route(router, Event::Timer { id: 0 }),
            SimulationEvent::HealthCheckDone { router, server } => self.finish_health_check(router, server),
            SimulationEvent::ServerStops { server } => self.stop_server(server),
            SimulationEvent::ServerStarts { server } => self.start_server(server),
            SimulationEvent::StartListed { router, server, started_at } => {
                let endpoints = vec![endpoint(server, Some(started_at))];
                self.route(router, Event::EndpointsChanged(EndpointList { complete: false, endpoints }));
            }
            SimulationEvent::ServerHangs { server, until } => self.servers[server as usize].hang(until),
        }
    }

    /// A client sends a request, unless the run is over.
    fn start_request(&mut self, router: usize) {
        if self.now >= START_MICROS + RUN_MICROS {
            return;
        }
        self.schedule_client_request(router);
        self.last_request += 1;
        self.served.requested += 1;
        let request = self.draw_request();
        let key = RequestKey { router, request: request.id.0 };
        let pending = PendingRequest { class: request.class, received_at: self.now, attempts: 0 };
        self.pending.insert(key, pending);
        self.route(router, Event::Request(request));
    }

    /// A request of any class to any group.
    fn draw_request(&mut self) -> Request {
        let class = match self.rng.u32(..CLASS_DRAWS) {
            draw if draw < WRITE_DRAWS => WRITE,
            draw if draw < WRITE_DRAWS + BOUNDED_DRAWS => BOUNDED,
            _ => ANY,
        };
        Request {
            id: RequestId(self.last_request),
            class: ClassId(class),
            group: GroupId(self.rng.u32(..self.servers.len() as u32 / SERVERS_PER_GROUP)),
            tenant: TenantId(0),
            timeout: self.settings.classes[usize::from(class)].client_timeout,
            session: None,
            last_write_position: None,
            copy_candidates: vec![],
        }
    }

    /// Starts a server again; the routers learn of it one after the other.
    fn start_server(&mut self, server: u32) {
        self.servers[server as usize].start(self.now);
        for router in 0..self.routers.len() {
            let delay = self.rng.i64(0..=LIST_DELAY_MICROS);
            self.schedule(delay, SimulationEvent::StartListed { router, server, started_at: self.now });
        }
    }

    /// Gives a router an event, and does what it decides.
    fn route(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, event, &mut actions);
        self.execute(router, actions);
    }
}

fn router_settings(router_count: u32) -> Settings {
    Settings {
        proxy_count: router_count,
        health_checks_allowed: true,
        slow_start_initial_fraction: INITIAL_SPEED,
        slow_start_window: WARM_UP_MICROS,
        ..settings()
    }
}

fn endpoint(server: u32, started_at: Option<Micros>) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        group: GroupId(group_of(server)),
        zone: ZoneId(0),
        state: EndpointState::Ready,
        started_at,
        weight: 1.0,
        primary: role(server) == Role::Primary,
    }
}
