//! Settings, endpoints and helper functions shared by the tests. The router runs in a [`RouterFixture`].
#![allow(dead_code)] // Each test binary uses only some of the items.

mod fixture;

use birchreach::*;
pub(crate) use fixture::RouterFixture;

pub(crate) const MILLISECOND: Micros = 1_000;

/// Indices of the request classes in [`settings`], named after the consistency that each class requires.
pub(crate) const WRITE: u16 = 0;
pub(crate) const SESSION: u16 = 1;
pub(crate) const BOUNDED: u16 = 2;
pub(crate) const ANY: u16 = 3;

/// Ids of the servers that the router of [`RouterFixture::new`] knows.
pub(crate) const PRIMARY: u32 = 1;
pub(crate) const REPLICA_1: u32 = 2;
pub(crate) const REPLICA_2: u32 = 3;
pub(crate) const ALL_SERVERS: [u32; 3] = [PRIMARY, REPLICA_1, REPLICA_2];

/// A client request and the actions that the router returned when the request arrived.
pub(crate) struct ClientRequest {
    pub id: u64,
    pub actions: Vec<Action>,
}

impl ClientRequest {
    /// The servers to which the router sent the request on arrival. The list is empty if the router queued or
    /// rejected the request.
    pub(crate) fn servers(&self) -> Vec<u32> {
        servers_sent_to(&self.actions)
    }

    /// The server to which the router sent the request on arrival. Panics if the request was not sent.
    pub(crate) fn server(&self) -> u32 {
        self.servers()[0]
    }
}

/// An action and the time at which the router returned it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TimedAction {
    pub at: Micros,
    pub action: Action,
}

/// A request class with the default latency objective, timeout and priority weight of the tests.
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

/// Settings of a fleet that consists of a single proxy. The request classes are those named above.
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

/// Idempotency through a key by which all servers of the group detect duplicates for 600 ms.
pub(crate) fn with_idempotency_key() -> Idempotency {
    Idempotency::WithKey { scope: DedupScope::Group, dedup_window: 600 * MILLISECOND }
}

/// An endpoint list entry for a server of group 0.
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

/// Endpoint list entries in state `Ready` for the given servers of group 0.
pub(crate) fn ready_endpoints<const COUNT: usize>(ids: [u32; COUNT]) -> [Endpoint; COUNT] {
    ids.map(|id| endpoint(id, EndpointState::Ready))
}

/// Endpoint list entries in state `Ready` for all servers of the fixture, after `change` has modified the
/// entry of server `id`.
pub(crate) fn endpoints_with_change(id: u32, change: impl FnOnce(&mut Endpoint)) -> [Endpoint; 3] {
    let mut endpoints = ready_endpoints(ALL_SERVERS);
    let changed = endpoints.iter_mut().find(|endpoint| endpoint.server.0 == id);
    change(changed.expect("a server of the fixture"));
    endpoints
}

/// Creates the routers of a fleet whose proxies share the fixture's servers. Each router receives only the
/// events of its own fixture.
pub(crate) fn fleet(proxy_count: u32, change: impl Fn(&mut Settings)) -> Vec<RouterFixture> {
    let mut settings = settings();
    settings.proxy_count = proxy_count;
    change(&mut settings);
    (0..proxy_count).map(|index| RouterFixture::with_seed(settings.clone(), u64::from(index) + 1)).collect()
}

/// The servers to which these actions send requests.
pub(crate) fn servers_sent_to(actions: &[Action]) -> Vec<u32> {
    let server_of = |action: &Action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(server_of).collect()
}

/// Whether any of these actions rejects a request.
pub(crate) fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether any of these actions fails a request that may have run.
pub(crate) fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// The number of health checks that these actions request.
pub(crate) fn health_check_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::HealthCheck { .. })).count()
}

/// A server status, as an optional field of a response.
pub(crate) fn status(role: Role, position: Micros) -> Option<ServerStatus> {
    Some(ServerStatus { role, position: Some(position) })
}

/// A copy candidate whose copy has probably reached the given log position.
pub(crate) fn copy_candidate(server: u32, likely_position: Micros) -> CopyCandidate {
    CopyCandidate { server: ServerId(server), likely_position }
}

/// The number of final responses that the router has sent to a request.
pub(crate) fn final_response_count(fixture: &RouterFixture, id: u64) -> usize {
    let is_final_response = |action: &Action| match action {
        Action::Reject { request, .. } | Action::Fail { request } => request.0 == id,
        _ => false,
    };
    fixture.history.iter().filter(|timed| is_final_response(&timed.action)).count()
}
