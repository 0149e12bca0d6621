//! Requests of clients, and the actions that a proxy's router takes.

use super::classes::{READ_CLASS, WRITE_CLASS, class};
use super::events::SimulationEvent;
use super::proxies::HOT_KEY;
use super::servers::{AttemptKey, GROUPS, RequestKey, Statement, StatementKind, StatementOwner, group_of};
use super::simulation::{NETWORK_DELAY_MICROS, READS_PER_S_PER_GROUP, Simulation, WRITES_PER_S_PER_GROUP};
use birchreach::{Action, ClassId, CopyCandidate, Event, GroupId, Micros, Request, RequestId, TenantId};

/// An attempt of a pending request.
pub(super) struct Attempt {
    pub server: u32,
    pub sent_at: Micros,
    pub is_finished: bool,
}

/// A request that a proxy has received from a client and has not answered.
pub(super) struct PendingRequest {
    pub class: ClassId,
    pub group: u32,
    pub received_at: Micros,
    /// Attempts of this request, indexed by attempt number.
    pub attempts: Vec<Attempt>,
    /// Whether copies in other groups may serve the request.
    has_copy_candidates: bool,
}

impl Simulation {
    /// Generates a random request and passes it to the router.
    pub(super) fn start_request(&mut self, proxy: usize) {
        if self.rng.f64() * self.requests_per_s() < self.hot_reads_per_s {
            let copy_candidates = self.proxies[proxy].copy_candidates(self.mode, self.now);
            return self.route_request(proxy, READ_CLASS, HOT_KEY.group, copy_candidates);
        }
        let write_fraction = WRITES_PER_S_PER_GROUP / (READS_PER_S_PER_GROUP + WRITES_PER_S_PER_GROUP);
        let class = if self.rng.f64() < write_fraction { WRITE_CLASS } else { READ_CLASS };
        let group = self.rng.u32(..GROUPS);
        self.route_request(proxy, class, group, Vec::new());
    }

    fn route_request(
        &mut self,
        proxy: usize,
        class_id: ClassId,
        group: u32,
        copy_candidates: Vec<CopyCandidate>,
    ) {
        self.last_request += 1;
        let request = self.last_request;
        if group == HOT_KEY.group {
            self.weights.requested += class(class_id).priority_weight;
        }
        let pending = PendingRequest {
            class: class_id,
            group,
            received_at: self.now,
            attempts: Vec::new(),
            has_copy_candidates: !copy_candidates.is_empty(),
        };
        self.pending.insert(RequestKey { proxy, request }, pending);
        let request = Request {
            id: RequestId(request),
            class: class_id,
            group: GroupId(group),
            tenant: TenantId(0),
            timeout: class(class_id).client_timeout,
            session: None,
            last_write_position: None,
            copy_candidates,
        };
        self.route(proxy, Event::Request(request));
    }

    /// Passes an event to a proxy's router, and executes the router's actions.
    pub(super) fn route(&mut self, proxy: usize, event: Event) {
        let target = &mut self.proxies[proxy];
        target.router.handle(self.now, event, &mut target.actions);
        for action in std::mem::take(&mut target.actions) {
            self.execute(proxy, action);
        }
    }

    fn execute(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send_attempt(proxy, request, server.0, timeout),
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.pending.remove(&RequestKey { proxy, request: request.0 });
            }
            Action::HealthCheck { server } => {
                let done = SimulationEvent::HealthCheckDone { proxy, server: server.0 };
                self.schedule(2 * NETWORK_DELAY_MICROS, done);
            }
            Action::Timer { delay, .. } => {
                self.schedule(delay.max(1), SimulationEvent::RouterTimer { proxy });
            }
            Action::Cancel { .. } | Action::WatchEndpoints | Action::Log(_) => {}
        }
    }

    fn send_attempt(&mut self, proxy: usize, request: RequestId, server: u32, timeout: Micros) {
        let key = RequestKey { proxy, request: request.0 };
        let Some(pending) = self.pending.get_mut(&key) else { return };
        let attempt = AttemptKey { request: key, attempt: pending.attempts.len() as u16 };
        pending.attempts.push(Attempt { server, sent_at: self.now, is_finished: false });
        let kind = if pending.class == WRITE_CLASS {
            StatementKind::Write
        } else if pending.has_copy_candidates && group_of(server) != pending.group {
            let position = self.proxies[proxy].router.required_copy_position(self.now, request);
            StatementKind::CopyRead { required_position: position.unwrap_or(0) }
        } else {
            StatementKind::Read
        };
        let statement = Statement { owner: StatementOwner::Attempt(attempt), kind };
        self.schedule(NETWORK_DELAY_MICROS, SimulationEvent::StatementArrives { server, statement });
        self.schedule(timeout, SimulationEvent::AttemptTimeout(attempt));
    }
}
