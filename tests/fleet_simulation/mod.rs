//! Simulation of a fleet of routers and its servers on one virtual clock. The numbers of servers, of restarts
//! and of servers that stop answering are proportional to the number of routers.

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
/// Time during which clients send requests.
const REQUEST_PHASE_MICROS: Micros = 20 * SECOND;
/// Time after the last request within which all requests end.
const COMPLETION_PHASE_MICROS: Micros = 5 * SECOND;
/// Delay between a router and a server in each direction.
const NETWORK_DELAY_MICROS: Micros = MILLISECOND / 2;
/// Number of routers per group of servers.
const ROUTERS_PER_GROUP: u32 = 15;
/// Requests per second that the clients of each router send.
const REQUESTS_PER_S: f64 = 1.0;
/// The class of a request is drawn from this many equally likely numbers.
const CLASS_DRAWS: u32 = 10;
/// How many of these numbers result in a write.
const WRITE_DRAWS: u32 = 2;
/// How many of these numbers result in a read with bounded staleness. The remaining numbers result in a read
/// without a freshness requirement.
const BOUNDED_DRAWS: u32 = 5;

/// In each block of this many groups, a server of the first group restarts and a server of the second group
/// stops answering.
const GROUPS_PER_FAULT: u32 = 2;
const STOP_AFTER_MICROS: Micros = 3 * SECOND;
const DOWNTIME_MICROS: Micros = 2 * SECOND;
/// Maximum delay after which the endpoint list reports a start to a router.
const MAX_LIST_DELAY_MICROS: Micros = 500 * MILLISECOND;
const HANG_AFTER_MICROS: Micros = 8 * SECOND;
const HANG_MICROS: Micros = 8 * SECOND;

/// A request whose client waits for the response.
struct PendingRequest {
    class: ClassId,
    received_at: Micros,
    attempt_count: u16,
}

/// An attempt that has not ended.
struct OpenAttempt {
    server: u32,
    sent_at: Micros,
}

/// Numbers of client requests sent, served within the latency objective and served after it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServedRequests {
    pub requested: u32,
    pub in_time: u32,
    pub late: u32,
}

impl ServedRequests {
    /// The share of all requests that were served. A late response counts as a fraction of a request.
    pub(crate) fn share(&self) -> f64 {
        let late_fraction = settings().classes[0].late_weight_fraction;
        (f64::from(self.in_time) + late_fraction * f64::from(self.late)) / f64::from(self.requested)
    }
}

/// State of a simulated fleet, its servers and its clients.
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
    /// Simulates a fleet of `router_count` routers until all requests have ended.
    pub(crate) fn run(router_count: u32, seed: u64) -> ServedRequests {
        let mut simulation = FleetSimulation::new(router_count, seed);
        let end = START_MICROS + REQUEST_PHASE_MICROS + COMPLETION_PHASE_MICROS;
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

    /// Starts a router that knows all servers, and starts its clients.
    fn start_router(&mut self, router: usize) {
        let seed = self.rng.u64(..);
        let mut actions = Vec::new();
        self.routers.push(Router::new(self.settings.clone(), seed, self.now, &mut actions));
        self.execute(router, actions);
        let endpoints = (0..self.servers.len() as u32).map(|server| endpoint(server, None)).collect();
        self.handle_router_event(router, Event::EndpointsChanged(EndpointList { complete: true, endpoints }));
        self.schedule_client_request(router);
    }

    /// Schedules the fault of a group at its first replica, if the group has a fault.
    fn schedule_fault(&mut self, primary: u32) {
        let server = primary + 1;
        match group_of(primary) % GROUPS_PER_FAULT {
            0 => {
                self.schedule(STOP_AFTER_MICROS, SimulationEvent::ServerStops { server });
                self.schedule(STOP_AFTER_MICROS + DOWNTIME_MICROS, SimulationEvent::ServerStarts { server });
            }
            1 => {
                let until = self.now + HANG_AFTER_MICROS + HANG_MICROS;
                self.schedule(HANG_AFTER_MICROS, SimulationEvent::ServerHangs { server, until });
            }
            _ => {}
        }
    }

    fn schedule(&mut self, delay: Micros, event: SimulationEvent) {
        self.events.schedule(self.now + delay, event);
    }

    /// Schedules the next client request to a router after an exponentially distributed delay.
    fn schedule_client_request(&mut self, router: usize) {
        let delay = -(1.0 - self.rng.f64()).ln() / REQUESTS_PER_S * SECOND as f64;
        self.schedule(delay as Micros, SimulationEvent::ClientRequest { router });
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientRequest { router } => self.start_request(router),
            SimulationEvent::AttemptArrives(attempt) => self.admit_attempt(attempt),
            SimulationEvent::AttemptDone { attempt, outcome } => self.finish_attempt(attempt, outcome),
            SimulationEvent::RouterTimer { router } => {
                self.handle_router_event(router, Event::Timer { id: 0 })
            }
            SimulationEvent::HealthCheckDone { router, server } => self.finish_health_check(router, server),
            SimulationEvent::ServerStops { server } => self.stop_server(server),
            SimulationEvent::ServerStarts { server } => self.start_server(server),
            SimulationEvent::StartListed { router, server, started_at } => {
                let endpoints = vec![endpoint(server, Some(started_at))];
                self.handle_router_event(
                    router,
                    Event::EndpointsChanged(EndpointList { complete: false, endpoints }),
                );
            }
            SimulationEvent::ServerHangs { server, until } => self.servers[server as usize].hang(until),
        }
    }

    /// Sends a client request to a router, unless the request phase is over.
    fn start_request(&mut self, router: usize) {
        if self.now >= START_MICROS + REQUEST_PHASE_MICROS {
            return;
        }
        self.schedule_client_request(router);
        self.last_request += 1;
        self.served.requested += 1;
        let request = self.draw_request();
        let key = RequestKey { router, request: request.id.0 };
        let pending = PendingRequest { class: request.class, received_at: self.now, attempt_count: 0 };
        self.pending.insert(key, pending);
        self.handle_router_event(router, Event::Request(request));
    }

    /// Draws a request of a random class to a random group.
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

    /// Restarts a server. The endpoint list reports the start to each router after a random delay.
    fn start_server(&mut self, server: u32) {
        self.servers[server as usize].start(self.now);
        for router in 0..self.routers.len() {
            let delay = self.rng.i64(0..=MAX_LIST_DELAY_MICROS);
            self.schedule(delay, SimulationEvent::StartListed { router, server, started_at: self.now });
        }
    }

    /// Passes an event to a router and carries out the resulting actions.
    fn handle_router_event(&mut self, router: usize, event: Event) {
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
