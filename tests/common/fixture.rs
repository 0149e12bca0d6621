//! A router, a clock and its timers, driven by hand; by default with a primary and two replicas.

use super::*;

/// The time at which a fixture starts.
const START: Micros = 100_000 * MILLISECOND;

/// A router driven by hand.
pub(crate) struct RouterFixture {
    pub router: Router,
    pub now: Micros,
    /// Every action so far.
    pub history: Vec<TimedAction>,
    timers: Vec<Micros>,
    last_request: u64,
}

impl RouterFixture {
    /// A router that knows the primary and both replicas.
    pub(crate) fn new(settings: Settings) -> RouterFixture {
        RouterFixture::seeded(settings, 1)
    }

    /// The same with a seed of its own: one of many.
    pub(crate) fn seeded(settings: Settings, seed: u64) -> RouterFixture {
        let mut fixture = RouterFixture::starting_at(START, settings, seed);
        fixture.set_endpoints(&ready(ALL_SERVERS));
        fixture
    }

    /// A router that has just started and knows no server.
    pub(crate) fn without_endpoints(settings: Settings) -> RouterFixture {
        RouterFixture::starting_at(START, settings, 1)
    }

    /// A router that starts at this time and knows no server.
    pub(crate) fn starting_at(now: Micros, settings: Settings, seed: u64) -> RouterFixture {
        let mut actions = Vec::new();
        let router = Router::new(settings, seed, now, &mut actions);
        let mut fixture = RouterFixture { router, now, history: vec![], timers: vec![], last_request: 0 };
        fixture.record(actions);
        fixture
    }

    /// Adds actions to the history, and their timers to those that expire.
    fn record(&mut self, actions: Vec<Action>) -> Vec<Action> {
        for action in &actions {
            if let Action::Timer { delay, .. } = action {
                self.timers.push(self.now + delay);
            }
            self.history.push(TimedAction { at: self.now, action: action.clone() });
        }
        actions
    }

    /// Passes an event to the router.
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

    /// Passes changed entries of the endpoint list to the router.
    pub(crate) fn change_endpoints(&mut self, endpoints: &[Endpoint]) -> Vec<Action> {
        let list = EndpointList { complete: false, endpoints: endpoints.to_vec() };
        self.handle(Event::EndpointsChanged(list))
    }

    /// Lets time pass; each timer expires when it is due.
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

    /// A client sends a request of this class.
    pub(crate) fn request(&mut self, class: u16) -> ClientRequest {
        self.request_with(class, |_| {})
    }

    /// The same, after a change to the request.
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

    /// A client sends a request of this class, which its server answers after this time. Returns the server.
    pub(crate) fn serve(&mut self, class: u16, latency: Micros) -> u32 {
        let request = self.request(class);
        let server = request.server();
        self.advance(latency);
        self.complete_attempt(request.id, 0, server, AttemptOutcome::Ok);
        server
    }

    /// An attempt ends; if it was served, so is its request.
    pub(crate) fn complete_attempt(
        &mut self,
        request: u64,
        attempt: u16,
        server: u32,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.complete_attempt_with_status(request, attempt, server, outcome, None)
    }

    /// The same, with a status in the response.
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

    /// Answers what these actions sent, each as this attempt of its request. Returns the actions that follow.
    pub(crate) fn answer_sends(&mut self, attempt: u16, actions: &[Action]) -> Vec<Action> {
        let sent = actions.iter().filter_map(|action| match action {
            Action::Send { request, server, .. } => Some((request.0, server.0)),
            _ => None,
        });
        sent.flat_map(|(request, server)| self.complete_attempt(request, attempt, server, AttemptOutcome::Ok))
            .collect()
    }

    /// A health check ends without a load report.
    pub(crate) fn complete_health_check(&mut self, server: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.handle(Event::HealthCheckCompleted { server: ServerId(server), outcome, load_report: None })
    }

    /// A health check reports the role of a server and a position that is this far behind the present.
    pub(crate) fn report_position(&mut self, server: u32, role: Role, behind: Micros) -> Vec<Action> {
        let report = LoadReport { position: Some(self.now - behind), role: Some(role) };
        self.handle(Event::HealthCheckCompleted {
            server: ServerId(server),
            outcome: AttemptOutcome::Ok,
            load_report: Some(report),
        })
    }
}
