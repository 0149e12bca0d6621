//! A fixture that runs a router on a virtual clock. By default the router knows a primary and two replicas.

use super::*;

const START_TIME: Micros = 100_000 * MILLISECOND;

/// A router on a virtual clock. A test passes events to the router and advances the clock.
pub(crate) struct RouterFixture {
    pub router: Router,
    pub now: Micros,
    /// All actions that the router has returned, with their times, in order.
    pub history: Vec<TimedAction>,
    /// Instants at which the pending timers expire.
    timers: Vec<Micros>,
    last_request: u64,
}

impl RouterFixture {
    /// Creates a router that knows the primary and both replicas.
    pub(crate) fn new(settings: Settings) -> RouterFixture {
        RouterFixture::with_seed(settings, 1)
    }

    /// Creates a router with the given random seed that knows the primary and both replicas.
    pub(crate) fn with_seed(settings: Settings, seed: u64) -> RouterFixture {
        let mut fixture = RouterFixture::starting_at(START_TIME, settings, seed);
        fixture.set_endpoints(&ready_endpoints(ALL_SERVERS));
        fixture
    }

    /// Creates a router that has received no endpoint list.
    pub(crate) fn without_endpoints(settings: Settings) -> RouterFixture {
        RouterFixture::starting_at(START_TIME, settings, 1)
    }

    /// Creates a router that starts at the given time and has received no endpoint list.
    pub(crate) fn starting_at(now: Micros, settings: Settings, seed: u64) -> RouterFixture {
        let mut actions = Vec::new();
        let router = Router::new(settings, seed, now, &mut actions);
        let mut fixture = RouterFixture { router, now, history: vec![], timers: vec![], last_request: 0 };
        fixture.record(actions);
        fixture
    }

    /// Appends actions to the history and starts the timers that they request.
    fn record(&mut self, actions: Vec<Action>) -> Vec<Action> {
        for action in &actions {
            if let Action::Timer { delay, .. } = action {
                self.timers.push(self.now + delay);
            }
            self.history.push(TimedAction { at: self.now, action: action.clone() });
        }
        actions
    }

    /// Passes an event to the router and returns the router's actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        self.record(actions)
    }

    /// Passes a complete endpoint list to the router.
    pub(crate) fn set_endpoints(&mut self, endpoints: &[Endpoint]) -> Vec<Action> {
        let list = EndpointList { complete: true, endpoints: endpoints.to_vec() };
        self.handle(Event::EndpointsChanged(list))
    }

    /// Passes an incomplete endpoint list, which contains only changed entries, to the router.
    pub(crate) fn change_endpoints(&mut self, endpoints: &[Endpoint]) -> Vec<Action> {
        let list = EndpointList { complete: false, endpoints: endpoints.to_vec() };
        self.handle(Event::EndpointsChanged(list))
    }

    /// Advances the clock. Each timer expires at its due time. Returns the actions of the expired timers.
    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(&due_at) = self.timers.iter().filter(|at| **at <= end).min() {
            self.timers.retain(|at| *at > due_at);
            self.now = self.now.max(due_at);
            actions.extend(self.handle(Event::Timer { id: 0 }));
        }
        self.now = end;
        actions
    }

    /// Sends a client request of the given class to the router.
    pub(crate) fn request(&mut self, class: u16) -> ClientRequest {
        self.request_with(class, |_| {})
    }

    /// Sends a client request of the given class to the router, after `change` has modified the request.
    pub(crate) fn request_with(&mut self, class: u16, change: impl FnOnce(&mut Request)) -> ClientRequest {
        self.last_request += 1;
        let mut request = Request {
            id: RequestId(self.last_request),
            class: ClassId(class),
            group: GroupId(0),
            tenant: TenantId(0),
            timeout: 2_000 * MILLISECOND,
            session: None,
            last_write_position: None,
            copy_candidates: vec![],
        };
        change(&mut request);
        let id = request.id.0;
        ClientRequest { id, actions: self.handle(Event::Request(request)) }
    }

    /// Sends a request and completes its attempt successfully after `latency`. Returns the server of the
    /// attempt.
    pub(crate) fn serve(&mut self, class: u16, latency: Micros) -> u32 {
        let request = self.request(class);
        let server = request.server();
        self.advance(latency);
        self.complete_attempt(request.id, 0, server, AttemptOutcome::Ok);
        server
    }

    /// Completes an attempt with the given outcome. A successful attempt also finishes its request.
    pub(crate) fn complete_attempt(
        &mut self,
        request: u64,
        attempt: u16,
        server: u32,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.complete_attempt_with_status(request, attempt, server, outcome, None)
    }

    /// Completes an attempt whose response contains the given status.
    pub(crate) fn complete_attempt_with_status(
        &mut self,
        request: u64,
        attempt: u16,
        server: u32,
        outcome: AttemptOutcome,
        status: Option<ServerStatus>,
    ) -> Vec<Action> {
        self.handle(Event::AttemptCompleted(AttemptResult {
            request: RequestId(request),
            attempt: AttemptNumber(attempt),
            server: ServerId(server),
            outcome,
            elapsed: 0,
            request_finished: outcome == AttemptOutcome::Ok,
            status,
            load_report: None,
        }))
    }

    /// Completes every attempt sent by `actions` successfully, each with the given attempt number. Returns
    /// the resulting actions.
    pub(crate) fn answer_sends(&mut self, attempt: u16, actions: &[Action]) -> Vec<Action> {
        let sent = actions.iter().filter_map(|action| match action {
            Action::Send { request, server, .. } => Some((request.0, server.0)),
            _ => None,
        });
        sent.flat_map(|(request, server)| self.complete_attempt(request, attempt, server, AttemptOutcome::Ok))
            .collect()
    }

    /// Completes a health check whose response contains no load report.
    pub(crate) fn complete_health_check(&mut self, server: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.handle(Event::HealthCheckCompleted { server: ServerId(server), outcome, load_report: None })
    }

    /// Completes a health check that reports the server's role and a log position that is `lag` behind the
    /// clock.
    pub(crate) fn report_position(&mut self, server: u32, role: Role, lag: Micros) -> Vec<Action> {
        let report = LoadReport { position: Some(self.now - lag), role: Some(role) };
        self.handle(Event::HealthCheckCompleted {
            server: ServerId(server),
            outcome: AttemptOutcome::Ok,
            load_report: Some(report),
        })
    }
}
