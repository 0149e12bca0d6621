//! Settings, servers and helpers that the tests share. The fixture itself is [`RouterFixture`].
#![allow(dead_code)] // Each test binary uses a part of it.

mod fixture;

use birchreach::*;
pub(crate) use fixture::RouterFixture;

pub(crate) const MILLISECOND: Micros = 1_000;

/// Classes of [`settings`], by their consistency.
pub(crate) const WRITE: u16 = 0;
pub(crate) const SESSION: u16 = 1;
pub(crate) const BOUNDED: u16 = 2;
pub(crate) const ANY: u16 = 3;

/// Servers of the fixture.
pub(crate) const PRIMARY: u32 = 1;
pub(crate) const REPLICA_1: u32 = 2;
pub(crate) const REPLICA_2: u32 = 3;
pub(crate) const ALL_SERVERS: [u32; 3] = [PRIMARY, REPLICA_1, REPLICA_2];

/// A request of a client, and the actions that the router took at once.
pub(crate) struct ClientRequest {
    pub id: u64,
    pub actions: Vec<Action>,
}

impl ClientRequest {
    /// The servers to which the router sent it at once: none where it is queued or rejected.
    pub(crate) fn servers(&self) -> Vec<u32> {
        servers_sent_to(&self.actions)
    }

    /// The server to which the router sent it at once; there has to be one.
    pub(crate) fn server(&self) -> u32 {
        self.servers()[0]
    }
}

/// An action of the router, with its time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TimedAction {
    pub at: Micros,
    pub action: Action,
}

/// A class of requests with the latency objective, timeout and priority that all classes here have.
pub(crate) fn class(consistency: Consistency, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        consistency,
        idempotency,
        latency_objective: 500 * MILLISECOND,
        client_timeout: 2_000 * MILLISECOND,
        priority_weight: 1.0,
        late_weight_fraction: 0.5,
    }
}

/// Settings of a single proxy, with the classes named above.
pub(crate) fn settings() -> Settings {
    Settings {
        proxy_count: 1,
        zone: ZoneId(0),
        classes: vec![
            class(Consistency::Write, Idempotency::NotIdempotent),
            class(Consistency::Session, Idempotency::Idempotent),
            class(Consistency::BoundedStaleness(300 * MILLISECOND), Idempotency::Idempotent),
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
        max_retry_after: Some(1_000 * MILLISECOND),
        connect_timeout: 250 * MILLISECOND,
        drain_grace: 500 * MILLISECOND,
        removal_is_advisory: false,
        slow_start_initial_fraction: 0.2,
        slow_start_window: 10_000 * MILLISECOND,
        overload_factor: 2.0,
        overload_window: 1_500 * MILLISECOND,
    }
}

/// Idempotency by a key that all servers of the group recognise for 600 ms.
pub(crate) fn with_idempotency_key() -> Idempotency {
    Idempotency::WithKey { scope: DedupScope::Group, dedup_window: 600 * MILLISECOND }
}

/// An entry of the endpoint list for a server of group 0.
pub(crate) fn endpoint(id: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        server: ServerId(id),
        group: GroupId(0),
        zone: ZoneId(0),
        state,
        started_at: None,
        weight: 1.0,
        primary: id == PRIMARY,
    }
}

/// Entries for servers that are all ready.
pub(crate) fn ready<const COUNT: usize>(ids: [u32; COUNT]) -> [Endpoint; COUNT] {
    ids.map(|id| endpoint(id, EndpointState::Ready))
}

/// Entries for all servers of the fixture, which are ready, after a change to the entry of one of them.
pub(crate) fn ready_with_change(id: u32, change: impl FnOnce(&mut Endpoint)) -> [Endpoint; 3] {
    let mut endpoints = ready(ALL_SERVERS);
    let changed = endpoints.iter_mut().find(|endpoint| endpoint.server.0 == id);
    change(changed.expect("a server of the fixture"));
    endpoints
}

/// Fixtures for all routers of a fleet that shares the fixture's servers. Each sees its own events alone.
pub(crate) fn fleet(routers: u32, change: impl Fn(&mut Settings)) -> Vec<RouterFixture> {
    let mut settings = settings();
    settings.proxy_count = routers;
    change(&mut settings);
    (0..routers).map(|index| RouterFixture::seeded(settings.clone(), u64::from(index) + 1)).collect()
}

/// The servers to which these actions send requests.
pub(crate) fn servers_sent_to(actions: &[Action]) -> Vec<u32> {
    let server_of = |action: &Action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(server_of).collect()
}

/// Whether one of these actions rejects a request.
pub(crate) fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether one of these actions ends a request with an error.
pub(crate) fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// The number of health checks among these actions.
pub(crate) fn health_check_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::HealthCheck { .. })).count()
}

/// A status in a response.
pub(crate) fn status(role: Role, position: Micros) -> Option<ServerStatus> {
    Some(ServerStatus { role, position: Some(position) })
}

/// A copy candidate of a read: this server, whose copy is likely to have reached this position.
pub(crate) fn copy_candidate(server: u32, likely_position: Micros) -> CopyCandidate {
    CopyCandidate { server: ServerId(server), likely_position }
}
