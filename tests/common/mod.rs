//! The one fixture of the tests: a router with three servers, driven by hand.
#![allow(dead_code)]

use birchreach::*;

pub const MS: Micros = 1_000;
pub const WRITE: u16 = 0;
pub const SESSION: u16 = 1;
pub const BOUNDED: u16 = 2;
pub const ANY: u16 = 3;
/// The fixture's primary, and its two replicas.
pub const P: u32 = 1;
pub const R1: u32 = 2;
pub const R2: u32 = 3;

pub fn class(need: Consistency, effect: Idempotency) -> RequestClass {
    RequestClass {
        consistency: need,
        idempotency: effect,
        latency_objective: 500 * MS,
        client_timeout: 2_000 * MS,
        priority_weight: 1.0,
        late_weight_fraction: 0.5,
    }
}

pub fn settings() -> Settings {
    Settings {
        proxy_count: 1,
        zone: ZoneId(0),
        classes: vec![
            class(Consistency::Write, Idempotency::NotIdempotent),
            class(Consistency::Session, Idempotency::Idempotent),
            class(Consistency::BoundedStaleness(300 * MS), Idempotency::Idempotent),
            class(Consistency::Any, Idempotency::Idempotent),
        ],
        tenants: vec![],
        session_positions: SessionPositionSource::FromRequest,
        stale_reads: StaleReadPolicy::Served,
        endpoint_discovery: EndpointDiscovery::Pushed,
        load_reports: LoadReportSource::HealthChecks,
        load_reports_have_position: true,
        max_attempts: 8,
        hedging_allowed: true,
        cancellation_allowed: true,
        health_checks_allowed: false,
        max_retry_after: Some(1_000 * MS),
        connect_timeout: 250 * MS,
        drain_grace: 500 * MS,
        removal_is_advisory: false,
        slow_start_initial_fraction: 0.2,
        slow_start_window: 10_000 * MS,
        overload_factor: 2.0,
        overload_window: 1_500 * MS,
    }
}

pub fn keyed() -> Idempotency {
    Idempotency::WithKey { scope: DedupScope::Group, dedup_window: 600 * MS }
}

pub fn member(id: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        server: ServerId(id),
        group: GroupId(0),
        zone: ZoneId(0),
        state,
        started_at: None,
        weight: 1.0,
        primary: id == P,
    }
}

pub struct Rig {
    pub router: Router,
    pub now: Micros,
    pub all: Vec<(Micros, Action)>,
    timers: Vec<Micros>,
    next: u64,
}

impl Rig {
    /// A router that has just begun, at 100 s, and knows no server.
    pub fn bare(settings: Settings) -> Rig {
        Rig::bare_seeded(settings, 1)
    }

    fn bare_seeded(settings: Settings, seed: u64) -> Rig {
        let now = 100_000 * MS;
        let mut out = Vec::new();
        let router = Router::new(settings, seed, now, &mut out);
        let mut rig = Rig { router, now, all: vec![], timers: vec![], next: 0 };
        rig.take(out);
        rig
    }

    /// The same with the primary and both replicas listed.
    pub fn new(settings: Settings) -> Rig {
        Rig::seeded(settings, 1)
    }

    /// The same with a seed of its own: one of many.
    pub fn seeded(settings: Settings, seed: u64) -> Rig {
        let mut rig = Rig::bare_seeded(settings, seed);
        rig.list(&[P, R1, R2].map(|id| member(id, EndpointState::Ready)));
        rig
    }

    fn take(&mut self, out: Vec<Action>) -> Vec<Action> {
        for action in &out {
            if let Action::Timer { delay: after, .. } = action {
                self.timers.push(self.now + after);
            }
            self.all.push((self.now, action.clone()));
        }
        out
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        self.take(out)
    }

    pub fn list(&mut self, members: &[Endpoint]) -> Vec<Action> {
        self.feed(Event::EndpointsChanged(EndpointList { complete: true, endpoints: members.to_vec() }))
    }

    /// Lets time pass, ringing each timer when it is due.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut got = Vec::new();
        while let Some(&at) = self.timers.iter().filter(|at| **at <= end).min() {
            self.timers.retain(|t| *t > at);
            self.now = self.now.max(at);
            got.extend(self.feed(Event::Timer { id: 0 }));
        }
        self.now = end;
        got
    }

    pub fn ask_for(&mut self, class: u16, change: impl FnOnce(&mut Request)) -> (u64, Vec<Action>) {
        self.next += 1;
        let mut request = Request {
            id: RequestId(self.next),
            class: ClassId(class),
            group: GroupId(0),
            tenant: TenantId(0),
            timeout: 2_000 * MS,
            session: None,
            last_write_position: None,
            copy_candidates: vec![],
        };
        change(&mut request);
        let id = request.id.0;
        (id, self.feed(Event::Request(request)))
    }

    pub fn ask(&mut self, class: u16) -> (u64, Vec<Action>) {
        self.ask_for(class, |_| {})
    }

    pub fn end(&mut self, request: u64, attempt: u16, server: u32, ending: AttemptOutcome) -> Vec<Action> {
        self.end_with(request, attempt, server, ending, None)
    }

    pub fn end_with(
        &mut self,
        request: u64,
        attempt: u16,
        server: u32,
        ending: AttemptOutcome,
        note: Option<ServerStatus>,
    ) -> Vec<Action> {
        self.feed(Event::AttemptCompleted(AttemptResult {
            request: RequestId(request),
            attempt: AttemptNo(attempt),
            server: ServerId(server),
            outcome: ending,
            elapsed: 0,
            request_finished: ending == AttemptOutcome::Ok,
            status: note,
            load_report: None,
        }))
    }

    /// Serves what these actions sent, each as the `n`th attempt of its request; gives what came of that.
    pub fn serve(&mut self, n: u16, actions: &[Action]) -> Vec<Action> {
        let sent = actions.iter().filter_map(|a| match a {
            Action::Send { request, server, .. } => Some((request.0, server.0)),
            _ => None,
        });
        sent.flat_map(|(request, server)| self.end(request, n, server, AttemptOutcome::Ok)).collect()
    }

    /// Tells the router by an answer where a server stands: `behind` the present.
    pub fn stands(&mut self, server: u32, role: Role, behind: Micros) -> Vec<Action> {
        let report = LoadReport { position: Some(self.now - behind), role: Some(role) };
        let server = ServerId(server);
        self.feed(Event::HealthCheckCompleted {
            server,
            outcome: AttemptOutcome::Ok,
            load_report: Some(report),
        })
    }
}

/// Where these actions send requests.
pub fn sends(actions: &[Action]) -> Vec<u32> {
    let send = |a: &Action| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn note(role: Role, position: Micros) -> Option<ServerStatus> {
    Some(ServerStatus { role, position: Some(position) })
}

pub fn copy_candidate(server: u32, likely_position: Micros) -> CopyCandidate {
    CopyCandidate { server: ServerId(server), likely_position }
}
